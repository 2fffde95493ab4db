import { setTimeout as sleep } from 'node:timers/promises';
import seedrandom from 'seedrandom';
import type { ChatResult, SendChat } from '../support/chatLoad.js';
import { runArrivals, sendChat } from '../support/chatLoad.js';
import type { Fleet } from '../support/fleet.js';
import { startFleet } from '../support/fleet.js';
import { computePercentile } from '../support/loadGenerator.js';
import { BaselineBalancer } from '../support/baselineBalancer.js';
import type { RunOptions, RunResult } from '../types.js';

const SERVICE = 'relief-assistant';
const ENGINES = 9;
const SLOTS = 8;
const ZONES = ['ikeja', 'apapa', 'lekki'];
const WORKSPACES = ['branch-epe', 'branch-ojo', 'branch-yaba', 'branch-mushin'];
/** About a third of the capacity of nine engines. */
const REQUESTS_PER_SECOND = 25;
const TOKENS = 40;
const DEADLINE_MS = 6_000;
const HEALTHY_MS = 1_500;
const SAMPLE_MS = 50;
const MS_PER_SECOND = 1_000;
const SLOW_ENGINE = 0;
const STALLED_ENGINE = 1;
const REFUSING_ENGINE = 2;

/** Counts requests that entries sent to the agent; the engine's counter also includes the agent's probes. */
async function countSent(fleet: Fleet, upstream: string): Promise<number> {
  const dump = (await fleet.readState()).dumps[upstream] as {
    metrics: { counters: Record<string, number> };
  };
  return dump.metrics.counters.requests ?? 0;
}

/** Polls an upstream's request counter; returns the seconds until the first and the last new request. */
async function watchNewWork(fleet: Fleet, upstream: string, durationMs: number) {
  const startedAt = performance.now();
  let count = await countSent(fleet, upstream);
  let first: number | undefined;
  let last = 0;
  while (performance.now() - startedAt < durationMs) {
    await sleep(SAMPLE_MS);
    const current = await countSent(fleet, upstream);
    if (current === count) continue;
    count = current;
    last = (performance.now() - startedAt) / MS_PER_SECOND;
    first ??= last;
  }
  return { first, last };
}

/**
 * Makes one engine slow, one stalled and one refusing at the same time, lets the stalled one recover,
 * then stops all upstreams of one availability zone.
 */
async function runScenario(fleet: Fleet, sends: readonly SendChat[], { seed, count }: RunOptions) {
  const random = seedrandom(String(seed));
  const faultMs = count * MS_PER_SECOND;
  const createChat = (index: number) => ({
    workspace: WORKSPACES[index % WORKSPACES.length] ?? '',
    service: SERVICE,
    content: `summary ${seed}-${index}`,
    maxTokens: TOKENS,
    deadlineMs: DEADLINE_MS,
  });
  const load = {
    perSecond: REQUESTS_PER_SECOND,
    createChat,
    send: (chat: ReturnType<typeof createChat>): Promise<ChatResult> => {
      const send = sends[Math.floor(random() * sends.length)];
      if (send === undefined) throw new Error('no entries');
      return send(chat);
    },
  };
  const run = runArrivals(load, HEALTHY_MS + 3 * faultMs, random);
  const getUpstreamId = (index: number): string => fleet.upstreams[index]?.id ?? '';
  await sleep(HEALTHY_MS);
  await fleet.control(getUpstreamId(SLOW_ENGINE), { slowFactor: 10 });
  await fleet.control(getUpstreamId(REFUSING_ENGINE), { refusing: true });
  await fleet.control(getUpstreamId(STALLED_ENGINE), { stalled: true });
  const avoided = await watchNewWork(fleet, getUpstreamId(STALLED_ENGINE), faultMs);
  await fleet.control(getUpstreamId(STALLED_ENGINE), { stalled: false });
  const returned = await watchNewWork(fleet, getUpstreamId(STALLED_ENGINE), faultMs);
  const zone = fleet.upstreams.filter(({ plan }) => plan.availabilityZone === ZONES[2]);
  await fleet.stopUpstreams(zone.map(({ id }) => id));
  const results = await run;
  const { dumps, loopDelayP99Ms } = await fleet.readState();
  let retries = 0;
  for (const { id } of fleet.entries) {
    const { metrics } = dumps[id] as { metrics: { counters: Record<string, number> } };
    retries += metrics.counters.retries ?? 0;
  }
  const refused = results.filter(({ status }) => status === 429 || status === 503);
  const codes: Record<string, number> = {};
  for (const { code } of results) if (code !== undefined) codes[code] = (codes[code] ?? 0) + 1;
  return {
    goodput: results.filter(({ complete }) => complete).length / results.length,
    requests: results.length,
    retries_per_request: retries / results.length,
    time_to_avoid_s: avoided.last,
    time_to_return_s: returned.first ?? null,
    refusal_p99_ms:
      refused.length === 0
        ? null
        : computePercentile(
            refused.map((r) => r.totalMs),
            99,
          ),
    refused: refused.length,
    wrong: results.filter(({ wrong }) => wrong).length,
    codes,
    loop_delay_p99_ms: loopDelayP99Ms,
  };
}

const startBenchFleet = (seed: number): Promise<Fleet> =>
  startFleet({
    ...{ service: SERVICE, engines: ENGINES, zones: ZONES, entries: 2, slots: SLOTS, seed },
    engine: { tokensPerSecond: 400, maxBatch: SLOTS },
    shares: Object.fromEntries(WORKSPACES.map((id) => [id, 0.25])),
  });

/**
 * Measures goodput while engines and an availability zone fail; no platform is running.
 *
 * @param options - Seed; count is the length of each phase in seconds
 * @returns Goodput, retries, and times until the stalled engine is avoided and used again; the baseline under `naive`
 */
export async function benchFaults(options: RunOptions): Promise<RunResult> {
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

async function runBaseline(options: RunOptions) {
  const fleet = await startBenchFleet(options.seed);
  try {
    const urls = fleet.upstreams.map(({ engineUrl }) => engineUrl);
    const balancer = new BaselineBalancer(urls, SLOTS, 3);
    const send: SendChat = (chat) => balancer.send(chat);
    const figures = await runScenario(fleet, [send], options);
    // The baseline does not avoid failed engines and bypasses the agents, so these times do not apply.
    const unmeasured = { time_to_avoid_s: null, time_to_return_s: null };
    return {
      ...figures,
      ...unmeasured,
      retries_per_request: balancer.sendCount / figures.requests - 1,
    };
  } finally {
    fleet.stop();
  }
}
