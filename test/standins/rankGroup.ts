import type { FencingToken, EngineCommands } from '../../src/version/expertMap/types.js';
import type { StandIn } from './httpServer.js';
import {
  closeServer,
  createRouteServer,
  isMain,
  listenOnLoopback,
  readArguments,
} from './httpServer.js';

/** Engine of one rank; uses the most recently set map whose first step has been reached. */
export class RankEngine implements EngineCommands {
  private readonly commands: { version: number; step: number }[] = [];
  private highest: FencingToken = { incarnation: 0, fencing: 0 };

  constructor(readonly fencing: 'checked' | 'ignored') {}

  setMap(version: number, step: number, token: FencingToken): boolean {
    const { incarnation, fencing } = this.highest;
    const isOutdated =
      token.incarnation < incarnation ||
      (token.incarnation === incarnation && token.fencing < fencing);
    if (isOutdated && this.fencing === 'checked') return false;
    if (!isOutdated) this.highest = { ...token };
    if (step === 0) this.commands.length = 0;
    this.commands.push({ version, step });
    return true;
  }

  readMap(): number {
    return this.commands.at(-1)?.version ?? 0;
  }

  getMapAt(step: number): number {
    return this.commands.findLast((command) => command.step <= step)?.version ?? 0;
  }
}

/** Part of a rank's agent that permits steps at the step barrier. */
export interface StepGate {
  openStep(now: number): { incarnation: number; step: number } | undefined;
}

/** Ranks in lockstep; records the map that each rank used in each step. */
export class RankGroup {
  readonly steps: { step: number; maps: number[] }[] = [];
  readonly engines: readonly RankEngine[];
  private waiting: ({ incarnation: number; step: number } | undefined)[];

  constructor(
    readonly ranks: number,
    fencing: 'checked' | 'ignored',
  ) {
    this.engines = Array.from({ length: ranks }, () => new RankEngine(fencing));
    this.waiting = this.engines.map(() => undefined);
  }

  /** Lets a rank wait for its next step. A rank that already waits in this incarnation keeps its step. */
  open(rank: number, gate: StepGate, incarnation: number, now: number): void {
    if (this.waiting[rank]?.incarnation === incarnation) return;
    this.waiting[rank] = gate.openStep(now);
  }

  /** Clears the waiting step of a rank, for example after its process exited. */
  clearWaiting(rank: number): void {
    this.waiting[rank] = undefined;
  }

  /** Runs a step if all ranks wait for the same one; returns whether it ran. */
  runStep(): boolean {
    const first = this.waiting[0];
    if (first === undefined) return false;
    for (const entry of this.waiting) {
      if (entry?.step !== first.step || entry.incarnation !== first.incarnation) return false;
    }
    const maps = this.engines.map((engine) => engine.getMapAt(first.step));
    this.steps.push({ step: first.step, maps });
    this.waiting = this.waiting.map(() => undefined);
    return true;
  }

  countMixedSteps(): number {
    return this.steps.filter(({ maps }) => new Set(maps).size > 1).length;
  }
}

export interface RankGroupOptions {
  readonly ranks: number;
  /** Port of each rank; a free port is selected when 0 or missing. */
  readonly ports?: readonly number[];
  readonly fencing?: 'checked' | 'ignored';
  readonly stepMs?: number;
  readonly layers?: number;
  readonly experts?: number;
  /** Interval at which the most loaded expert changes, milliseconds; 0 for never. */
  readonly driftMs?: number;
}

export interface RunningRankGroup extends StandIn {
  /** Base URL by rank. */
  readonly urls: readonly string[];
}

const MAX_RECORDED_STEPS = 20;
const LOAD_REPORT_LAG_MS = 200;
const BASE_LOAD = 10;
const HOT_LOAD = 400;

interface Command {
  readonly command?: string;
  readonly version?: number;
  readonly step?: number;
  readonly until?: number;
  readonly experts?: readonly (readonly number[])[];
  readonly incarnation?: number;
  readonly fencing?: number;
}

/** Engine of one rank with an HTTP interface; it does not start steps that are not permitted. */
class HttpRank implements StepGate {
  stalled = false;
  incarnation = 0;
  step = 0;
  private until = 0;
  private highest: FencingToken = { incarnation: 0, fencing: 0 };
  private readonly loaded = new Map<number, readonly (readonly number[])[]>();

  constructor(private readonly engine: RankEngine) {}

  get map(): unknown {
    const { incarnation, step } = this;
    return { version: this.engine.readMap(), step, incarnation };
  }

  openStep(): { incarnation: number; step: number } | undefined {
    if (this.stalled || this.incarnation === 0 || this.step >= this.until) return undefined;
    return { incarnation: this.incarnation, step: this.step };
  }

  /** Returns the HTTP status. */
  run(command: Command): number {
    const { incarnation = 0, fencing = 0, version = 0, step = 0 } = command;
    if (this.isOutdated({ incarnation, fencing })) return 409;
    if (command.command === 'load_experts') this.loaded.set(version, command.experts ?? []);
    else if (command.command === 'permit_steps')
      this.until = Math.max(this.until, command.until ?? 0);
    else if (command.command !== 'set_map' || !this.loaded.has(version)) return 400;
    else this.setMap(version, step, { incarnation, fencing });
    return 200;
  }

  private setMap(version: number, step: number, token: FencingToken): void {
    if (token.incarnation !== this.incarnation) [this.step, this.until] = [0, 0];
    this.incarnation = token.incarnation;
    this.engine.setMap(version, step, token);
  }

  /** Checks the fencing token of a command; loading experts and permitting steps are fenced as well. */
  private isOutdated(token: FencingToken): boolean {
    const { incarnation, fencing } = this.highest;
    const same = token.incarnation === incarnation;
    const old = token.incarnation < incarnation || (same && token.fencing < fencing);
    if (!old) this.highest = token;
    return old && this.engine.fencing === 'checked';
  }
}

/**
 * Starts a group of ranks that advance in lockstep, each with its own HTTP port.
 *
 * Routes of each port: `POST /v1/commands` with `set_map`, `permit_steps` and `load_experts`, `GET /v1/map`,
 * `GET /v1/expert-load`, `GET /v1/load`, `GET /steps`, `POST /control` with `{stalled}`.
 *
 * @param options - Size, ports, timings and whether outdated fencing tokens are refused
 * @returns The running group; `port` and `url` are those of rank 0
 */
export async function startRankGroup(options: RankGroupOptions): Promise<RunningRankGroup> {
  const { ranks: count, stepMs = 5, layers = 1, experts = 16, driftMs = 0 } = options;
  const group = new RankGroup(count, options.fencing ?? 'checked');
  const ranks = group.engines.map((engine) => new HttpRank(engine));
  const startedAt = Date.now();
  const record = { steps: 0, mixed: 0, last: [] as { step: number; maps: number[] }[] };
  const timer = setInterval(() => {
    for (const [index, rank] of ranks.entries()) {
      if (rank.openStep() === undefined) group.clearWaiting(index);
      else group.open(index, rank, rank.incarnation, Date.now());
    }
    if (!group.runStep()) return;
    for (const rank of ranks) rank.step += 1;
    record.steps += 1;
    record.mixed += group.countMixedSteps();
    record.last = [...record.last, ...group.steps.splice(0)].slice(-MAX_RECORDED_STEPS);
  }, stepMs);
  const measureLoad = (): number[][] => {
    const time = Math.max(0, Date.now() - LOAD_REPORT_LAG_MS - startedAt);
    const hotExpert = driftMs === 0 ? 0 : Math.floor(time / driftMs) * 3;
    return Array.from({ length: layers }, (_, layer) =>
      Array.from(
        { length: experts },
        (__, expert) => (expert === (hotExpert + layer) % experts ? HOT_LOAD : BASE_LOAD) / count,
      ),
    );
  };
  const servers = ranks.map((rank) =>
    createRouteServer({
      'POST /v1/commands': ({ body, response }) => {
        response.statusCode = rank.run(JSON.parse(body.toString()) as Command);
        return {};
      },
      'GET /v1/map': () => rank.map,
      'GET /v1/expert-load': () => ({ load: measureLoad() }),
      'GET /v1/load': () => ({ running: 0, queued: 0, steps: record.steps, last_step_ms: stepMs }),
      'GET /steps': () => record,
      'POST /control': ({ body }) => {
        rank.stalled = (JSON.parse(body.toString()) as { stalled?: boolean }).stalled === true;
        return {};
      },
    }),
  );
  const ports = await Promise.all(
    servers.map((server, rank) => listenOnLoopback(server, options.ports?.[rank] ?? 0)),
  );
  const urls = ports.map((port) => `http://127.0.0.1:${port}`);
  return {
    port: ports[0] ?? 0,
    url: urls[0] ?? '',
    urls,
    close: async () => {
      clearInterval(timer);
      await Promise.all(servers.map(closeServer));
    },
  };
}

if (isMain(import.meta.url)) {
  const { ports = '', ...settings } = readArguments();
  const rankPorts = String(ports).split(',').map(Number);
  const group = await startRankGroup({ ranks: rankPorts.length, ...settings, ports: rankPorts });
  process.stdout.write(`${JSON.stringify({ ready: true, port: group.port, urls: group.urls })}\n`);
}
