import seedrandom from 'seedrandom';
import type { WorkerStandIn } from '../standins/platformWorker.js';
import { startGatewayFixture } from './gatewayFixture.js';
import { reservePorts } from './ports.js';
import type { RunningProcess } from './processes.js';
import { startProcess } from './processes.js';
import { GATEWAY_HEADER, startBusyCallers } from './rateLimitCallers.js';
import type { BusiestWindow } from './rateLimitRule.js';
import { findBusiestWindow } from './rateLimitRule.js';
import { waitMs, waitUntil } from './waiting.js';

export interface SoakResult extends BusiestWindow {
  readonly perSecond: number;
  readonly faults: readonly string[];
  /** Time from the end of the limit until the upstream gets more requests than it allowed. */
  readonly releasedMs: number;
}

const GATEWAYS = 4;
const WARM_UP_MS = 1_500;
const FAULTS = 5;
const MAX_FAULT_INTERVAL_MS = 3_000;
const MAX_PAUSE_MS = 4_000;
const MAX_STOPPED_MS = 2_000;
/** A gateway that was restarted or paused is not counted until it has been in touch for this long. */
const EXCUSE_MS = 3_000;
const SETTLE_MS = 5_000;
const RELEASE_TIMEOUT_MS = 15_000;

interface SoakGateway {
  process: RunningProcess;
  /** Spans in which the gateway is not counted. */
  readonly excused: { readonly from: number; until: number }[];
}

/** Starts, stops and pauses the gateways of one seed. */
class GatewayProcesses {
  readonly gateways: SoakGateway[] = [];
  urls: string[] = [];
  private ports: number[][] = [];

  constructor(private readonly storePort: number) {}

  async start(): Promise<void> {
    const ports = await reservePorts(GATEWAYS * 3);
    this.ports = Array.from({ length: GATEWAYS }, (_, index) =>
      ports.slice(index * 3, index * 3 + 3),
    );
    this.urls = this.ports.map(([, frontPort = 0]) => `http://127.0.0.1:${frontPort}`);
    await Promise.all(
      this.ports.map(async (_ports, index) => {
        this.gateways[index] = { process: await this.startOne(index), excused: [] };
      }),
    );
  }

  /** Stops a gateway by a signal and starts it again. */
  async restart(index: number, signal: NodeJS.Signals, stoppedMs: number): Promise<void> {
    await this.excuse(index, async (gateway) => {
      gateway.process.send(signal);
      await gateway.process.exited;
      await waitMs(stoppedMs);
      gateway.process = await this.startOne(index);
    });
  }

  async pause(index: number, pausedMs: number): Promise<void> {
    await this.excuse(index, async ({ process }) => {
      process.send('SIGSTOP');
      await waitMs(pausedMs);
      process.send('SIGCONT');
    });
  }

  isExcused(index: number, at: number): boolean {
    const { excused = [] } = this.gateways[index] ?? {};
    return excused.some(({ from, until }) => at >= from && at < until);
  }

  async stop(): Promise<void> {
    for (const { process } of this.gateways) process.send('SIGKILL');
    await Promise.all(this.gateways.map(({ process }) => process.exited));
  }

  private async excuse(index: number, run: (gateway: SoakGateway) => Promise<void>): Promise<void> {
    const gateway = this.gateways[index];
    if (gateway === undefined) throw new Error(`gateway ${index} has not been started`);
    const span = { from: performance.now(), until: Infinity };
    gateway.excused.push(span);
    await run(gateway);
    span.until = performance.now() + EXCUSE_MS;
  }

  private startOne(index: number): Promise<RunningProcess> {
    return startProcess(`gateway-${index}`, 'test/support/gatewayHost.ts', [
      String(this.storePort),
      String(index),
      ...this.ports.map((ports) => ports.join(',')),
    ]);
  }
}

type SoakFault = (
  processes: GatewayProcesses,
  gateway: number,
  random: () => number,
) => Promise<void>;

const faultHandlers: Readonly<Record<string, SoakFault>> = {
  pause: (processes, gateway, random) => processes.pause(gateway, random() * MAX_PAUSE_MS),
  kill: (processes, gateway, random) =>
    processes.restart(gateway, 'SIGKILL', random() * MAX_STOPPED_MS),
  term: (processes, gateway, random) =>
    processes.restart(gateway, 'SIGTERM', random() * MAX_STOPPED_MS),
};

/** Runs faults that follow each other or overlap; each gateway has one at a time. */
async function runFaults(processes: GatewayProcesses, random: () => number): Promise<string[]> {
  const names = Object.keys(faultHandlers);
  const busy = new Set<number>();
  const running: Promise<void>[] = [];
  const log: string[] = [];
  for (let count = 0; count < FAULTS; count += 1) {
    await waitMs(random() * MAX_FAULT_INTERVAL_MS);
    const gateway = Math.floor(random() * GATEWAYS);
    const name = names[Math.floor(random() * names.length)] ?? 'pause';
    if (busy.has(gateway)) continue;
    busy.add(gateway);
    log.push(`${name} ${gateway}`);
    const fault = faultHandlers[name]?.(processes, gateway, random);
    if (fault === undefined) continue;
    running.push(
      fault.then(() => {
        busy.delete(gateway);
      }),
    );
  }
  await Promise.all(running);
  return log;
}

async function measureRelease(worker: WorkerStandIn, perSecond: number): Promise<number> {
  const before = worker.receivedRequests.length;
  const startedAt = performance.now();
  const getExcess = (): number => {
    const elapsedS = (performance.now() - startedAt) / 1_000;
    return worker.receivedRequests.length - before - 2 * perSecond * elapsedS;
  };
  return waitUntil('limit no longer applied', () => getExcess() > 4 * perSecond, {
    timeoutMs: RELEASE_TIMEOUT_MS,
  });
}

/**
 * Runs gateways as processes before an upstream with a rate limit, while they are paused and restarted.
 *
 * @param seed - Determines limit and faults
 * @returns The busiest window of the upstream, and when the end of the limit took effect
 */
export async function runRateLimitSoak(seed: string): Promise<SoakResult> {
  const random = seedrandom(seed);
  const perSecond = [0.5, 1, 2, 5][Math.floor(random() * 4)] ?? 1;
  const fixture = await startGatewayFixture({ workers: 2, gateways: 0 });
  const processes = new GatewayProcesses(fixture.store.port);
  const [limited] = fixture.workers;
  if (limited === undefined) throw new Error('the fixture has no worker');
  try {
    await processes.start();
    const callers = startBusyCallers(processes.urls, { perGateway: 2, pauseMs: 40 });
    await waitMs(WARM_UP_MS);
    limited.rateLimit = String(perSecond);
    const statedAt = performance.now();
    const faults = await runFaults(processes, random);
    await waitMs(SETTLE_MS);
    const endedAt = performance.now();
    limited.rateLimit = undefined;
    const releasedMs = await measureRelease(limited, perSecond);
    await callers.stop();
    const arrivals = limited.receivedRequests
      .map(({ receivedAt, headers }) => ({
        at: receivedAt,
        gateway: String(headers[GATEWAY_HEADER]),
      }))
      .filter(({ at, gateway }) => !processes.isExcused(Number(gateway), at));
    const { toldAt } = callers;
    const window = findBusiestWindow({ perSecond, statedAt, endedAt, toldAt, arrivals });
    return { perSecond, faults, releasedMs, ...window };
  } finally {
    await processes.stop();
    await fixture.close();
  }
}
