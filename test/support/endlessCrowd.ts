import type { ChildProcess } from 'node:child_process';
import { fork } from 'node:child_process';
import { once } from 'node:events';
import type { EndlessPart } from '../standins/endlessWorker.js';
import type { RawWorker } from '../standins/rawWorker.js';
import type { LinkFlood } from '../standins/floodingPeer.js';
import { startRawWorker } from '../standins/rawWorker.js';
import { buildProgram } from './compiledPrograms.js';
import { HEAP_MB, MAX_MEMORY_BYTES } from './crowdRun.js';
import type { PublishedWorker } from './gatewayFixture.js';
import { startGatewayFixture } from './gatewayFixture.js';
import type { GatewayProgram } from './gatewayProgram.js';
import { startGatewayProgram, waitUntilProgramReady } from './gatewayProgram.js';
import { readPeakMemory } from './processMemory.js';
import { rootDirectory } from './processes.js';
import type { CrowdCalls } from './crowdCallers.js';
import type { CallSummary } from './repeatedCalls.js';
import { callRepeatedly, createSummary, DEADLINE_MS } from './repeatedCalls.js';
import { createStopRoutes, respondByPath } from './stopFixture.js';
import { waitUntil } from './waiting.js';

const UPSTREAMS = 24;
const ORDINARY_CALLERS = 10;
/** Time that the sound upstream takes for a request. */
const WORK_MS = 200;
/** Target latency of ordinary requests. */
const TARGET_LATENCY_MS = 1_000;

/** Requests to upstreams without end, and ordinary ones beside them. */
export interface EndlessLoad {
  /** Parts that do not end; the upstreams take them in turn. */
  readonly parts: readonly EndlessPart[];
  /** Callers of the faulty service, each on a kept connection. */
  readonly callers: number;
  /** Path of these callers, in turn. */
  readonly paths: readonly string[];
  readonly durationMs: number;
  /** Whether the gateway is stopped in half of the time, while all callers go on until it is gone. */
  readonly isStopped?: boolean;
  /** Links of other processes that send frames without end. */
  readonly flood?: { readonly kind: LinkFlood; readonly links: number };
}

/** What a load has led to. */
export interface EndlessOutcome {
  readonly exit: number | string | null | undefined;
  /** Largest resident memory of the gateway, in bytes. */
  readonly peakBytes: number;
  readonly ordinary: CallSummary;
  readonly others: CallSummary;
  /** Ordinary requests that were passed on and whose connection ended before the end of the response. */
  readonly lost: readonly string[];
  readonly isStopped: boolean;
  /** Bytes that the faulty upstreams have sent. */
  readonly sentBytes: number;
  readonly log: readonly string[];
  /** Text of the metrics endpoint at the end. */
  readonly metrics: string;
}

/**
 * Starts the gateway program with faulty upstreams of one service and a sound one of another, and calls both.
 *
 * @param load - Faulty parts and callers
 * @returns What the callers saw
 */
export async function runEndlessLoad(load: EndlessLoad): Promise<EndlessOutcome> {
  const host = await startEndlessHost(
    Array.from(
      { length: UPSTREAMS },
      (_, index) => load.parts[index % load.parts.length] ?? 'unframed',
    ),
  );
  const sound = await startRawWorker('i-sound', (socket, received) => {
    void respondByPath(socket, received);
  });
  const fixture = await startGatewayFixture({ workers: 0, started: 0 });
  fixture.publishWorker(sound, { slots: 64, service: 'ledger' });
  for (const worker of host.workers) fixture.publishWorker(worker, { slots: 8 });
  publishRoutes(fixture);
  const gateway = await startGatewayProgram({
    storePort: fixture.store.port,
    stopLimitMs: 8_000,
    heapMb: HEAP_MB,
    sections: [`[host]\nmemory_mb=${MAX_MEMORY_BYTES / 1024 / 1024}`],
  });
  try {
    await waitUntilProgramReady(gateway);
    if (load.flood === undefined) return await callBoth(load, gateway, host, sound);
    const peers = await startFloodHost(gateway.linksPort, load.flood);
    try {
      return await callBoth(load, gateway, peers, sound);
    } finally {
      peers.close();
    }
  } finally {
    gateway.child.kill('SIGKILL');
    await gateway.ended;
    host.close();
    await fixture.close();
    await sound.close();
  }
}

function publishRoutes(fixture: Awaited<ReturnType<typeof startGatewayFixture>>): void {
  const ordinary = {
    host: 'app.example',
    timeoutMs: DEADLINE_MS,
    targetLatencyMs: TARGET_LATENCY_MS,
    targetGapMs: 500,
    priority: 1,
    service: 'ledger',
    public: false,
    maxAttempts: 2,
    name: 'ordinary',
    prefix: '/ordinary/',
    routeType: 'idempotent',
  };
  fixture.publishConfiguration(2, {
    routes: [...createStopRoutes(DEADLINE_MS), ordinary],
    services: ['assistant', 'ledger'].map((name) => ({
      name,
      healthPath: '/health',
      maxConns: 100,
    })),
    tenants: [
      { name: 'crowd', apiKeys: ['key-1'], priority: 1 },
      { name: 'ordinary', apiKeys: ['key-2'], priority: 1 },
    ],
  });
}

/**
 * Compares an outcome with the bounds of every load.
 *
 * @param outcome - What a load has led to
 * @returns Broken bounds, none if all are kept
 */
export function listViolations({
  exit,
  peakBytes,
  ordinary,
  others,
  lost,
  isStopped,
}: EndlessOutcome): string[] {
  const violations: string[] = [];
  if (exit !== (isStopped ? 0 : undefined)) violations.push('the gateway ended');
  if (lost.length > 0) violations.push('ordinary request lost after it was passed on');
  if (peakBytes >= MAX_MEMORY_BYTES) violations.push('memory above that of the host');
  // A stopping gateway may refuse requests, and close a connection whose request it has not taken.
  if (!isStopped && ordinary.failed + ordinary.cut > 0)
    violations.push('ordinary request not served');
  if (ordinary.slowestMs > TARGET_LATENCY_MS) violations.push('ordinary request beyond its target');
  if (ordinary.late + others.late > 0) violations.push('request without an end in time');
  return violations;
}

async function callBoth(
  load: EndlessLoad,
  gateway: GatewayProgram,
  host: SendingHost,
  sound: RawWorker,
): Promise<EndlessOutcome> {
  let exit: EndlessOutcome['exit'];
  void gateway.ended.then((ended) => {
    exit = ended;
  });
  const pid = gateway.child.pid ?? 0;
  let peakBytes = 0;
  const sampler = setInterval(() => {
    if (exit === undefined) peakBytes = Math.max(peakBytes, readPeak(pid));
  }, 100);
  const { durationMs, isStopped = false } = load;
  const endsAt = performance.now() + durationMs;
  if (isStopped) setTimeout(() => gateway.child.kill('SIGTERM'), durationMs / 2);
  const mayGoOn = (): boolean => performance.now() < endsAt && exit === undefined;
  const ordinary = createSummary();
  const crowd = callInOtherProcess({
    url: gateway.url,
    callers: load.callers,
    paths: load.paths,
    durationMs,
  });
  const calls = Array.from({ length: ORDINARY_CALLERS }, (_, index) =>
    callRepeatedly(gateway.url, mayGoOn, ordinary, {
      path: `/ordinary/${WORK_MS}`,
      key: 'key-2',
      name: `ordinary-${index}`,
    }),
  );
  await Promise.all(calls);
  const others = await crowd;
  if (isStopped) await gateway.ended;
  clearInterval(sampler);
  const passedOn = new Set(sound.requests.map(({ requestId }) => requestId));
  const lost = ordinary.cutIds.filter((id) => passedOn.has(id));
  const metrics = await fetch(gateway.metricsUrl).then(
    (response) => response.text(),
    () => '',
  );
  const sentBytes = await host.readSentBytes();
  const { log } = gateway;
  return { exit, peakBytes, ordinary, others, lost, isStopped, sentBytes, log, metrics };
}

/** Calls from a process of its own, so that reading what the crowd gets does not delay the ordinary callers. */
async function callInOtherProcess(calls: CrowdCalls): Promise<CallSummary> {
  const program = await buildProgram(rootDirectory, 'test/support/crowdCallers.ts');
  const child = fork(program, [JSON.stringify(calls)], {
    cwd: rootDirectory,
    stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    execArgv: [],
  });
  const [summary] = (await once(child, 'message')) as [CallSummary];
  return summary;
}

function readPeak(pid: number): number {
  try {
    const bytes = readPeakMemory(pid);
    // The memory of a process that has ended is not known.
    return Number.isFinite(bytes) ? bytes : 0;
  } catch {
    return 0;
  }
}

/** A process of stand-ins that send without end. */
interface SendingHost {
  readSentBytes(): Promise<number>;
  close(): void;
}

interface EndlessHost extends SendingHost {
  readonly workers: readonly PublishedWorker[];
}

async function startEndlessHost(parts: readonly EndlessPart[]): Promise<EndlessHost> {
  const program = await buildProgram(rootDirectory, 'test/support/endlessHost.ts');
  const child = fork(program, parts, {
    cwd: rootDirectory,
    stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
    execArgv: [],
  });
  let output = '';
  child.stdout?.setEncoding('utf8').on('data', (text: string) => {
    output += text;
  });
  await waitUntil('endless workers started', () => output.includes('\n'));
  const { workers } = JSON.parse(output) as { workers: PublishedWorker[] };
  return { workers, ...createSendingHost(child) };
}

async function startFloodHost(
  port: number,
  { kind, links }: NonNullable<EndlessLoad['flood']>,
): Promise<SendingHost> {
  const program = await buildProgram(rootDirectory, 'test/support/floodHost.ts');
  const child = fork(program, [String(port), String(links), kind], {
    cwd: rootDirectory,
    stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
    execArgv: [],
  });
  return createSendingHost(child);
}

function createSendingHost(child: ChildProcess): SendingHost {
  return {
    readSentBytes: () =>
      new Promise((resolve) => {
        child.once('message', (bytes) => {
          resolve(Number(bytes));
        });
        child.send('sentBytes');
      }),
    close: () => {
      child.kill('SIGKILL');
    },
  };
}
