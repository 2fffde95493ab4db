import { request } from 'undici';
import { getExampleToken } from '../support/deployment.js';
import type { Cluster, ClusterAgent } from '../support/cluster.js';
import { sendControl } from '../support/cluster.js';
import { waitMs, waitUntil } from '../support/waiting.js';
import { digestToken } from './digestToken.js';
import type { ScenarioContext } from './context.js';
import {
  buildChat,
  CHAT_SERVICE,
  collectExecutions,
  computeExpectedText,
  createClient,
  findAgents,
  listPlans,
  ORDER_SERVICE,
  verify,
} from './context.js';

/** One scenario of the demo. */
export interface Scenario {
  readonly title: string;
  /** Returns a summary of the result; throws when the result violates the design. */
  run(context: ScenarioContext): Promise<string>;
}

const MAX_TICKET_LATENCY_MS = 3_000;
const DRAINED_STREAMS = 24;
const ORDERS_IN_FLIGHT = 12;

const streamChat: Scenario = {
  title: 'streamed chat',
  run: async ({ client }) => {
    const chat = buildChat('What relief may a member with two months of arrears ask for?', 40);
    const startedAt = performance.now();
    let firstTokenAt = 0;
    let chunks = 0;
    const answer = await client.sendStreamedChat(chat, () => {
      if (chunks === 0) firstTokenAt = performance.now();
      chunks += 1;
    });
    verify(answer.isOk(), `chat failed: ${JSON.stringify(answer)}`);
    verify(
      answer.value.text === computeExpectedText(chat),
      'the text differs from the expected response',
    );
    const firstTokenMs = Math.round(firstTokenAt - startedAt);
    return `40 tokens in ${chunks} chunks, first after ${firstTokenMs} ms, text identical to the engine's`;
  },
};

const sendLookup: Scenario = {
  title: 'ledger lookup',
  run: async ({ client }) => {
    const answer = await client.sendCall(ORDER_SERVICE, { lookup: 'member-17' });
    verify(answer.isOk(), `lookup failed: ${JSON.stringify(answer)}`);
    verify(answer.value.text.includes('member-17'), `unexpected response ${answer.value.text}`);
    return `response ${answer.value.text}`;
  },
};

const repeatOrder: Scenario = {
  title: 'order sent three times',
  run: async ({ client, cluster }) => {
    const slot = await client.takeSlot(ORDER_SERVICE);
    verify(slot.isOk(), `no slot: ${JSON.stringify(slot)}`);
    const order = slot.value;
    const body = { pay: 'member-17', naira: 15_000 };
    const send = () => client.deliverOrder(ORDER_SERVICE, order, body);
    const outcomes = await Promise.all([send(), send(), send()]);
    const states = outcomes.map((outcome) => (outcome.isOk() ? outcome.value.state : 'error'));
    verify(
      states.every((state) => state === 'done'),
      `outcomes: ${JSON.stringify(outcomes)}`,
    );
    const runs = (await collectExecutions(cluster)).filter(({ id }) => id === order);
    verify(runs.length === 1, `the ledger executed it ${runs.length} times`);
    return `all three responses done; the ledger executed it ${runs.length} time`;
  },
};

const publishTicket: Scenario = {
  title: 'change ticket',
  run: async ({ cluster }) => {
    const id = 'branch-agege';
    const state = {
      tokenHashes: [digestToken(getExampleToken(id))],
      shares: { [CHAT_SERVICE]: 0.03 },
    };
    const startedAt = performance.now();
    await cluster.publishTicket({ ticket: 2, objects: [{ kind: 'workspace', id, state }] });
    const times = await Promise.all(
      listPlans(cluster).map(async (plan) => {
        await waitUntil(`${plan.id} has ticket 2 in force`, async () => {
          const dump = JSON.stringify(await cluster.readOperator(plan));
          return dump.includes('"newestTicket":2');
        });
        return performance.now() - startedAt;
      }),
    );
    const slowest = Math.round(Math.max(...times));
    verify(slowest <= MAX_TICKET_LATENCY_MS, `in force after ${slowest} ms`);
    const newClient = createClient(cluster, id);
    const answer = await newClient.sendChat(buildChat('Is the new branch served?', 4));
    await newClient.close();
    verify(answer.isOk(), `the new workspace is not served: ${JSON.stringify(answer)}`);
    return `in force on ${times.length} processes within ${slowest} ms; the new workspace is served`;
  },
};

/** Finds the chat agent with the most streams in flight. */
async function findBusiestAgent(
  cluster: Cluster,
): Promise<{ agent: ClusterAgent; requests: { running: number } }> {
  const runningCounts = await Promise.all(
    findAgents(cluster, CHAT_SERVICE).map(async (agent) => {
      const { requests } = await cluster.readOperator(agent.plan);
      return { agent, requests: requests as { running: number } };
    }),
  );
  const [busiest] = runningCounts.sort((a, b) => b.requests.running - a.requests.running);
  verify(busiest !== undefined, 'no agent to drain');
  return busiest;
}

const drainUnderLoad: Scenario = {
  title: 'upstream leaves under load',
  run: async ({ client, cluster }) => {
    const chats = Array.from({ length: DRAINED_STREAMS }, (_, index) =>
      buildChat(`Draft grievance number ${index}.`, 60),
    );
    const running = chats.map(async (chat) => ({
      chat,
      answer: await client.sendStreamedChat(chat, () => undefined),
    }));
    await waitMs(200);
    const { agent: leaving, requests } = await findBusiestAgent(cluster);
    verify(requests.running > 0, `no stream in flight at any agent of ${CHAT_SERVICE}`);
    leaving.process.send('SIGTERM');
    const late = Array.from({ length: DRAINED_STREAMS }, async (_, index) => {
      await waitMs(index * 20);
      const chat = buildChat(`Arrears summary number ${index}.`, 20);
      return { chat, answer: await client.sendStreamedChat(chat, () => undefined) };
    });
    const ended = await Promise.all([...running, ...late]);
    const incomplete = ended.filter(
      ({ chat, answer }) => !answer.isOk() || answer.value.text !== computeExpectedText(chat),
    );
    const code = await leaving.process.exited;
    verify(
      incomplete.length === 0,
      `${incomplete.length} of ${ended.length} incomplete: ${JSON.stringify(incomplete[0])}`,
    );
    verify(code === 0, `the agent exited with ${code ?? 'a signal'}: ${leaving.process.getLog()}`);
    return `${leaving.plan.id} had ${requests.running} streams in flight; ${ended.length} of ${ended.length} streams complete, exit code 0`;
  },
};

const killAgent: Scenario = {
  title: 'agent killed with orders in flight',
  run: async ({ cluster }) => {
    const agents = findAgents(cluster, ORDER_SERVICE);
    for (const { upstreamUrl } of agents) {
      await sendControl(`${upstreamUrl}/control`, 'POST', { delayMs: 600 });
    }
    const client = createClient(cluster, 'branch-apapa', { settleLimitMs: 4_000 });
    const sent = Array.from({ length: ORDERS_IN_FLIGHT }, (_, index) =>
      client.sendOrder(ORDER_SERVICE, { pay: `member-${index}`, naira: 1_000 }),
    );
    await waitMs(300);
    const killedAgent = agents[0];
    verify(killedAgent !== undefined, 'no agent to kill');
    killedAgent.process.send('SIGKILL');
    const outcomes = await Promise.all(sent);
    await client.close();
    for (const { upstreamUrl } of agents) {
      await sendControl(`${upstreamUrl}/control`, 'POST', { delayMs: 0 });
    }
    await waitMs(700);
    const executions = await collectExecutions(cluster);
    const counts: Record<string, number> = {};
    for (const outcome of outcomes) {
      const state = outcome.isOk() ? outcome.value.state : 'not-run';
      counts[state] = (counts[state] ?? 0) + 1;
      if (outcome.isErr()) continue;
      const runs = executions.filter(({ id }) => id === outcome.value.order).length;
      verify(runs <= 1, `order ${outcome.value.order} was executed ${runs} times`);
      verify(state !== 'not-run' || runs === 0, `order reported as not-run was executed`);
      verify(state !== 'done' || runs === 1, `order reported as done was not executed`);
    }
    verify((counts.unknown ?? 0) > 0, `no order was in flight at the killed agent`);
    return `${killedAgent.plan.id} killed; outcomes: ${JSON.stringify(counts)}; none executed twice`;
  },
};

const checkAvailability: Scenario = {
  title: 'still serving',
  run: async ({ client, cluster }) => {
    const chat = await client.sendChat(buildChat('Which branch pays out today?', 8));
    verify(chat.isOk(), `chat failed: ${JSON.stringify(chat)}`);
    const order = await client.sendOrder(ORDER_SERVICE, { pay: 'member-18', naira: 500 });
    verify(order.isOk() && order.value.state === 'done', `order: ${JSON.stringify(order)}`);
    const health = await request(`${cluster.platformUrl}/control/calls`);
    const { total } = (await health.body.json()) as { total: number };
    return `chat and order completed; ${total} calls to the platform so far`;
  },
};

/** Scenarios in the order in which the demo runs them. */
export const scenarios: readonly Scenario[] = [
  streamChat,
  sendLookup,
  repeatOrder,
  publishTicket,
  drainUnderLoad,
  killAgent,
  checkAvailability,
];
