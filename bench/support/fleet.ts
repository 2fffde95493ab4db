import type { ChildProcess } from 'node:child_process';
import { fork } from 'node:child_process';
import { createHash } from 'node:crypto';
import { fileURLToPath } from 'node:url';
import type { EngineControl, EngineOptions } from '../../test/standins/engine.js';
import { waitUntil } from '../../test/support/waiting.js';
import type { StoredObject } from '../../src/version/ticket/types.js';
import type {
  CommandName,
  StartedEntry,
  StartedUpstream,
  UpstreamPlan,
  WorkerCommands,
  WorkerState,
} from './fleetTypes.js';

export interface FleetOptions {
  readonly service: string;
  readonly engines: number;
  readonly zones: readonly string[];
  readonly entries: number;
  readonly slots: number;
  readonly engine: EngineOptions;
  /** Guaranteed share by workspace. */
  readonly shares: Readonly<Record<string, number>>;
  readonly linksPerService?: number;
  readonly routingPolicy?: string;
  readonly seed: number;
}

const ENGINES_PER_WORKER = 4;
const WORKER_FILE = fileURLToPath(new URL('./fleetWorker.ts', import.meta.url));

/** Client of one worker process. */
class Worker {
  private readonly child: ChildProcess;
  private readonly waiting = new Map<
    number,
    { resolve: (answer: never) => void; reject: (error: Error) => void }
  >();
  private last = 0;

  constructor() {
    this.child = fork(WORKER_FILE, { execArgv: ['--import', 'tsx'], stdio: 'inherit' });
    this.child.on('message', (message) => {
      const { id, answer, error } = message as { id: number; answer: never; error?: string };
      const { resolve, reject } = this.waiting.get(id) ?? {};
      this.waiting.delete(id);
      if (error === undefined) resolve?.(answer);
      else reject?.(new Error(error));
    });
    this.child.on('exit', () => {
      for (const { reject } of this.waiting.values()) reject(new Error('fleet worker exited'));
    });
  }

  send<Name extends CommandName>(
    name: Name,
    request: WorkerCommands[Name]['request'],
  ): Promise<WorkerCommands[Name]['answer']> {
    this.last += 1;
    const id = this.last;
    return new Promise((resolve, reject) => {
      this.waiting.set(id, { resolve, reject });
      this.child.send({ id, name, request });
    });
  }

  end(): void {
    this.child.kill('SIGKILL');
  }
}

/** Entries, agents and engine stand-ins in worker processes on the loopback address. */
export class Fleet {
  readonly upstreams: (StartedUpstream & { readonly plan: UpstreamPlan })[] = [];
  readonly entries: StartedEntry[] = [];
  private readonly workers: Worker[] = [];
  private readonly workersByUpstream = new Map<string, Worker>();

  constructor(readonly options: FleetOptions) {}

  /** Starts all processes; resolves when each entry is linked to each of its agents. */
  async start(): Promise<void> {
    const { options } = this;
    let worker = new Worker();
    for (let index = 0; index < options.engines; index += 1) {
      if (index % ENGINES_PER_WORKER === 0) {
        worker = index === 0 ? worker : new Worker();
        this.workers.push(worker);
      }
      const plan = this.createPlan(index);
      this.workersByUpstream.set(plan.id, worker);
      this.upstreams.push({ ...(await worker.send('startUpstream', plan)), plan });
    }
    const entryWorkers = Array.from({ length: options.entries }, () => new Worker());
    this.workers.push(...entryWorkers);
    await this.configure(this.createObjects());
    for (const [index, entryWorker] of entryWorkers.entries()) {
      const plan = {
        id: `entry-${index + 1}`,
        availabilityZone: this.pickZone(index),
        linksPerService: options.linksPerService ?? options.engines,
        routingPolicy: options.routingPolicy ?? 'affinity',
      };
      this.entries.push(await entryWorker.send('startEntry', plan));
    }
    await Promise.all(this.entries.map((entry) => this.waitForEntry(entry)));
  }

  /**
   * Changes the behavior of an engine stand-in.
   *
   * @param upstream - Upstream id
   * @param change - Faults and rates
   */
  async control(upstream: string, change: EngineControl): Promise<void> {
    await this.workersByUpstream.get(upstream)?.send('control', { upstream, change });
  }

  /**
   * Stops agents and their engines immediately.
   *
   * @param upstreams - Upstream ids
   */
  async stopUpstreams(upstreams: readonly string[]): Promise<void> {
    await Promise.all(
      upstreams.map(async (id) => {
        await this.workersByUpstream.get(id)?.send('stopUpstream', id);
      }),
    );
  }

  /** @returns Counters and dumps of all workers, and the highest event loop delay */
  async readState(): Promise<WorkerState> {
    const states = await Promise.all(this.workers.map((worker) => worker.send('readState', null)));
    return {
      engines: Object.assign({}, ...states.map(({ engines }) => engines)) as WorkerState['engines'],
      dumps: Object.assign({}, ...states.map(({ dumps }) => dumps)) as WorkerState['dumps'],
      loopDelayP99Ms: Math.max(...states.map(({ loopDelayP99Ms }) => loopDelayP99Ms)),
    };
  }

  /** Kills all workers. */
  stop(): void {
    for (const worker of this.workers) worker.end();
  }

  private async configure(objects: readonly StoredObject[]): Promise<void> {
    await Promise.all(this.workers.map((worker) => worker.send('configure', objects)));
  }

  private pickZone(index: number): string {
    return this.options.zones[index % this.options.zones.length] ?? '';
  }

  private createPlan(index: number): UpstreamPlan {
    const { service, slots, engine, seed } = this.options;
    const id = `${service}-${index + 1}`;
    const seeded = { ...engine, seed: `${seed}-${index}` };
    return { id, availabilityZone: this.pickZone(index), service, slots, engine: seeded };
  }

  private createObjects(): StoredObject[] {
    const { service, shares, slots, engine } = this.options;
    const create = (key: string, state: unknown): StoredObject => ({ key, ticket: 1, state });
    const workspaces = Object.entries(shares).map(([id, share]) =>
      create(`workspace/${id}`, {
        tokenHashes: [createHash('sha256').update(createToken(id)).digest('hex')],
        shares: { [service]: share },
      }),
    );
    const upstreams = this.upstreams.map(({ id, address, plan }) =>
      create(`upstream/${id}`, {
        service,
        host: id,
        availabilityZone: plan.availabilityZone,
        address,
        slots,
        tokensPerSecond: engine.tokensPerSecond ?? 1_000,
      }),
    );
    return [create(`service/${service}`, { kind: 'engine' }), ...workspaces, ...upstreams];
  }

  /** Waits until the entry is linked to its agents and all of them accept requests. */
  private async waitForEntry({ id }: StartedEntry): Promise<void> {
    const expected = Math.min(
      this.options.linksPerService ?? this.options.engines,
      this.options.engines,
    );
    await waitUntil(`${id} is linked to its agents`, async () => {
      const { dumps } = await this.readState();
      const dump = dumps[id] as { agents?: { peer?: string; load: { accepting: boolean } }[] };
      const linked = (dump.agents ?? []).filter(
        ({ peer, load }) => peer !== undefined && load.accepting,
      );
      return linked.length === expected;
    });
  }
}

/**
 * Starts a fleet; stops all started processes when a part fails to start.
 *
 * @param options - Size, engines and workspace shares
 * @returns The running fleet
 */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const fleet = new Fleet(options);
  try {
    await fleet.start();
  } catch (error) {
    fleet.stop();
    throw error;
  }
  return fleet;
}

/**
 * Creates the bearer token of a bench workspace.
 *
 * @param workspace - Workspace id
 * @returns The token
 */
export function createToken(workspace: string): string {
  return `bench-token-${workspace}`;
}
