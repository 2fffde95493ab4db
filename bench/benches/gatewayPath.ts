import type { ChildProcess } from 'node:child_process';
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { Agent, request } from 'undici';
import type { PublishedWorker } from '../../test/support/gatewayFixture.js';
import { startGatewayFixture } from '../../test/support/gatewayFixture.js';
import type { GatewayProgram } from '../../test/support/gatewayProgram.js';
import { startGatewayProgram, waitUntilProgramReady } from '../../test/support/gatewayProgram.js';
import { createStopRoutes } from '../../test/support/stopFixture.js';
import type { SendRequest } from '../support/loadGenerator.js';
import { runClosedLoop } from '../support/loadGenerator.js';
import { readCpuSeconds, readResidentMegabytes } from '../support/processUsage.js';
import type { RunOptions, RunResult } from '../types.js';

const WORKER_SCRIPT = fileURLToPath(new URL('../support/pathWorker.ts', import.meta.url));
const DEADLINE_MS = 5_000;
const SLOTS = 64;
const CONNECTIONS = 16;
const STREAM_EVENTS = 64;
const WARM_UP_MS = 2_000;
const HEAP_MB = 128;
const HTTP_OK = 200;
const MICROSECONDS_PER_SECOND = 1e6;

/** Sends GET requests for short bodies and POST requests for streams. */
function createSend(url: string, pool: Agent, path: string, end: string): SendRequest {
  const name = path.replaceAll('/', '-');
  return async (index) => {
    const isStream = path.startsWith('/chat/');
    const response = await request(`${url}${path}`, {
      method: isStream ? 'POST' : 'GET',
      headers: {
        host: 'app.example',
        'request-id': `bench${name}-${index}`,
        'deadline-ms': String(DEADLINE_MS),
        'x-api-key': 'key-1',
      },
      body: isStream ? '{}' : null,
      dispatcher: pool,
    });
    const text = await response.body.text();
    if (response.statusCode !== HTTP_OK || !text.trimEnd().endsWith(end))
      throw new Error(`HTTP ${response.statusCode} ${text}`);
    return isStream ? STREAM_EVENTS : 1;
  };
}

interface PathCost {
  readonly perSecond: number;
  readonly failed: number;
  /** CPU time of the gateway per unit of work, microseconds. */
  readonly microsecondsPerUnit: number;
}

async function measureCost(pid: number, send: SendRequest, durationMs: number): Promise<PathCost> {
  await runClosedLoop(send, { loops: CONNECTIONS, durationMs: WARM_UP_MS });
  const before = readCpuSeconds(pid);
  const { work, failed, seconds } = await runClosedLoop(send, { loops: CONNECTIONS, durationMs });
  const cpuSeconds = readCpuSeconds(pid) - before;
  const microsecondsPerUnit = (cpuSeconds * MICROSECONDS_PER_SECOND) / work;
  return { perSecond: work / seconds, failed, microsecondsPerUnit };
}

async function startWorker(): Promise<{ child: ChildProcess; worker: PublishedWorker }> {
  const child = fork(WORKER_SCRIPT, { execArgv: ['--import', 'tsx'] });
  const [worker] = (await once(child, 'message')) as [PublishedWorker];
  return { child, worker };
}

function formatFigure(value: number): number {
  return Number(value.toFixed(2));
}

async function measurePaths(gateway: GatewayProgram, durationMs: number): Promise<RunResult> {
  await waitUntilProgramReady(gateway);
  const pid = gateway.child.pid ?? 0;
  const pool = new Agent({ connections: CONNECTIONS });
  try {
    const call = createSend(gateway.url, pool, '/lookup/1', 'done');
    const calls = await measureCost(pid, call, durationMs);
    const chat = createSend(
      gateway.url,
      pool,
      `/chat/${STREAM_EVENTS}`,
      `data: piece ${STREAM_EVENTS}`,
    );
    const streams = await measureCost(pid, chat, durationMs);
    return {
      gateway_requests_per_s: formatFigure(calls.perSecond),
      gateway_events_per_s: formatFigure(streams.perSecond),
      gateway_us_per_request: formatFigure(calls.microsecondsPerUnit),
      gateway_us_per_event: formatFigure(streams.microsecondsPerUnit),
      gateway_rss_mb: formatFigure(readResidentMegabytes(pid)),
      failed: calls.failed + streams.failed,
    };
  } finally {
    await pool.close();
  }
}

/**
 * Measures the path through one gateway program in calm: requests with short bodies, and streams, on kept connections.
 *
 * @param options - Milliseconds of each measurement as the size of the run
 * @returns CPU time of the gateway for each request and each event in microseconds, and throughput per second
 */
export async function benchGatewayPath({ count }: RunOptions): Promise<RunResult> {
  const { child, worker } = await startWorker();
  const fixture = await startGatewayFixture({ workers: 0, started: 0 });
  fixture.publishWorker(worker, { slots: SLOTS });
  fixture.publishConfiguration(2, {
    routes: createStopRoutes(DEADLINE_MS),
    services: [{ name: 'assistant', healthPath: '/health', maxConns: SLOTS }],
    tenants: [{ name: 'bench', apiKeys: ['key-1'], priority: 1 }],
  });
  const storePort = fixture.store.port;
  const gateway = await startGatewayProgram({ storePort, stopLimitMs: 8_000, heapMb: HEAP_MB });
  try {
    return await measurePaths(gateway, count);
  } finally {
    gateway.child.kill('SIGKILL');
    await gateway.ended;
    await fixture.close();
    child.kill('SIGKILL');
  }
}
