import { execFileSync } from 'node:child_process';
import { Agent, request } from 'undici';
import type { Cluster, ClusterEntry } from '../../test/support/cluster.js';
import { startCluster } from '../../test/support/cluster.js';
import { buildDeployment, countPorts, getExampleToken } from '../../test/support/deployment.js';
import { reduceOutline, unionOutline } from '../../test/support/outlines.js';
import { reservePorts } from '../../test/support/ports.js';
import { rootDirectory } from '../../test/support/processes.js';
import type { SendRequest } from '../support/loadGenerator.js';
import { computePercentile, runPaired } from '../support/loadGenerator.js';
import { runLoadProcesses } from '../support/loadProcesses.js';
import type { LoadPlan } from '../support/loadWorker.js';
import { readCpuSeconds, readResidentMegabytes } from '../support/processUsage.js';
import type { RunOptions, RunResult } from '../types.js';

const ENGINES = 6;
const PLAIN_SERVICES = 4;
/** Far above the throughput of the path, so that the stand-ins are not the bottleneck. */
const ENGINE_TOKENS_PER_SECOND = 50_000;
const WARM_UP_MS = 1_000;
const WARM_UP_CALLS = 1_500;
const MEASURE_MS = 4_000;
const LOAD_PROCESSES = 3;
/** Requests that each load process keeps in flight. */
const CALL_LOOPS = 24;
const STREAM_LOOPS = 120;
const MICROSECONDS_PER_SECOND = 1e6;
const STREAM_TOKENS = 256;
const HTTP_OK = 200;
const CALL_BODY = JSON.stringify({ lookup: 'member-17' });

const pool = new Agent({ connections: 16 });

async function postJson(url: string, body: string, token?: string): Promise<string> {
  const headers: Record<string, string> = { 'content-type': 'application/json' };
  if (token !== undefined) headers.authorization = `Bearer ${token}`;
  const response = await request(url, { method: 'POST', headers, body, dispatcher: pool });
  const text = await response.body.text();
  if (response.statusCode !== HTTP_OK) throw new Error(`HTTP ${response.statusCode} ${text}`);
  return text;
}

/** Rotates through the workspaces, so that the queue limit of one workspace is not the bottleneck. */
function pickToken(cluster: Cluster, index: number): string {
  const { workspaces } = cluster.deployment;
  return getExampleToken(workspaces[index % workspaces.length]?.id ?? '');
}

function createCall(cluster: Cluster, entry: ClusterEntry): SendRequest {
  const url = `${entry.httpUrl}/v1/services/payout-ledger/calls`;
  return async (index) => {
    await postJson(url, CALL_BODY, pickToken(cluster, index));
    return 1;
  };
}

function createDirectCall(cluster: Cluster): SendRequest {
  const upstreams = cluster.agents.filter(({ plan }) => plan.service === 'payout-ledger');
  return async (index) => {
    const upstream = upstreams[index % upstreams.length];
    await postJson(`${upstream?.upstreamUrl ?? ''}/calls`, CALL_BODY);
    return 1;
  };
}

/** Creates the plan of a load process that streams chats. */
function createStreamPlan(cluster: Cluster, entry: ClusterEntry, seed: number): LoadPlan {
  const chat = {
    model: 'relief-assistant',
    messages: [{ role: 'user', content: `Arrears summary ${seed}-$` }],
    max_tokens: STREAM_TOKENS,
    stream: true,
  };
  const url = `${entry.httpUrl}/v1/chat/completions`;
  const shared = createSharedPlan(cluster, STREAM_LOOPS);
  return { ...shared, url, body: JSON.stringify(chat), endMarker: '[DONE]', work: STREAM_TOKENS };
}

/** Creates the plan of a load process that sends calls. */
function createCallPlan(cluster: Cluster, entry: ClusterEntry): LoadPlan {
  const url = `${entry.httpUrl}/v1/services/payout-ledger/calls`;
  return {
    ...createSharedPlan(cluster, CALL_LOOPS),
    url,
    body: CALL_BODY,
    endMarker: '}',
    work: 1,
  };
}

function createSharedPlan(cluster: Cluster, loops: number) {
  const tokens = cluster.deployment.workspaces.map(({ id }) => getExampleToken(id));
  return { tokens, loops, warmUpMs: WARM_UP_MS, durationMs: MEASURE_MS };
}

interface Throughput {
  readonly perSecond: number;
  readonly failed: number;
  /** CPU usage of the entry in cores. */
  readonly cores: number;
  /** CPU time of the entry per unit of work, microseconds. */
  readonly microsecondsPerUnit: number;
}

/** Runs the load processes and relates the entry's CPU time to the completed work. */
async function measureThroughput(entry: ClusterEntry, plan: LoadPlan): Promise<Throughput> {
  const { pid } = entry.process;
  const result = await runLoadProcesses(plan, LOAD_PROCESSES, () => readCpuSeconds(pid));
  return {
    perSecond: result.workPerSecond,
    failed: result.failed,
    cores: result.gaugeDelta / result.seconds,
    microsecondsPerUnit: (result.gaugeDelta * MICROSECONDS_PER_SECOND) / result.work,
  };
}

function formatFigure(value: number): number {
  return Number(value.toFixed(2));
}

async function startPathCluster(): Promise<Cluster> {
  const workers = { 'relief-assistant': ENGINES, 'payout-ledger': PLAIN_SERVICES };
  const reduced = reduceOutline(unionOutline, workers);
  const services = reduced.services.map((service) => ({
    ...service,
    slots: 64,
    tokensPerSecond: ENGINE_TOKENS_PER_SECOND,
  }));
  const outline = { ...reduced, services, entries: 1 };
  const deployment = buildDeployment(outline, await reservePorts(countPorts(outline)));
  return startCluster(deployment, {
    program: 'built',
    engineArguments: ['--tokensPerSecond', String(ENGINE_TOKENS_PER_SECOND)],
  });
}

/**
 * Measures the path through one entry and its agents, as processes built by `npm run build`.
 *
 * `added_*` is the latency percentile through entry and agent minus that of direct calls to the same plain services,
 * measured alternately at a tenth of the saturation throughput. `entry_us_*` is the entry's CPU time per request or
 * token, which is less sensitive to other load on the machine than the throughput; `entry_cores_*` shows whether the
 * entry was the bottleneck.
 *
 * @param options - Seed of the prompts; number of latency samples for each target
 * @returns Latencies in milliseconds, throughput per second, memory in megabytes
 */
export async function benchPath({ seed, count }: RunOptions): Promise<RunResult> {
  execFileSync('npm', ['run', 'build', '--silent'], { cwd: rootDirectory, stdio: 'inherit' });
  const cluster = await startPathCluster();
  try {
    const entry = cluster.entries[0];
    if (entry === undefined) throw new Error('the cluster has no entry');
    const call = createCall(cluster, entry);
    const calls = await measureThroughput(entry, createCallPlan(cluster, entry));
    const streams = await measureThroughput(entry, createStreamPlan(cluster, entry, seed));
    const perSecond = calls.perSecond / 10;
    // Opens connections and warms up the JIT of this process, so that neither is measured.
    await runPaired([createDirectCall(cluster), call], { count: WARM_UP_CALLS, perSecond });
    const paired = await runPaired([createDirectCall(cluster), call], { count, perSecond });
    const [direct, routed] = paired.durations;
    const subtract = (percent: number): number =>
      formatFigure(computePercentile(routed, percent) - computePercentile(direct, percent));
    return {
      added_p50_ms: subtract(50),
      added_p99_ms: subtract(99),
      direct_p50_ms: formatFigure(computePercentile(direct, 50)),
      direct_p99_ms: formatFigure(computePercentile(direct, 99)),
      latency_rate_per_s: formatFigure(perSecond),
      entry_requests_per_s: formatFigure(calls.perSecond),
      entry_tokens_per_s: formatFigure(streams.perSecond),
      entry_us_per_request: formatFigure(calls.microsecondsPerUnit),
      entry_us_per_token: formatFigure(streams.microsecondsPerUnit),
      entry_cores_requests: formatFigure(calls.cores),
      entry_cores_tokens: formatFigure(streams.cores),
      entry_rss_mb: formatFigure(readResidentMegabytes(entry.process.pid)),
      failed: calls.failed + streams.failed + paired.failed,
    };
  } finally {
    await cluster.stop();
    await pool.close();
  }
}
