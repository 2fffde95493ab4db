import { setImmediate as nextTurn } from 'node:timers/promises';
import { mock } from 'node:test';
import seedrandom from 'seedrandom';
import { Ok } from 'ts-results-es';
import type { ChangeOutcome, MapChange } from '../../src/process/ranker/changeMap.js';
import { changeMap } from '../../src/process/ranker/changeMap.js';
import { finishStalledChange } from '../../src/process/ranker/finishStalledChange.js';
import { findHolder, resolveHeldPass } from '../../src/process/ranker/resolveHeldPass.js';
import { StandstillDetector } from '../../src/process/ranker/standstillDetector.js';
import { GroupView } from '../../src/process/ranker/groupView.js';
import type { RankOrder, RankReport } from '../../src/process/ranker/types.js';
import { LockstepGroup } from '../../test/standins/lockstepGroup.js';

const TICK_MS = 10;
const STATUS_MS = 20;
const DEFAULT_RANKS = 4;
/** Interval at which rankers other than the coordinator read the report of their engine. */
const POLL_MS = 70;
/** Reports of engines on other hosts are up to this old. */
const REPORT_LAG_MS = 200;
/** A deputy gives up after this time. */
const DEPUTY_TIMEOUT_MS = 600;
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
  readonly ranks?: number;
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
  { hasFreezes = false, ranks = DEFAULT_RANKS }: ScheduleOptions,
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
  const group = new LockstepGroup(ranks, random, faults, readClock);
  let view = new GroupView('g', ranks);
  let version = 0;
  let changes = 0;
  let switched = 0;
  let generation = 0;
  let isBusy = false;
  let frozenUntil = 0;
  let heldSince: number | undefined;
  let longestHoldMs = 0;
  const publishStatus = (): void => {
    for (let rank = 0; rank < ranks; rank += 1) {
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
  const deputies = new Deputies(group, readClock);
  const startChange = async (startGeneration: number): Promise<void> => {
    const context = {
      view,
      readClock,
      firstUnusedPass,
      lastUnansweredOrderAt: -Infinity,
    };
    const rankStates = view.listIfComplete(now);
    if (rankStates === undefined) return;
    const firstReport = rankStates[0]?.report;
    if (firstReport === undefined) return;
    const holder = findHolder(rankStates);
    if (holder !== undefined) {
      await resolveHeldPass(context, rankStates, holder.held);
      if (startGeneration === generation) firstUnusedPass = context.firstUnusedPass;
      return;
    }
    if (rankStates.some(({ report }) => report.armed !== undefined)) return;
    for (const { report } of rankStates)
      version = Math.max(version, report.map, report.prepared ?? 0);
    version += version % 2 === 0 ? 2 : 1;
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
  const faultsEndAt = 12_000;
  const endsAt = 28_000;
  let passBeforeEnd = 0;
  while (now < endsAt) {
    now += TICK_MS;
    mock.timers.tick(TICK_MS);
    group.run();
    if (strategy === 'held') deputies.poll(now);
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
        view = new GroupView('g', ranks);
        firstUnusedPass = 0;
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

/** The rankers beside the other ranks, which finish a change whose coordinator has stopped. */
class Deputies {
  private readonly detectors: StandstillDetector[];
  private readonly history: { readonly at: number; readonly reports: readonly RankReport[] }[] = [];
  private readonly active = new Set<number>();

  constructor(
    private readonly group: LockstepGroup,
    private readonly readClock: () => number,
  ) {
    this.detectors = group.ranks.map(() => new StandstillDetector());
  }

  poll(now: number): void {
    this.history.push({
      at: now,
      reports: this.group.ranks.map((_, rank) => this.group.report(rank)),
    });
    if ((this.history[0]?.at ?? now) < now - REPORT_LAG_MS) this.history.shift();
    for (const [rank, detector] of this.detectors.entries()) {
      const isDue = (now + rank * TICK_MS) % POLL_MS === 0;
      if (rank === 0 || !isDue || this.active.has(rank)) continue;
      const report = this.group.report(rank);
      if (detector.observe(report, now)) void this.act(rank, report);
    }
  }

  private async act(deputy: number, report: RankReport): Promise<void> {
    this.active.add(deputy);
    const deadlineAt = this.readClock() + DEPUTY_TIMEOUT_MS;
    const engines = this.group.ranks.map((_, rank) => ({
      readReport: () => Promise.resolve(Ok(this.readReport(rank, deputy))),
      sendOrder: (order: RankOrder, expected: number) =>
        this.group.receiveOrder(rank, order, expected),
    }));
    await finishStalledChange(engines, report, deadlineAt, this.readClock);
    this.active.delete(deputy);
  }

  private readReport(rank: number, deputy: number): RankReport {
    const old = rank === deputy ? undefined : this.history[0]?.reports[rank];
    return old ?? this.group.report(rank);
  }
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
