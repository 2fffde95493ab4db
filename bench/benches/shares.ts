import { setTimeout as sleep } from 'node:timers/promises';
import seedrandom from 'seedrandom';
import type { Arrivals, Chat, ChatResult, SendChat } from '../support/chatLoad.js';
import { ABANDONED, runArrivals, sendChat } from '../support/chatLoad.js';
import type { Fleet } from '../support/fleet.js';
import { startFleet } from '../support/fleet.js';
import { computePercentile } from '../support/loadGenerator.js';
import { BaselineBalancer } from '../support/baselineBalancer.js';
import type { RunOptions, RunResult } from '../types.js';

const SERVICE = 'relief-assistant';
const ENGINES = 16;
const SLOTS = 8;
/** The number of slots equals the engine's maximum batch size, as in a typical configuration. */
const ENGINE = { tokensPerSecond: 400, maxBatch: SLOTS };
const ZONES = ['ikeja', 'apapa', 'lekki'];
const LARGE = ['large-1', 'large-2'];
const SMALL = Array.from({ length: 8 }, (_, index) => `small-${index + 1}`);
const LARGE_SHARE = 0.18;
const SMALL_SHARE = 0.08;
/** Offered load of a small workspace as a fraction of its guaranteed share. */
const SMALL_OFFERED_FRACTION = 0.7;
const SMALL_TOKENS = 40;
const LARGE_TOKENS = 200;
const OVERLOAD_FACTOR = 10;
const WARM_UP_MS = 3_000;
const VARIANT_MS = 4_000;
const LONG_CONCURRENCY = 1_000;
const LONG_DEADLINE_MS = 10_000;
const CAPACITY_MEASURE_MS = 2_500;
/** Above this delay the CPU is the bottleneck; a full engine step takes 24 ms. */
const MAX_LOOP_DELAY_MS = 12;
const MS_PER_SECOND = 1_000;

interface Scenario {
  readonly fleet: Fleet;
  readonly random: () => number;
  /** Tokens per second of the engines with full batches and direct requests. */
  readonly capacity: number;
  readonly durationMs: number;
}

const pickCyclic = <Item>(items: readonly Item[], index: number): Item => {
  const item = items[index % items.length];
  if (item === undefined) throw new Error('cannot pick from an empty list');
  return item;
};

/** Each prompt starts with a prefix common to its workspace. */
const createChat = (
  workspace: string,
  index: number,
  size: { words: number; maxTokens: number; deadlineMs: number },
): Chat => ({
  workspace,
  service: SERVICE,
  content: `${workspace} ${index} ${'arrears '.repeat(size.words)}`,
  maxTokens: size.maxTokens,
  deadlineMs: size.deadlineMs,
});

const createSmallLoad = (scenario: Scenario, send: SendChat): Arrivals => ({
  perSecond:
    (SMALL.length * SMALL_SHARE * SMALL_OFFERED_FRACTION * scenario.capacity) / SMALL_TOKENS,
  send,
  createChat: (index) => {
    const size = { words: 20, maxTokens: SMALL_TOKENS, deadlineMs: 5_000 };
    return createChat(pickCyclic(SMALL, index), index, size);
  },
});

const createLargeLoad = (scenario: Scenario, send: SendChat): Arrivals => ({
  perSecond: (OVERLOAD_FACTOR * scenario.capacity) / LARGE_TOKENS,
  send,
  createChat: (index) => {
    const size = { words: 20, maxTokens: LARGE_TOKENS, deadlineMs: 8_000 };
    return createChat(pickCyclic(LARGE, index), index, size);
  },
});

/** Distributes callers over the entries; workspaces in `pinned` use only the first entry. */
const createSend =
  (fleet: Fleet, pinned: readonly string[] = []): SendChat =>
  (chat, signal) => {
    const index = pinned.includes(chat.workspace) ? 0 : Number(chat.content.split(' ')[1]);
    return sendChat(pickCyclic(fleet.entries, index).httpUrl, chat, signal);
  };

async function countGenerated(fleet: Fleet): Promise<number> {
  const { engines } = await fleet.readState();
  return Object.values(engines).reduce((sum, { generated }) => sum + generated, 0);
}

/** Measures the token throughput of the engines while direct requests keep all batches full. */
async function measureCapacity(fleet: Fleet): Promise<number> {
  const baseline = new BaselineBalancer(
    fleet.upstreams.map(({ engineUrl }) => engineUrl),
    SLOTS,
  );
  const size = { words: 20, maxTokens: LARGE_TOKENS, deadlineMs: CAPACITY_MEASURE_MS + 1_500 };
  const sends = Array.from({ length: 2 * ENGINES * SLOTS }, (_, index) =>
    baseline.send(createChat('capacity', index, size)),
  );
  await sleep(500);
  const throughput = await measureThroughput(fleet, CAPACITY_MEASURE_MS);
  await Promise.all(sends);
  return throughput;
}

async function measureThroughput(fleet: Fleet, durationMs: number): Promise<number> {
  const before = await countGenerated(fleet);
  const startedAt = performance.now();
  await sleep(durationMs);
  const generated = (await countGenerated(fleet)) - before;
  return (generated * MS_PER_SECOND) / (performance.now() - startedAt);
}

/** One workspace with 1,000 long generations in flight. */
const createLongLoad = (scenario: Scenario, send: SendChat): Arrivals => ({
  perSecond: LONG_CONCURRENCY / (LONG_DEADLINE_MS / MS_PER_SECOND),
  send,
  createChat: (index) => {
    const size = { words: 20, maxTokens: 512, deadlineMs: LONG_DEADLINE_MS };
    return createChat('large-1', index, size);
  },
});

/** Prompts of 8 to 800 words. */
const createUnevenLoad = (scenario: Scenario, send: SendChat): Arrivals => ({
  perSecond: (OVERLOAD_FACTOR * scenario.capacity) / LARGE_TOKENS,
  send,
  createChat: (index) => {
    const words = Math.round(8 * 100 ** scenario.random());
    const size = { words, maxTokens: 100, deadlineMs: 6_000 };
    return createChat(pickCyclic(LARGE, index), index, size);
  },
});

/** Sums the guaranteed slots of a workspace over the live upstreams. */
async function readGuarantee(fleet: Fleet, workspace: string): Promise<number> {
  const { dumps } = await fleet.readState();
  let slots = 0;
  for (const dump of Object.values(dumps)) {
    const { dispatch } = dump as {
      dispatch?: { shares: Record<string, { guaranteedSlots: number } | undefined> };
    };
    slots += dispatch?.shares[workspace]?.guaranteedSlots ?? 0;
  }
  return round(slots);
}

interface PhaseFigures {
  readonly small_p50_ms: number;
  readonly small_p99_ms: number;
  readonly small_in_time: number;
  readonly small_requests: number;
  readonly wrong: number;
  readonly fleet_use: number;
  readonly codes: Readonly<Record<string, number>>;
}

const round = (value: number): number => Number(value.toFixed(4));

function summarize(
  results: readonly ChatResult[],
  measuredFrom: number,
  utilization: number,
): PhaseFigures {
  const measured = results.filter(({ sentAt }) => sentAt >= measuredFrom);
  const small = measured.filter(({ chat }) => SMALL.includes(chat.workspace));
  const firstTokens = small.map(({ firstTokenMs }) => firstTokenMs ?? Number.POSITIVE_INFINITY);
  const codes: Record<string, number> = {};
  for (const { chat, code } of measured) {
    if (code === undefined || code === ABANDONED) continue;
    const key = `${SMALL.includes(chat.workspace) ? 'small' : 'large'}.${code}`;
    codes[key] = (codes[key] ?? 0) + 1;
  }
  return {
    small_p50_ms: round(computePercentile(firstTokens, 50)),
    small_p99_ms: round(computePercentile(firstTokens, 99)),
    small_in_time: round(small.filter(({ complete }) => complete).length / small.length),
    small_requests: small.length,
    wrong: measured.filter(({ wrong }) => wrong).length,
    fleet_use: round(utilization),
    codes,
  };
}

/** Runs the loads concurrently, the small one first in the list; measures after the warm-up. */
async function runPhase(
  scenario: Scenario,
  loads: readonly Arrivals[],
  { warmUpMs = WARM_UP_MS, durationMs = scenario.durationMs } = {},
): Promise<PhaseFigures> {
  const measuredFrom = performance.now() + warmUpMs;
  const [small, ...large] = loads;
  if (small === undefined) throw new Error('a phase needs at least one load');
  const stopController = new AbortController();
  const runs = large.map((load) =>
    runArrivals(load, warmUpMs + durationMs, scenario.random, stopController.signal),
  );
  const smallRun = runArrivals(small, warmUpMs + durationMs, scenario.random);
  await sleep(warmUpMs);
  const throughput = await measureThroughput(scenario.fleet, durationMs);
  const smallResults = await smallRun;
  stopController.abort();
  const results = [...smallResults, ...(await Promise.all(runs)).flat()];
  return summarize(results, measuredFrom, throughput / scenario.capacity);
}

/** Runs the same load with FIFO queues and round robin over a new fleet of the same engines. */
async function runBaseline(scenario: Scenario): Promise<PhaseFigures> {
  const fleet = await startFleet(scenario.fleet.options);
  try {
    const urls = fleet.upstreams.map(({ engineUrl }) => engineUrl);
    const balancer = new BaselineBalancer(urls, SLOTS);
    const send: SendChat = (chat, signal) => balancer.send(chat, signal);
    const loads = [createSmallLoad(scenario, send), createLargeLoad(scenario, send)];
    return await runPhase({ ...scenario, fleet }, loads, { durationMs: VARIANT_MS });
  } finally {
    fleet.stop();
  }
}

/**
 * Measures the service of small workspaces while large ones offer ten times the capacity of the fleet.
 *
 * @param options - Seed; count is the measured duration of each main phase in seconds
 * @returns Figures of the sharing policy and the load variants; FIFO with round robin under `naive`
 */
export async function benchShares({ seed, count }: RunOptions): Promise<RunResult> {
  const shares = Object.fromEntries([
    ...LARGE.map((id) => [id, LARGE_SHARE] as const),
    ...SMALL.map((id) => [id, SMALL_SHARE] as const),
  ]);
  const fleet = await startFleet({
    ...{ service: SERVICE, engines: ENGINES, zones: ZONES, entries: 2 },
    ...{ slots: SLOTS, engine: ENGINE, shares, seed },
  });
  try {
    const capacity = await measureCapacity(fleet);
    const random = seedrandom(String(seed));
    const scenario = { fleet, random, capacity, durationMs: count * MS_PER_SECOND };
    const send = createSend(fleet, LARGE);
    const small = createSmallLoad(scenario, send);
    const alone = await runPhase(scenario, [small], { warmUpMs: 1_000 });
    await fleet.readState();
    const loaded = await runPhase(scenario, [small, createLargeLoad(scenario, send)]);
    const { loopDelayP99Ms } = await fleet.readState();
    const sendToAllEntries = createSend(fleet);
    const variantTimes = { warmUpMs: 1_000, durationMs: VARIANT_MS };
    const runVariant = (load: Arrivals): Promise<PhaseFigures> =>
      runPhase(scenario, [small, load], variantTimes);
    const longGenerations = await runVariant(createLongLoad(scenario, send));
    const unevenPrompts = await runVariant(createUnevenLoad(scenario, send));
    const largeOnAllEntries = await runVariant(createLargeLoad(scenario, sendToAllEntries));
    const before = await readGuarantee(fleet, 'large-1');
    const stoppedIds = fleet.upstreams.filter((_, index) => index % 2 === 0).map(({ id }) => id);
    await fleet.stopUpstreams(stoppedIds);
    // Halves the small load along with the capacity, so that it stays within the guarantee.
    const halfSmall = { ...small, perSecond: small.perSecond / 2 };
    const halfScenario = { ...scenario, capacity: capacity / 2 };
    const halfVanished = await runPhase(
      halfScenario,
      [halfSmall, createLargeLoad(scenario, send)],
      variantTimes,
    );
    const after = await readGuarantee(fleet, 'large-1');
    const baseline = await runBaseline(scenario);
    const phases = [loaded, longGenerations, unevenPrompts, largeOnAllEntries, halfVanished];
    return {
      ok: phases.every(({ wrong }) => wrong === 0),
      small_p99_ratio: round(loaded.small_p99_ms / alone.small_p99_ms),
      small_in_time: loaded.small_in_time,
      fleet_use: loaded.fleet_use,
      capacity_tokens_per_s: round(capacity),
      loop_delay_p99_ms: round(loopDelayP99Ms),
      machine_limited: loopDelayP99Ms > MAX_LOOP_DELAY_MS,
      alone,
      loaded,
      long_generations: longGenerations,
      uneven_prompts: unevenPrompts,
      large_on_all_entries: largeOnAllEntries,
      half_vanished: { ...halfVanished, guaranteed_slots_before: before, guaranteed_slots: after },
      naive: { ...baseline, small_p99_ratio: round(baseline.small_p99_ms / alone.small_p99_ms) },
    };
  } finally {
    fleet.stop();
  }
}
