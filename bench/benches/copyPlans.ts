import { DemandTracker } from '../../src/process/ranker/demandTracker.js';
import { computeSkewBound } from '../../src/version/placement/bound.js';
import type { CopyPlan } from '../../src/version/placement/copyPlan.js';
import { planCopies } from '../../src/version/placement/copyPlan.js';
import { createPlacement, measureRankLoad } from '../../src/version/placement/groupPlacement.js';
import type { GroupLoad, GroupPlacement } from '../../src/version/placement/types.js';
import { ShiftingDemand } from '../../test/standins/shiftingDemand.js';

const RUN_MS = 20_000;
/** Excludes the first changes, which start from the initial placement. */
const WARM_UP_MS = 2_000;
const TICK_MS = 20;
const POLL_INTERVAL_MS = 140;
/** Interval of plans while no change is needed. */
const PLAN_INTERVAL_MS = 80;
const PERSISTENCE_MS = 3_000;
const MIN_SAVED_MS = 80;
/** Changes after a shift whose skew is listed. */
const REACHABLE_CHANGES = 4;
/** Share of the overhead of a change during which the group stands still. */
const STOPPED_SHARE = 0.4;
/** A pass takes this share longer while a rank copies experts. */
const COPY_SLOWDOWN = 0.15;

/** Size and speed of a group, and the demand for its experts. */
export interface GroupModel {
  readonly ranks: number;
  readonly layers: number;
  readonly experts: number;
  readonly slotsPerRank: number;
  readonly maxLoadsPerLayer: number;
  readonly copyMs: number;
  readonly expertShare: number;
  readonly exponent: number;
  readonly shiftIntervalMs: number;
  readonly shiftShare: number;
  /** Selections per layer between two polls. */
  readonly selections: number;
}

export const groupModels = {
  ranks_8: {
    ...{ ranks: 8, layers: 6, experts: 64, slotsPerRank: 11, maxLoadsPerLayer: 4, copyMs: 148 },
    ...{ exponent: 1.6, shiftIntervalMs: 4_000, shiftShare: 0.66, selections: 1_000 },
    expertShare: 0.85,
  },
  ranks_24: {
    ...{ ranks: 24, layers: 16, experts: 96, slotsPerRank: 5, maxLoadsPerLayer: 2, copyMs: 76.4 },
    ...{ exponent: 0.94, shiftIntervalMs: 2_500, shiftShare: 0.65, selections: 3_000 },
    expertShare: 0.85,
  },
  ranks_32: {
    ...{ ranks: 32, layers: 12, experts: 128, slotsPerRank: 5, maxLoadsPerLayer: 2, copyMs: 36.5 },
    ...{ exponent: 0.82, shiftIntervalMs: 2_400, shiftShare: 0.79, selections: 2_000 },
    expertShare: 0.85,
  },
} satisfies Record<string, GroupModel>;

export interface CopyRunOptions {
  readonly seed: string;
  readonly model: GroupModel;
  /** Time of a change without its copies. */
  readonly overheadMs: number;
}

/** Figures of one run. */
export interface CopyRunFigures {
  readonly skew_mean: number;
  /** Mean of the pass time, stops included, relative to a balanced group without copies. */
  readonly pass_time: number;
  readonly skew_bound: number;
  readonly changes: number;
  readonly copies: number;
  readonly plan_ms: number;
}

type Planner = (
  load: GroupLoad,
  shares: GroupLoad,
  placement: GroupPlacement,
) => CopyPlan | undefined;

/**
 * Measures the skew of groups whose demand shifts to other experts every few seconds.
 *
 * @param options - Seed of the demand
 * @returns Figures by group size, overhead of a change and planner
 */
export async function benchCopyPlans(options: { seed: number }): Promise<unknown> {
  const results: Record<string, unknown> = { seed: options.seed };
  for (const [size, model] of Object.entries(groupModels)) {
    for (const overheadMs of [80, 300, 600]) {
      // Yields to pending microtasks between the long computations.
      await Promise.resolve();
      const run = { seed: `${options.seed}/${size}`, model, overheadMs };
      results[`${size}_reachable`] ??= measureReachable(run);
      results[`${size}_overhead_${overheadMs}`] = {
        never: runGroup(run, () => undefined),
        planned: runGroup(run, createPlanner(run)),
        informed: runGroup(run, createInformedPlanner(run)),
      };
    }
  }
  return results;
}

/**
 * Measures the skew that the slots of a group allow right after a shift of demand.
 *
 * @param options - Group, seed and overhead
 * @returns Lower bound, skew of a plan from the initial placement without limits, and skew after each of the first
 * changes from the placement of the demand before
 */
export function measureReachable({ model, seed, overheadMs }: CopyRunOptions): {
  readonly bound: number;
  readonly unlimited: number;
  readonly by_change: number[];
} {
  const demand = new ShiftingDemand({ ...model, seed });
  const limits = { ...model, overheadMs, stopMs: 0, persistenceMs: PERSISTENCE_MS };
  const free = { ...limits, copyMs: 0, maxLoadsPerLayer: model.slotsPerRank };
  const initial = createPlacement(model.layers, model.experts, model.ranks);
  let placement: GroupPlacement = planCopies(demand.getShares(0), initial, free).placement;
  const shares = demand.getShares(model.shiftIntervalMs);
  const byChange: number[] = [];
  for (let change = 0; change < REACHABLE_CHANGES; change += 1) {
    const plan = planCopies(shares, placement, limits);
    byChange.push(plan.skewAfter);
    placement = plan.placement;
  }
  return {
    bound: computeBound(shares, model),
    unlimited: planCopies(shares, initial, free).skewAfter,
    by_change: byChange,
  };
}

/**
 * Creates the planner of the rankers with their smoothed demand.
 *
 * @param options - Group and overhead
 * @returns The planner
 */
export function createPlanner(options: CopyRunOptions): Planner {
  const limits = {
    ...options.model,
    overheadMs: options.overheadMs,
    stopMs: options.overheadMs * STOPPED_SHARE,
    persistenceMs: PERSISTENCE_MS,
  };
  return (load, _shares, placement) => {
    const plan = planCopies(load, placement, limits);
    return plan.savedMs >= MIN_SAVED_MS ? plan : undefined;
  };
}

/** Creates a planner that knows the demand without noise and delay, and whose copies take no time. */
function createInformedPlanner(options: CopyRunOptions): Planner {
  const { model, overheadMs } = options;
  const limits = { ...model, copyMs: 0, overheadMs, stopMs: 0, persistenceMs: PERSISTENCE_MS };
  return (_load, shares, placement) => {
    const plan = planCopies(shares, placement, limits);
    return plan.savedMs >= MIN_SAVED_MS ? { ...plan, copiesPerRank: 0 } : undefined;
  };
}

/**
 * Runs a group for some shifts of demand; a plan takes effect after its copies and the overhead.
 *
 * @param options - Group, seed and overhead
 * @param plan - Planner
 * @returns Figures of the run
 */
export function runGroup(options: CopyRunOptions, plan: Planner): CopyRunFigures {
  const { model, seed } = options;
  const demand = new ShiftingDemand({ ...model, seed });
  const tracker = new DemandTracker(model.layers, model.experts, 0);
  let placement = createPlacement(model.layers, model.experts, model.ranks);
  let pending: { placement: GroupPlacement; readyAt: number; copiedAt: number } | undefined;
  const sums = { skew: 0, passTime: 0, bound: 0, changes: 0, copies: 0, planMs: 0, plans: 0 };
  let ticks = 0;
  let planAt = 0;
  let bound = { shares: demand.getShares(0), skew: 1 };
  for (let now = 0; now < RUN_MS; now += TICK_MS) {
    const shares = demand.getShares(now);
    if (now % POLL_INTERVAL_MS === 0)
      tracker.addSelections(demand.drawCounts(now, model.selections).flat(), now);
    if (pending !== undefined && now >= pending.readyAt) {
      placement = pending.placement;
      sums.passTime += now < WARM_UP_MS ? 0 : (options.overheadMs * STOPPED_SHARE) / TICK_MS;
      pending = undefined;
      planAt = now;
    }
    if (pending === undefined && now >= planAt) {
      planAt = now + PLAN_INTERVAL_MS;
      const startedAt = performance.now();
      const next = plan(tracker.getLoad(), shares, placement);
      sums.planMs += performance.now() - startedAt;
      sums.plans += 1;
      if (next !== undefined) {
        const copiedAt = now + next.copiesPerRank * model.copyMs;
        pending = { placement: next.placement, readyAt: copiedAt + options.overheadMs, copiedAt };
        sums.changes += 1;
        sums.copies += next.copies;
      }
    }
    if (now < WARM_UP_MS) continue;
    const skew = measureGroupSkew(placement, shares);
    const isCopying = pending !== undefined && now < pending.copiedAt;
    const passTime = 1 - model.expertShare + model.expertShare * skew;
    sums.skew += skew;
    sums.passTime += passTime * (isCopying ? 1 + COPY_SLOWDOWN : 1);
    if (bound.shares !== shares) bound = { shares, skew: computeBound(shares, model) };
    sums.bound += bound.skew;
    ticks += 1;
  }
  return {
    skew_mean: sums.skew / ticks,
    pass_time: sums.passTime / ticks,
    skew_bound: sums.bound / ticks,
    changes: sums.changes,
    copies: sums.copies,
    plan_ms: sums.planMs / sums.plans,
  };
}

/** The bound depends on ranks and slots only. */
function computeBound(shares: GroupLoad, model: GroupModel): number {
  const { ranks, slotsPerRank } = model;
  return computeSkewBound(shares, {
    ...{ ranks, slotsPerRank, bytesPerExpert: 1, storeBytesPerSecond: 1 },
    ...{ horizonMs: 1, skewWeight: 1, moveWeight: 1 },
  });
}

/** Measures the sum of the highest rank loads over all layers, divided by the sum of the mean rank loads. */
function measureGroupSkew(placement: GroupPlacement, shares: GroupLoad): number {
  let highest = 0;
  let mean = 0;
  for (const [index, layer] of placement.entries()) {
    const loads = measureRankLoad(layer, shares[index] ?? []);
    highest += Math.max(...loads);
    mean += loads.reduce((sum, load) => sum + load, 0) / loads.length;
  }
  return highest / mean;
}
