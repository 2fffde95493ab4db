import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import type { Cluster, ClusterEntry } from '../../test/support/cluster.js';
import { startCluster } from '../../test/support/cluster.js';
import { buildDeployment, countPorts, getExampleToken } from '../../test/support/deployment.js';
import { reduceOutline, unionOutline } from '../../test/support/outlines.js';
import { reservePorts } from '../../test/support/ports.js';
import { readCpuSeconds, readResidentMegabytes } from './processUsage.js';

const ENGINES = 4;
const PLAIN_SERVICES = 3;
const SLOTS = 128;
const TOKENS_PER_SECOND = 3_000;
const CALLS_PER_SECOND = [50, 150, 300];
const OPEN_STREAMS = [20, 60, 120];
const MEASURE_MS = 4_000;
const WARM_UP_MS = 1_500;
const HTTP_OK = 200;
const STREAM_TOKENS = 512;

type Measured = (readonly [number, Record<string, number>])[];

const pool = new Agent({ connections: 512 });

async function post(url: string, body: unknown, token: string): Promise<string> {
  const headers = { 'content-type': 'application/json', authorization: `Bearer ${token}` };
  const text = JSON.stringify(body);
  const response = await request(url, { method: 'POST', headers, body: text, dispatcher: pool });
  const answer = await response.body.text();
  if (response.statusCode !== HTTP_OK) throw new Error(`HTTP ${response.statusCode} ${answer}`);
  return answer;
}

/** Reads the CPU seconds of the entry and of all agents. */
function readUsage(cluster: Cluster, entry: ClusterEntry): { entry: number; agents: number } {
  const agents = cluster.agents.map(({ process }) => readCpuSeconds(process.pid));
  return {
    entry: readCpuSeconds(entry.process.pid),
    agents: agents.reduce((sum, seconds) => sum + seconds, 0),
  };
}

async function measureCalls(
  cluster: Cluster,
  entry: ClusterEntry,
  perSecond: number,
): Promise<readonly [number, Record<string, number>]> {
  const url = `${entry.httpUrl}/v1/services/payout-ledger/calls`;
  const { workspaces } = cluster.deployment;
  const before = readUsage(cluster, entry);
  const startedAt = performance.now();
  const calls: Promise<string>[] = [];
  while (performance.now() - startedAt < MEASURE_MS) {
    while (calls.length < ((performance.now() - startedAt) / 1000) * perSecond) {
      const workspace = workspaces[calls.length % workspaces.length]?.id ?? '';
      calls.push(post(url, { lookup: calls.length }, getExampleToken(workspace)));
    }
    await sleep(5);
  }
  await Promise.all(calls);
  const seconds = (performance.now() - startedAt) / 1000;
  const after = readUsage(cluster, entry);
  const entry_core_percent = ((after.entry - before.entry) / seconds) * 100;
  const agents_core_percent = ((after.agents - before.agents) / seconds) * 100;
  return [calls.length / seconds, { entry_core_percent, agents_core_percent }];
}

/** Keeps streams open and relates tokens to CPU time and open streams to memory. */
async function measureStreams(
  cluster: Cluster,
  entry: ClusterEntry,
  streams: number,
  seed: number,
): Promise<{
  tokens: readonly [number, Record<string, number>];
  memory: [number, Record<string, number>];
}> {
  const url = `${entry.httpUrl}/v1/chat/completions`;
  const { workspaces } = cluster.deployment;
  let stopped = false;
  let completed = 0;
  const runStream = async (index: number): Promise<void> => {
    while (!stopped) {
      const content = `Arrears summary ${seed}-${streams}-${index}-${completed}`;
      const messages = [{ role: 'user', content }];
      const chat = { model: 'relief-assistant', messages, max_tokens: STREAM_TOKENS, stream: true };
      const workspace = workspaces[index % workspaces.length]?.id ?? '';
      const text = await post(url, chat, getExampleToken(workspace));
      if (!text.trimEnd().endsWith('[DONE]'))
        throw new Error('stream ended without its end marker');
      completed += 1;
    }
  };
  const before = readUsage(cluster, entry);
  const startedAt = performance.now();
  const running = Promise.all(Array.from({ length: streams }, (_, index) => runStream(index)));
  await sleep(WARM_UP_MS);
  const entry_resident_mb = readResidentMegabytes(entry.process.pid);
  const agents_resident_mb = cluster.agents
    .filter(({ plan }) => plan.service === 'relief-assistant')
    .reduce((sum, { process }) => sum + readResidentMegabytes(process.pid), 0);
  await sleep(MEASURE_MS - WARM_UP_MS);
  stopped = true;
  await running;
  const seconds = (performance.now() - startedAt) / 1000;
  const after = readUsage(cluster, entry);
  const entry_core_percent = ((after.entry - before.entry) / seconds) * 100;
  const agents_core_percent = ((after.agents - before.agents) / seconds) * 100;
  const tokensPerSecond = (completed * STREAM_TOKENS) / seconds;
  return {
    tokens: [tokensPerSecond, { entry_core_percent, agents_core_percent }],
    memory: [streams, { entry_resident_mb, agents_resident_mb }],
  };
}

/**
 * Measures one built entry with its agents and stand-ins at three call rates and three numbers of
 * open streams.
 *
 * @param seed - Seed of the prompts
 * @returns Figures by series; sizes are requests per second, tokens per second and open streams
 */
export async function measurePathSeries(seed: number): Promise<Record<string, Measured>> {
  const workers = { 'relief-assistant': ENGINES, 'payout-ledger': PLAIN_SERVICES };
  const reduced = reduceOutline(unionOutline, workers);
  const services = reduced.services.map((service) => ({
    ...service,
    slots: SLOTS,
    tokensPerSecond: TOKENS_PER_SECOND,
  }));
  const outline = { ...reduced, services, entries: 1 };
  const deployment = buildDeployment(outline, await reservePorts(countPorts(outline)));
  const engineArguments = ['--tokensPerSecond', String(TOKENS_PER_SECOND)];
  const cluster = await startCluster(deployment, { program: 'built', engineArguments });
  const series: Record<string, Measured> = { calls: [], tokens: [], openStreams: [] };
  try {
    const entry = cluster.entries[0];
    if (entry === undefined) throw new Error('the cluster has no entry');
    await measureCalls(cluster, entry, CALLS_PER_SECOND.at(-1) ?? 1);
    for (const rate of CALLS_PER_SECOND) {
      series.calls?.push(await measureCalls(cluster, entry, rate));
    }
    for (const streams of OPEN_STREAMS) {
      const { tokens, memory } = await measureStreams(cluster, entry, streams, seed);
      series.tokens?.push(tokens);
      series.openStreams?.push(memory);
    }
    return series;
  } finally {
    await cluster.stop();
    void pool.close();
  }
}
