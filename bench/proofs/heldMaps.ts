import { setImmediate as nextTurn } from 'node:timers/promises';
import { mock } from 'node:test';
import seedrandom from 'seedrandom';
import type { ChangeOutcome, MapChange } from '../../src/process/ranker/changeMap.js';
import { changeMap } from '../../src/process/ranker/changeMap.js';
import { resolveHeldPass } from '../../src/process/ranker/resolveHeldPass.js';
import { GroupView } from '../../src/process/ranker/groupView.js';
import { LockstepGroup } from '../../test/standins/lockstepGroup.js';

const TICK_MS = 10;
const STATUS_MS = 20;
const RANKS = 4;
/** Longest host freeze reported by users. */
const FREEZE_MS = 4_000;
/** Probability of a coordinator freeze per tick while a pass is held. */
const FREEZE_PROBABILITY = 0.05;

/** How a map change is made; the baseline strategy, `naive`, arms all ranks without holding the pass. */
export type ChangeStrategy = 'held' | 'naive';

export interface ScheduleResult {
  readonly passes: number;
  readonly mixedPasses: number;
  readonly changes: number;
  readonly switched: number;
  /** The group ran no pass in the last 2 s of the schedule, which are fault-free. */
  readonly isStalled: boolean;
  /** Longest time for which a group with work was held before a pass. */
  readonly longestHoldMs: number;
}

export interface ScheduleOptions {
  /** The coordinator's host freezes while a pass is held. */
  readonly hasFreezes?: boolean;
}

/**
 * Runs map changes of one group over unreliable orders in virtual time. At random times the coordinator is killed and
 * replaced, ranks restart, and the group becomes idle.
 *
 * @param seed - Seed of all faults
 * @param strategy - How changes are made
 * @param options - Additional faults
 * @returns Result of the schedule
 */
export async function runMapSchedule(
  seed: string,
  strategy: ChangeStrategy,
  options: ScheduleOptions = {},
): Promise<ScheduleResult> {
  const random = seedrandom(seed);
  mock.timers.enable({ apis: ['setTimeout'] });
  try {
    return await runSchedule(random, strategy, options);
  } finally {
    mock.timers.reset();
  }
}

async function runSchedule(
  random: () => number,
  strategy: ChangeStrategy,
  { hasFreezes = false }: ScheduleOptions,
): Promise<ScheduleResult> {
  let now = 0;
  const faultRate = random() * 0.5;
  const faults = {
    lost: 0,
    late: faultRate * 0.6,
    unanswered: faultRate * 0.2,
    duplicated: faultRate * 0.2,
  };
  const readClock = (): number => now;
  const group = new LockstepGroup(RANKS, random, faults, readClock);
  let view = new GroupView('g', RANKS);
  let version = 0;
  let changes = 0;
  let switched = 0;
  let generation = 0;
  let isBusy = false;
  let frozenUntil = 0;
  let heldSince: number | undefined;
  let longestHoldMs = 0;
  const publishStatus = (): void => {
    for (let rank = 0; rank < RANKS; rank += 1) {
      const report = group.report(rank);
      const experts = [[report.map]];
      const target = view;
      const order = target;
      view.applyStatus(
        { report, experts },
        // A replaced coordinator sends no further orders.
        async (sent, epoch) => {
          while (now < frozenUntil) await new Promise((resolve) => setTimeout(resolve, TICK_MS));
          return order === view
            ? group.receiveOrder(rank, sent, epoch)
            : new Promise(() => undefined);
        },
        now,
      );
    }
  };
  const startChange = async (startGeneration: number): Promise<void> => {
    const context = {
      view,
      readClock,
      firstUnusedPass,
      unarmedHolds,
      lastUnansweredOrderAt: -Infinity,
    };
    const rankStates = view.listIfComplete(now);
    if (rankStates === undefined) return;
    const firstReport = rankStates[0]?.report;
    if (firstReport === undefined) return;
    if (firstReport.held !== undefined) {
      await resolveHeldPass(context, rankStates, firstReport.held);
      if (startGeneration === generation) firstUnusedPass = context.firstUnusedPass;
      return;
    }
    if (rankStates.some(({ report }) => report.armed !== undefined)) return;
    for (const { report } of rankStates)
      version = Math.max(version, report.map, report.prepared ?? 0);
    version += 1;
    const newVersion = version;
    const placement = [rankStates.map((_, rank) => [rank, newVersion])];
    changes += 1;
    const change = { version: newVersion, epoch: firstReport.epoch, placement };
    const outcome = await runChange(strategy, context, change, group);
    if (outcome === 'not_prepared') version += 10;
    if (startGeneration !== generation) return;
    firstUnusedPass = context.firstUnusedPass;
    if (outcome === 'switched') switched += 1;
  };
  let firstUnusedPass = 0;
  let unarmedHolds = new Set<string>();
  const faultsEndAt = 12_000;
  const endsAt = 28_000;
  let passBeforeEnd = 0;
  while (now < endsAt) {
    now += TICK_MS;
    mock.timers.tick(TICK_MS);
    group.run();
    const isHeld = !group.isIdle && group.ranks[0]?.held === group.pass + 1;
    if (isHeld) heldSince ??= now;
    else heldSince = undefined;
    longestHoldMs = Math.max(longestHoldMs, now - (heldSince ?? now));
    const mayFreeze = hasFreezes && isHeld && now < faultsEndAt;
    if (mayFreeze && now >= frozenUntil && random() < FREEZE_PROBABILITY) {
      frozenUntil = now + FREEZE_MS;
    }
    if (now % STATUS_MS === 0 && now >= frozenUntil) publishStatus();
    if (now < faultsEndAt) {
      if (random() < 0.002) group.isIdle = !group.isIdle;
      if (random() < 0.0005) group.restart();
      if (random() < 0.002) {
        generation += 1;
        view = new GroupView('g', RANKS);
        firstUnusedPass = 0;
        unarmedHolds = new Set();
        isBusy = false;
        publishStatus();
      }
    } else group.isIdle = false;
    if (now === endsAt - 2_000) passBeforeEnd = group.pass;
    if (!isBusy) {
      isBusy = true;
      const changeGeneration = generation;
      void startChange(changeGeneration).finally(() => {
        if (changeGeneration === generation) isBusy = false;
      });
    }
    await nextTurn();
  }
  return {
    passes: group.pass,
    mixedPasses: group.mixedPasses,
    changes,
    switched,
    isStalled: group.pass === passBeforeEnd,
    longestHoldMs,
  };
}

async function runChange(
  strategy: ChangeStrategy,
  context: Parameters<typeof changeMap>[0],
  change: MapChange,
  group: LockstepGroup,
): Promise<ChangeOutcome> {
  if (strategy === 'held') return changeMap(context, change);
  const { version, placement, epoch } = change;
  const rankStates = [...context.view.ranks.values()];
  await Promise.all(
    rankStates.map((rank) => rank.sendOrder({ kind: 'prepare', version, placement }, epoch)),
  );
  await context.view.waitForStatus(400);
  await new Promise((resolve) => setTimeout(resolve, 400));
  const pass = group.pass + 3;
  await Promise.all(
    rankStates.map((rank) => rank.sendOrder({ kind: 'arm', version, pass }, epoch)),
  );
  return 'switched';
}

/**
 * Checks that no pass uses two maps under unreliable orders.
 *
 * @param options - Seed and number of schedules; the baseline strategy runs a tenth of them
 * @returns Sums for each strategy; `mixed_passes` and `stuck` must be 0 for `held`
 */
export async function proveHeldMaps(options: {
  seed: number;
  count: number;
}): Promise<Record<string, unknown>> {
  const held = await sumSchedules('held', options.seed, options.count);
  const baseline = await sumSchedules('naive', options.seed, Math.ceil(options.count / 10));
  return { ...options, held, naive: baseline };
}

async function sumSchedules(
  strategy: ChangeStrategy,
  seed: number,
  count: number,
): Promise<Record<string, number>> {
  const sums = { schedules: count, passes: 0, mixed_passes: 0, changes: 0, switched: 0, stuck: 0 };
  for (let index = 0; index < count; index += 1) {
    const result = await runMapSchedule(`${seed}/${index}`, strategy);
    sums.passes += result.passes;
    sums.mixed_passes += result.mixedPasses;
    sums.changes += result.changes;
    sums.switched += result.switched;
    sums.stuck += result.isStalled ? 1 : 0;
  }
  return sums;
}
