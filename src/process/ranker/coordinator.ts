import { setTimeout as sleep } from 'node:timers/promises';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';
import { planCopies } from '../../version/placement/copyPlan.js';
import { ChangeOverhead } from './changeCosts.js';
import { changeMap } from './changeMap.js';
import { isChangeWorthwhile } from './changeWorth.js';
import { ChangeTimer } from './changeTimer.js';
import { computeSkew } from './computeSkew.js';
import { listPaces } from './rankPaces.js';
import type { GroupView, RankState } from './groupView.js';
import { PlanRate } from './planRate.js';
import { findHolder, resolveHeldPass } from './resolveHeldPass.js';
import type { ChangeContext } from './sendOrder.js';
import { ShiftInterval } from './shiftInterval.js';
import type { ExpertLayout } from './types.js';
import { VersionSource } from './versionSource.js';

/** Expert selections required before planning; with fewer, chance determines which expert appears popular. */
const MIN_SELECTIONS = 6_000;
/** Interval between two checks of the group while no change is in progress. */
const IDLE_POLL_INTERVAL_MS = 80;
/** Added after a version was refused as too low; ranks remember versions that their reports no longer show. */
const VERSION_SKIP = 64;

export interface CoordinatorOptions {
  readonly view: GroupView;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly signal: AbortSignal;
  readonly readClock: () => number;
  readonly readWallClock: () => number;
  readonly getLayout: () => ExpertLayout | undefined;
}

/** What the coordinator keeps from one change to the next. */
interface ChangeHistory {
  readonly versions: VersionSource;
  readonly planRate: PlanRate;
  readonly shifts: ShiftInterval;
  readonly overhead: ChangeOverhead;
}

/**
 * Rebalances the experts of one group according to the demand of its requests, until aborted. Runs next to rank 0.
 * Resolves after the end of the change in progress: one for which no pass is held yet is abandoned, another completed.
 *
 * @param options - Group, clock and log
 */
export async function coordinateGroup(options: CoordinatorOptions): Promise<void> {
  const { view, signal, readClock } = options;
  const context: ChangeContext = {
    view,
    readClock,
    stopSignal: signal,
    firstUnusedPass: 0,
    lastUnansweredOrderAt: -Infinity,
  };
  const history: ChangeHistory = {
    versions: new VersionSource(options.readWallClock()),
    planRate: new PlanRate(),
    shifts: new ShiftInterval(),
    overhead: new ChangeOverhead(),
  };
  let wasComplete = false;
  while (!signal.aborted) {
    const states = view.listIfComplete(readClock());
    const layout = options.getLayout();
    wasComplete = logCompleteness(options, wasComplete, states !== undefined);
    if (states === undefined || layout === undefined) {
      await sleep(IDLE_POLL_INTERVAL_MS, undefined, { signal }).catch(() => undefined);
      continue;
    }
    const hadOrphanedHold = await resolveOrphanedHold(options, context, states);
    const hadChange =
      !hadOrphanedHold && (await rebalance(options, context, history, states, layout));
    if (!hadChange) {
      await sleep(IDLE_POLL_INTERVAL_MS, undefined, { signal }).catch(() => undefined);
    }
  }
}

/** Logs when the group becomes complete or incomplete: no map changes while a rank is missing. */
function logCompleteness(
  { view, logger }: CoordinatorOptions,
  wasComplete: boolean,
  isComplete: boolean,
): boolean {
  if (isComplete === wasComplete) return isComplete;
  const ranks = view.ranks.size;
  if (isComplete) logger.info({ group: view.group, ranks }, 'all ranks of the group report');
  else logger.warn({ group: view.group, ranks }, 'a rank of the group does not report');
  return isComplete;
}

/** Resolves a pass that is found held, by an earlier coordinator or by an order of this one that executed late. */
async function resolveOrphanedHold(
  options: CoordinatorOptions,
  context: ChangeContext,
  states: readonly RankState[],
): Promise<boolean> {
  const report = findHolder(states);
  if (report === undefined) return false;
  const isComplete = await resolveHeldPass(context, states, report.held);
  options.logger.warn(
    {
      group: report.group,
      rank: report.rank,
      pass: report.held,
      version: report.prepared ?? 0,
      isComplete,
    },
    'resolved a pass held by an earlier order',
  );
  return true;
}

async function rebalance(
  options: CoordinatorOptions,
  context: ChangeContext,
  history: ChangeHistory,
  states: readonly RankState[],
  layout: ExpertLayout,
): Promise<boolean> {
  const { view, logger, metrics, readClock, signal } = options;
  if (signal.aborted) return false;
  const { versions, planRate, shifts, overhead } = history;
  const placement = view.assemblePlacement(states);
  const demand = view.demand;
  if (placement === undefined || demand === undefined || demand.total < MIN_SELECTIONS)
    return false;
  if (states.some(({ report }) => report.armed !== undefined)) return false;
  const plannedAt = readClock();
  const paces = listPaces(states);
  if (!planRate.isDue(plannedAt, () => computeSkew(demand.getLoad(), placement, paces)))
    return false;
  const persistenceMs = shifts.estimate(plannedAt);
  const plan = planCopies(demand.getLoad(), placement, {
    slotsPerRank: layout.slotsPerRank,
    maxLoadsPerLayer: layout.maxLoadsPerLayer,
    copyMs: layout.copyMs,
    overheadMs: overhead.averageMs,
    stopMs: overhead.averageStopMs,
    persistenceMs,
    expertShare: layout.expertShare,
    paces,
  });
  const startedAt = readClock();
  metrics.recordLatency('map_plan', startedAt - plannedAt);
  const slowRanks = paces.filter((pace) => pace > 1).length;
  if (slowRanks > 0) metrics.addCount('map_plan_slow_ranks');
  const isWorthwhile = isChangeWorthwhile({
    savedMs: plan.savedMs,
    persistenceMs,
    passMs: view.passClock.passMs,
    maxGapMs: layout.maxGapMs,
  });
  const expectedSkew = isWorthwhile ? plan.skewAfter : plan.skewBefore;
  shifts.recordPlan(plan.skewBefore, expectedSkew, plannedAt);
  planRate.recordPlan(plannedAt, startedAt, expectedSkew, isWorthwhile);
  if (!isWorthwhile) return false;
  const epoch = states[0]?.report.epoch ?? 0;
  const version = versions.issue(states);
  const timer = new ChangeTimer(startedAt);
  context.timer = timer;
  const outcome = await changeMap(context, { version, epoch, placement: plan.placement });
  context.timer = undefined;
  const durations = timer.describe();
  const inUse = outcome === 'switched' ? plan.placement : placement;
  if (outcome === 'not_prepared') versions.advance(VERSION_SKIP);
  const tookMs = readClock() - startedAt;
  if (outcome === 'switched') {
    const copyMs = plan.copiesPerRank * layout.copyMs;
    overhead.recordChange({ tookMs, copyMs, waitedMs: durations.waitedMs ?? 0 });
  }
  metrics.addCount(`map_change_${outcome}`);
  metrics.addCount('map_copies', plan.copies);
  metrics.recordLatency('map_change', tookMs);
  metrics.recordLatency('map_change_wait', durations.waitedMs ?? 0);
  metrics.recordLatency('order_round_trip', durations.longestOrderMs);
  logger.info(
    {
      group: view.group,
      epoch,
      version,
      outcome,
      copies: plan.copies,
      copiesPerRank: plan.copiesPerRank,
      drops: plan.drops,
      skewBefore: round(plan.skewBefore),
      skewPlanned: round(plan.skewAfter),
      skewAfter: round(computeSkew(demand.getLoad(), inUse, paces)),
      slowRanks,
      demand: Math.round(demand.total),
      persistenceMs: Math.round(persistenceMs),
      tookMs: Math.round(tookMs),
      ...durations,
      planMs: Math.round(startedAt - plannedAt),
      passMs: Math.round(view.passClock.passMs ?? 0),
      receivedBytes: metrics.getCount('link_received_bytes'),
      pass: states[0]?.report.pass,
    },
    'expert map changed',
  );
  return true;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
