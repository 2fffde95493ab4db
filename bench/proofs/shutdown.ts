import seedrandom from 'seedrandom';
import { request } from 'undici';
import type { ChatResult } from '../../test/support/chatCaller.js';
import { ChatCallers, countCodes, performChat } from '../../test/support/chatCaller.js';
import type { Cluster, ClusterAgent, ClusterEntry } from '../../test/support/cluster.js';
import { sendControl, startCluster } from '../../test/support/cluster.js';
import { buildDeployment, countPorts } from '../../test/support/deployment.js';
import type { OrderResult } from '../../test/support/orderCaller.js';
import { OrderCallers } from '../../test/support/orderCaller.js';
import { reduceOutline, unionOutline } from '../../test/support/outlines.js';
import { reservePorts } from '../../test/support/ports.js';
import { sendSignalTwice } from '../../test/support/processes.js';
import { waitMs, waitUntil } from '../../test/support/waiting.js';
import type { RunOptions, RunResult } from '../types.js';

const CHAT_SERVICE = 'relief-assistant';
const ORDER_SERVICE = 'payout-ledger';
const WORKSPACE = 'branch-ikeja';
const ORDER_DELAY_MS = 150;
const WARM_UP_MS = 500;
const SETTLE_MS = 500;
const CHAT_CALLERS = 16;
const ORDER_CALLERS = 8;
const TOKENS = 40;
const RECONNECT_TIMEOUT_MS = 10_000;

type Target = ClusterEntry | ClusterAgent;

/** Selects the processes to shut down in a round; the selectors are used in rotation. */
const targets: readonly ((cluster: Cluster, pick: number) => (Target | undefined)[])[] = [
  ({ entries, agents }, pick) => [
    entries[pick % entries.length],
    pickAgent(agents, ORDER_SERVICE, pick),
  ],
  ({ entries }, pick) => [entries[pick % entries.length]],
  ({ agents }, pick) => [pickAgent(agents, ORDER_SERVICE, pick)],
  ({ agents }, pick) => [pickAgent(agents, CHAT_SERVICE, pick)],
];

interface Round {
  readonly requests: number;
  readonly cut: number;
  /** Orders that ran although refused, ran twice, or were reported as done but did not run. */
  readonly falseOrders: number;
  readonly failures: Record<string, number>;
  readonly cutRequests: readonly CutRequest[];
}

/** What is known of a request that a stop cut; times are relative to the signal. */
interface CutRequest {
  readonly round: string;
  readonly kind: 'chat' | 'order';
  readonly isAtTarget: boolean;
  readonly code: string;
  readonly message: string;
  readonly status: number;
  readonly receivedChars: number;
  readonly connectedMs: number | undefined;
  readonly earlierRequests: number | undefined;
  readonly sentMs: number | undefined;
  readonly endedMs: number;
  readonly exitedMs: readonly number[];
}

/**
 * Stops entries and agents under a load of streamed and non-streamed chats and orders, with SIGTERM and, for the
 * baseline that exits immediately, with SIGKILL. Callers send each request once. The checks use the received bytes and
 * the services' records.
 *
 * @param options - Seed of targets and times; number of rounds per signal
 * @returns Requests and interrupted requests, for both signals
 */
export async function proveShutdown({ seed, count }: RunOptions): Promise<RunResult> {
  const workers = { [CHAT_SERVICE]: 3, [ORDER_SERVICE]: 2 };
  const outline = reduceOutline(unionOutline, workers);
  const deployment = buildDeployment(outline, await reservePorts(countPorts(outline)));
  const cluster = await startCluster(deployment);
  try {
    for (const agent of cluster.agents.filter(({ plan }) => plan.service === ORDER_SERVICE))
      await sendControl(`${agent.upstreamUrl}/control`, 'POST', { delayMs: ORDER_DELAY_MS });
    const graceful = await runRounds(cluster, 'SIGTERM', seed, count);
    const baseline = await runRounds(cluster, 'SIGKILL', seed, count);
    const forced = await checkSecondSignal(cluster);
    return {
      rounds: count,
      ...graceful,
      second_signal: forced,
      naive: { requests: baseline.requests, cut: baseline.cut, failures: baseline.failures },
      ok:
        graceful.cut + graceful.falseOrders === 0 &&
        forced.exit_code === 1 &&
        forced.stated === true &&
        forced.unanswered === 0,
    };
  } finally {
    await cluster.stop();
  }
}

async function runRounds(
  cluster: Cluster,
  signal: NodeJS.Signals,
  seed: number,
  count: number,
): Promise<Round> {
  const random = seedrandom(`shutdown ${seed}`);
  const total = { requests: 0, cut: 0, falseOrders: 0, failures: {} as Record<string, number> };
  const cutRequests: CutRequest[] = [];
  for (let round = 0; round < count; round += 1) {
    const selectTargets = targets[round % targets.length];
    const chosen = (selectTargets?.(cluster, Math.floor(random() * 12)) ?? []).filter(
      (target) => target !== undefined,
    );
    const done = await runRound(cluster, chosen, signal, `${signal} ${seed} ${round}`, random);
    total.requests += done.requests;
    total.cut += done.cut;
    total.falseOrders += done.falseOrders;
    cutRequests.push(...done.cutRequests);
    for (const [code, number] of Object.entries(done.failures))
      total.failures[code] = (total.failures[code] ?? 0) + number;
  }
  return { ...total, cutRequests };
}

async function runRound(
  cluster: Cluster,
  chosen: readonly Target[],
  signal: NodeJS.Signals,
  roundLabel: string,
  random: () => number,
): Promise<Round> {
  const urls = cluster.entries.map(({ httpUrl }) => httpUrl);
  const chats = new ChatCallers(CHAT_CALLERS, (caller, index) => ({
    url: urls[caller % urls.length] ?? '',
    model: CHAT_SERVICE,
    workspace: WORKSPACE,
    prompt: `${roundLabel} ${index}`,
    maxTokens: TOKENS,
    stream: index % 2 === 0,
  }));
  const orders = new OrderCallers(ORDER_CALLERS, roundLabel, (caller) => ({
    url: urls[caller % urls.length] ?? '',
    service: ORDER_SERVICE,
    workspace: WORKSPACE,
  }));
  await waitMs(WARM_UP_MS + 200 * random());
  const signalledAt = Date.now();
  for (const target of chosen) target.process.send(signal);
  const exitedMs = await Promise.all(
    chosen.map((target) => target.process.exited.then(() => Date.now() - signalledAt)),
  );
  await waitMs(SETTLE_MS);
  const chatResults = await chats.stop();
  const orderResults = await orders.stop();
  for (const target of chosen) await restart(cluster, target);
  await waitForLinks(cluster);
  const interruptedChats = chatResults.filter(
    ({ verdict }) => !['complete', 'refused'].includes(verdict),
  );
  const interruptedOrders = orderResults.filter(({ state }) => state === 'cut');
  const failures = countCodes(chatResults);
  for (const { detail, state } of orderResults) {
    const key = `order ${state} ${detail}`;
    if (state !== 'done') failures[key] = (failures[key] ?? 0) + 1;
  }
  const targetUrls = chosen.flatMap((target) => ('httpUrl' in target ? [target.httpUrl] : []));
  const describeCut = (
    kind: CutRequest['kind'],
    cut: (ChatResult | OrderResult) & { readonly code: string; readonly receivedChars: number },
  ): CutRequest => ({
    round: `${roundLabel} ${chosen.map(({ plan }) => plan.id).join(' ')}`,
    kind,
    isAtTarget: targetUrls.includes(cut.url),
    code: cut.code,
    message: cut.message,
    status: cut.status,
    receivedChars: cut.receivedChars,
    connectedMs: cut.sent === undefined ? undefined : cut.sent.connectedAt - signalledAt,
    earlierRequests: cut.sent?.earlierRequests,
    sentMs: cut.sent === undefined ? undefined : cut.sent.sentAt - signalledAt,
    endedMs: cut.endedAt - signalledAt,
    exitedMs,
  });
  return {
    cutRequests: [
      ...interruptedChats.map((cut) => describeCut('chat', cut)),
      ...interruptedOrders.map((cut) =>
        describeCut('order', { ...cut, code: cut.detail, receivedChars: 0 }),
      ),
    ],
    requests: chatResults.length + orderResults.length,
    cut: interruptedChats.length + interruptedOrders.length,
    falseOrders: countFalseOrders(orderResults, await countRuns(cluster)),
    failures,
  };
}

/** Sends a second signal while streams run, and checks the responses, the exit code and the log. */
async function checkSecondSignal(cluster: Cluster): Promise<Record<string, unknown>> {
  const [entry] = cluster.entries;
  if (entry === undefined) throw new Error('no entry');
  const chats = Array.from({ length: 4 }, (_, index) =>
    performChat({
      url: entry.httpUrl,
      model: CHAT_SERVICE,
      workspace: WORKSPACE,
      prompt: `second signal ${index}`,
      maxTokens: 500,
      stream: index % 2 === 0,
    }),
  );
  // Without a response in progress the entry ends before the second signal, and the check shows nothing.
  await waitUntil(`${entry.plan.id} answers the chats`, async () => {
    const dump = await cluster.readOperator(entry.plan);
    return dump.requests === chats.length;
  });
  await waitMs(WARM_UP_MS);
  const exitCode = await sendSignalTwice(entry.process);
  const results = await Promise.all(chats);
  // The last log lines may arrive after the process has exited.
  await waitMs(100);
  const isLogged = entry.process.getLog().includes('second signal');
  const unanswered = results.filter(({ code }) => code !== 'draining').length;
  const ends = results.map(({ status, code, message, receivedChars, startedAt, endedAt }) => ({
    status,
    code,
    message,
    receivedChars,
    tookMs: Math.round(endedAt - startedAt),
  }));
  return { exit_code: exitCode, stated: isLogged, requests: results.length, unanswered, ends };
}

function pickAgent(
  agents: readonly ClusterAgent[],
  service: string,
  pick: number,
): ClusterAgent | undefined {
  const matching = agents.filter(({ plan }) => plan.service === service);
  return matching[pick % matching.length];
}

async function restart(cluster: Cluster, target: Target): Promise<void> {
  const role = 'httpUrl' in target ? 'entry' : 'agent';
  target.process = await cluster.startDaemon(role, target.plan.id);
}

async function waitForLinks(cluster: Cluster): Promise<void> {
  for (const { plan } of cluster.entries) {
    await waitUntil(
      `${plan.id} is linked to all agents`,
      async () => {
        const dump = await cluster.readOperator(plan);
        const agents = dump.agents as { load: { down: boolean } }[];
        return dump.ready === true && agents.every(({ load }) => !load.down);
      },
      { timeoutMs: RECONNECT_TIMEOUT_MS },
    );
  }
}

async function countRuns(cluster: Cluster): Promise<Map<string, number>> {
  const runs = new Map<string, number>();
  for (const { plan, upstreamUrl } of cluster.agents) {
    if (plan.service !== ORDER_SERVICE) continue;
    const response = await request(`${upstreamUrl}/executions`);
    for (const { body } of (await response.body.json()) as { body: string }[]) {
      const { intent } = JSON.parse(body) as { intent: string };
      runs.set(intent, (runs.get(intent) ?? 0) + 1);
    }
  }
  return runs;
}

function countFalseOrders(
  results: readonly OrderResult[],
  runs: ReadonlyMap<string, number>,
): number {
  const allowed = { done: [1], refused: [0], cut: [0, 1] } as const;
  return results.filter(({ intent, state }) => {
    const counts: readonly number[] = allowed[state];
    return !counts.includes(runs.get(intent) ?? 0);
  }).length;
}
