import { setTimeout as sleep } from 'node:timers/promises';
import seedrandom from 'seedrandom';
import type { Chat, ChatResult, SendChat } from '../support/chatLoad.js';
import { runArrivals, sendChat } from '../support/chatLoad.js';
import type { Fleet } from '../support/fleet.js';
import { startFleet } from '../support/fleet.js';
import { BaselineBalancer } from '../support/baselineBalancer.js';
import type { RunOptions, RunResult } from '../types.js';

const SERVICE = 'relief-assistant';
const ENGINES = 8;
/** Fewer than the engines, so that the entries use different subsets. */
const LINKS = 5;
const SLOTS = 8;
const WORKSPACES = ['branch-epe', 'branch-ojo', 'branch-yaba', 'branch-mushin'];
const NORMAL_REQUESTS_PER_SECOND = 20;
const CHAT_TOKENS = 40;
const DEADLINE_MS = 6_000;
const MAX_SENDS_PER_POISONOUS_REQUEST = 8;
const RESEND_DELAY_MS = 300;
const WARM_UP_MS = 1_000;
const POISON_INTERVAL_MS = 2_000;
const POISONOUS_STATUS = 422;

const createChat = (index: number, content: string): Chat => ({
  workspace: WORKSPACES[index % WORKSPACES.length] ?? '',
  service: SERVICE,
  content,
  maxTokens: CHAT_TOKENS,
  deadlineMs: DEADLINE_MS,
});

/** Resends a request that crashes its engine through the next entry each time, until it is refused permanently. */
async function sendPoisonousRequest(index: number, seed: number, sends: readonly SendChat[]) {
  const chat = createChat(index, `poison ${seed}-${index} crash-engine`);
  const results: ChatResult[] = [];
  for (let count = 0; count < MAX_SENDS_PER_POISONOUS_REQUEST; count += 1) {
    const send = sends[count % sends.length];
    if (send === undefined) throw new Error('no entries');
    const result = await send(chat);
    results.push(result);
    if (result.status === POISONOUS_STATUS) break;
    await sleep(RESEND_DELAY_MS);
  }
  return results;
}

async function runScenario(fleet: Fleet, sends: readonly SendChat[], { seed, count }: RunOptions) {
  const random = seedrandom(String(seed));
  const durationMs = WARM_UP_MS + count * POISON_INTERVAL_MS + POISON_INTERVAL_MS;
  const normalTraffic = runArrivals(
    {
      perSecond: NORMAL_REQUESTS_PER_SECOND,
      createChat: (index) => createChat(index, `innocent ${seed}-${index}`),
      send: (chat) => {
        const send = sends[Math.floor(random() * sends.length)];
        if (send === undefined) throw new Error('no entries');
        return send(chat);
      },
    },
    durationMs,
    random,
  );
  await sleep(WARM_UP_MS);
  const poisonousRequests: Promise<ChatResult[]>[] = [];
  for (let index = 0; index < count; index += 1) {
    poisonousRequests.push(sendPoisonousRequest(index, seed, sends));
    await sleep(POISON_INTERVAL_MS);
  }
  const settled = await Promise.all(poisonousRequests);
  const results = await normalTraffic;
  const { engines, loopDelayP99Ms } = await fleet.readState();
  const crashes = Object.values(engines).reduce((sum, engine) => sum + engine.crashes, 0);
  const codes: Record<string, number> = {};
  for (const { code } of results) if (code !== undefined) codes[code] = (codes[code] ?? 0) + 1;
  return {
    upstreams_crashed_per_poison: crashes / count,
    innocent_refused: results.filter(({ code }) => code === 'poisonous_request').length,
    innocent_in_time: results.filter(({ complete }) => complete).length / results.length,
    innocent_requests: results.length,
    poisons_refused_for_good: settled.filter((sent) => sent.at(-1)?.status === POISONOUS_STATUS)
      .length,
    wrong: results.filter(({ wrong }) => wrong).length,
    codes,
    loop_delay_p99_ms: Number(loopDelayP99Ms.toFixed(1)),
  };
}

const startBenchFleet = (seed: number): Promise<Fleet> =>
  startFleet({
    service: SERVICE,
    engines: ENGINES,
    zones: ['ikeja', 'apapa', 'lekki'],
    entries: 2,
    slots: SLOTS,
    engine: { tokensPerSecond: 400, maxBatch: SLOTS },
    shares: Object.fromEntries(WORKSPACES.map((id) => [id, 0.25])),
    linksPerService: LINKS,
    seed,
  });

/**
 * Repeatedly sends, through all entries, requests that crash every upstream that runs them, mixed with
 * normal traffic.
 *
 * @param options - Seed; count is the number of distinct poisonous requests
 * @returns Crashes per poisonous request and outcomes of normal requests; the baseline under `naive`
 */
export async function benchPoison(options: RunOptions): Promise<RunResult> {
  const fleet = await startBenchFleet(options.seed);
  try {
    const sends = fleet.entries.map(
      ({ httpUrl }): SendChat =>
        (chat) =>
          sendChat(httpUrl, chat),
    );
    const figures = await runScenario(fleet, sends, options);
    return { ok: figures.wrong === 0, ...figures, naive: await runBaseline(options) };
  } finally {
    fleet.stop();
  }
}

/** Runs the scenario with round robin that sends a failed request to the next engine, up to three attempts. */
async function runBaseline(options: RunOptions) {
  const fleet = await startBenchFleet(options.seed);
  try {
    const urls = fleet.upstreams.map(({ engineUrl }) => engineUrl);
    const balancer = new BaselineBalancer(urls, SLOTS, 3);
    const send: SendChat = (chat) => balancer.send(chat);
    return await runScenario(fleet, [send, send], options);
  } finally {
    fleet.stop();
  }
}
