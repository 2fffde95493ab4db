import seedrandom from 'seedrandom';
import { Agent } from 'undici';
import type { ChatResult, ChatVerdict } from '../../test/support/chatCaller.js';
import { countCodes, countVerdicts, performChat } from '../../test/support/chatCaller.js';
import type { Cluster, ClusterAgent } from '../../test/support/cluster.js';
import { startCluster } from '../../test/support/cluster.js';
import { buildDeployment, buildInitialTicket, countPorts } from '../../test/support/deployment.js';
import type { FrameFault } from '../../test/support/frameRelay.js';
import { FrameRelay } from '../../test/support/frameRelay.js';
import { reduceOutline, unionOutline } from '../../test/support/outlines.js';
import { reservePorts } from '../../test/support/ports.js';
import { startProcess } from '../../test/support/processes.js';
import { waitMs, waitUntil } from '../../test/support/waiting.js';
import type { RunOptions, RunResult } from '../types.js';
import { SplicingEntry } from './splicingEntry.js';

const SERVICE = 'relief-assistant';
const WORKSPACE = 'branch-ikeja';
const WORKERS = 4;
const CONCURRENT_CHATS = 32;
const BASELINE_CONCURRENT_CHATS = 8;
const MIN_TOKENS = 8;
const TOKEN_RANGE = 56;
const DEADLINE_MS = 8_000;
const ENGINE_KILL_INTERVAL_MS = 4_000;
/** One caller in this many disconnects before its response is complete. */
const DISCONNECT_INTERVAL = 16;
/** Minimum ratio of complete responses; the others end with an explicit error. */
const MIN_COMPLETE_RATIO = 0.95;

/**
 * Probability of each fault per frame sent by an agent. Together with the killed engines they make about 1 in 20
 * attempts fail, which the retry budget of 1/10 covers.
 */
const frameFaults: readonly (readonly [number, FrameFault])[] = [
  [0.0004, { copies: 0 }],
  [0.0004, { copies: 2 }],
  [0.0004, { swapWithNext: true }],
  [0.01, { delayMs: 30 }],
  [0.0002, { truncate: true }],
];

/**
 * Sends chats while frames between entries and agents are lost, duplicated, reordered and delayed, links are
 * disconnected, engines are killed during streams, and callers disconnect. Each response is compared with the
 * engine's tokens byte for byte.
 *
 * @param options - Seed of faults and chats; number of chats
 * @returns Verdicts on the responses, and under `naive` on those of an entry that splices attempts over the same links
 */
export async function proveAnswers({ seed, count }: RunOptions): Promise<RunResult> {
  const outline = reduceOutline(unionOutline, { [SERVICE]: WORKERS, 'payout-ledger': 0 });
  const deployment = buildDeployment(outline, await reservePorts(countPorts(outline)));
  const cluster = await startCluster(deployment);
  const relays: FrameRelay[] = [];
  try {
    relays.push(...(await startRelays(cluster)));
    const random = seedrandom(`answers ${seed}`);
    for (const relay of relays)
      relay.decide = (direction) => (direction === 'toClient' ? pickFrameFault(random()) : {});
    const stopController = new AbortController();
    const engineRestarts = restartEngines(cluster, stopController.signal);
    const baseline = runBaseline(relays, seed, Math.ceil(count / 2));
    const { results, disconnected } = await runChats(cluster, seed, count);
    const baselineCounts = await baseline;
    stopController.abort();
    await engineRestarts;
    const counts = countVerdicts(results);
    return {
      answers: results.length,
      whole: counts.complete,
      wrong: counts.wrong,
      truncated_as_whole: counts.truncated,
      failed: counts.failed + counts.refused,
      left: disconnected,
      failures: countCodes(results),
      naive: {
        answers: Math.ceil(count / 2),
        wrong: baselineCounts.wrong,
        truncated_as_whole: baselineCounts.truncated,
      },
      ok:
        counts.wrong + counts.truncated === 0 &&
        counts.complete >= MIN_COMPLETE_RATIO * results.length,
    };
  } finally {
    for (const relay of relays) relay.close();
    await cluster.stop();
  }
}

/** Starts a relay for each upstream and publishes its address by ticket, as an operator does. */
async function startRelays(cluster: Cluster): Promise<FrameRelay[]> {
  const relays = cluster.agents.map(({ plan }) => new FrameRelay(plan.linkPort));
  await Promise.all(relays.map((relay) => relay.listen()));
  const { objects } = buildInitialTicket(cluster.deployment);
  const upstreams = objects.filter(({ kind }) => kind === 'upstream');
  const moved = upstreams.map((object, index) => {
    const address = `127.0.0.1:${relays[index]?.port ?? 0}`;
    return { ...object, state: { ...object.state, address } };
  });
  await cluster.publishTicket({ ticket: 2, objects: moved });
  for (const { plan } of cluster.entries) {
    await waitUntil(`${plan.id} uses the relays`, async () => {
      const agents = (await cluster.readOperator(plan)).agents as {
        key: string;
        load: { down: boolean };
      }[];
      const ports = new Set(relays.map(({ port }) => `:${port}`));
      return agents.every(({ key, load }) => !load.down && ports.has(/:\d+$/.exec(key)?.[0] ?? ''));
    });
  }
  return relays;
}

function pickFrameFault(drawn: number): FrameFault {
  let remaining = drawn;
  for (const [probability, fault] of frameFaults) {
    if (remaining < probability) return fault;
    remaining -= probability;
  }
  return {};
}

async function runChats(
  cluster: Cluster,
  seed: number,
  count: number,
): Promise<{ results: ChatResult[]; disconnected: number }> {
  const results: ChatResult[] = [];
  const dispatcher = new Agent();
  let next = 0;
  let disconnected = 0;
  const sendChats = async (): Promise<void> => {
    while (next < count) {
      const index = next;
      next += 1;
      const random = seedrandom(`${seed} ${index}`);
      const entry = cluster.entries[index % cluster.entries.length];
      const disconnects = index % DISCONNECT_INTERVAL === 0;
      const result = await performChat({
        url: entry?.httpUrl ?? '',
        model: SERVICE,
        workspace: WORKSPACE,
        prompt: `answers ${seed} ${index}`,
        maxTokens: MIN_TOKENS + Math.floor(TOKEN_RANGE * random()),
        stream: random() < 0.5,
        dispatcher,
        deadlineMs: DEADLINE_MS,
        ...(disconnects ? { disconnectAfterMs: Math.ceil(150 * random()) } : {}),
      });
      // The text received by a disconnected caller must still be a prefix of its response.
      if (disconnects && result.verdict === 'failed') disconnected += 1;
      else results.push(result);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CHATS }, sendChats));
  await dispatcher.destroy();
  return { results, disconnected };
}

async function runBaseline(
  relays: readonly FrameRelay[],
  seed: number,
  count: number,
): Promise<Record<ChatVerdict, number>> {
  const addresses = relays.map(({ port }) => `127.0.0.1:${port}`);
  const entry = new SplicingEntry(addresses, SERVICE, WORKSPACE);
  const counts = { complete: 0, wrong: 0, truncated: 0, failed: 0, refused: 0 };
  let next = 0;
  const sendChats = async (): Promise<void> => {
    while (next < count) {
      const index = next;
      next += 1;
      const tokens = MIN_TOKENS + (index % TOKEN_RANGE);
      counts[await entry.runChat(`naive ${seed} ${index}`, tokens)] += 1;
    }
  };
  await Promise.all(Array.from({ length: BASELINE_CONCURRENT_CHATS }, sendChats));
  entry.close();
  return counts;
}

/** Kills and restarts the engines in rotation. */
async function restartEngines(cluster: Cluster, signal: AbortSignal): Promise<void> {
  for (let turn = 0; !signal.aborted; turn += 1) {
    const agent = cluster.agents[turn % cluster.agents.length];
    if (agent === undefined) return;
    const isStopped = await waitMs(ENGINE_KILL_INTERVAL_MS).then(() => signal.aborted);
    if (!isStopped) await restartEngine(agent);
  }
}

async function restartEngine(agent: ClusterAgent): Promise<void> {
  agent.upstream.send('SIGKILL');
  await agent.upstream.exited;
  const args = ['--port', String(agent.plan.upstreamPort)];
  agent.upstream = await startProcess(agent.upstream.name, 'test/standins/engine.ts', args);
}
