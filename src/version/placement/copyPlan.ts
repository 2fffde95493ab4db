import { LayerLoads } from './layerLoads.js';
import type { LayerStep } from './layerLoads.js';
import type { GroupLoad, GroupPlacement } from './types.js';

/** A pass takes this share longer while a rank of the group copies experts. */
const COPY_SLOWDOWN = 0.15;
/** Share of the ranks that copy at the same time and share the cost of the longer passes, at least. */
const PARALLEL_SHARE = 0.25;
/** Copies of a change that run at the same time in the smallest groups, at least. */
const MIN_PARALLEL_COPIES = 2;
/** In the largest groups, at most; cheaper copies make the search for steps long. */
const MAX_PARALLEL_COPIES = 8;

/** Limits and costs of one change. */
export interface CopyLimits {
  readonly slotsPerRank: number;
  /** Experts of one layer that a rank may load in one change. */
  readonly maxLoadsPerLayer: number;
  /** Time of one copy; a rank makes the copies of a change sequentially. */
  readonly copyMs: number;
  /** Time from the plan to the switch, without the copies. */
  readonly overheadMs: number;
  /** Time for which the group stands still at the switch. */
  readonly stopMs: number;
  /** Time for which the demand stays similar. */
  readonly persistenceMs: number;
  /** Share of the pass time that depends on the placement, 0 to 1. */
  readonly expertShare: number;
  /** Time that each rank takes for the same work, relative to a healthy one; all are healthy if omitted. */
  readonly paces?: readonly number[];
}

export interface CopyPlan {
  readonly placement: number[][][];
  /** Number of replicas added. */
  readonly copies: number;
  /** Highest number of replicas added to one rank. */
  readonly copiesPerRank: number;
  readonly drops: number;
  /** Sum of the highest rank loads over all layers, weighted by pace, divided by the sum of the mean rank loads. */
  readonly skewBefore: number;
  readonly skewAfter: number;
  /** Pass time that the change saves until the demand shifts, less the time that the copies and the switch cost. */
  readonly savedMs: number;
  /** Number of steps compared. */
  readonly evaluated: number;
}

/** Steps over all layers, with the copies counted by rank. */
class PlanState {
  readonly layers: LayerLoads[];
  copies = 0;
  drops = 0;
  copiesPerRank = 0;
  private readonly best: (LayerStep | undefined)[] = [];
  private readonly original: Set<number>[][];
  private readonly copied: number[];
  private readonly copiedInLayer: number[][];
  private readonly mean: number;

  constructor(
    load: GroupLoad,
    placement: GroupPlacement,
    private readonly limits: CopyLimits,
  ) {
    const ranks = placement[0]?.length ?? 0;
    const paces = limits.paces ?? new Array<number>(ranks).fill(1);
    this.layers = placement.map(
      (rows, layer) => new LayerLoads(load[layer] ?? [], rows, limits.slotsPerRank, paces),
    );
    this.original = placement.map((rows) => rows.map((experts) => new Set(experts)));
    this.copied = new Array<number>(ranks).fill(0);
    this.copiedInLayer = placement.map(() => new Array<number>(ranks).fill(0));
    let total = 0;
    for (const layer of this.layers) total += layer.total;
    this.mean = Math.max(total / Math.max(ranks, 1), Number.MIN_VALUE);
  }

  get skew(): number {
    let highest = 0;
    for (const layer of this.layers) highest += layer.highest;
    return highest / this.mean;
  }

  get evaluated(): number {
    return this.layers.reduce((sum, layer) => sum + layer.evaluated, 0);
  }

  /** Takes the best steps until none reaches the minimum gain, a share of the mean rank load of all layers. */
  takeSteps(copiesPerRank: number, minGain: number): void {
    this.copiesPerRank = copiesPerRank;
    for (const index of this.layers.keys()) this.findStep(index);
    for (;;) {
      let chosen: LayerStep | undefined;
      let chosenLayer = 0;
      for (const [index, step] of this.best.entries()) {
        if (step === undefined || step.gain <= (chosen?.gain ?? this.mean * minGain)) continue;
        chosen = step;
        chosenLayer = index;
      }
      if (chosen === undefined) return;
      this.applyStep(chosenLayer, chosen);
      for (const [index, step] of this.best.entries()) {
        const isStale = step?.targetRank !== undefined && !this.canCopy(index, step.targetRank);
        if (index === chosenLayer || isStale) this.findStep(index);
      }
    }
  }

  copyPlacement(): number[][][] {
    return this.layers.map((layer) => layer.ranks.map((experts) => [...experts]));
  }

  private findStep(index: number): void {
    this.best[index] = this.layers[index]?.findStep((rank) => this.canCopy(index, rank));
  }

  private applyStep(index: number, step: LayerStep): void {
    this.layers[index]?.applyStep(step);
    const { targetRank, expert } = step;
    if (targetRank === undefined) this.drops += 1;
    else if (this.original[index]?.[targetRank]?.has(expert) !== true) {
      this.copies += 1;
      this.copied[targetRank] = (this.copied[targetRank] ?? 0) + 1;
      const counts = this.copiedInLayer[index];
      if (counts !== undefined) counts[targetRank] = (counts[targetRank] ?? 0) + 1;
    }
  }

  private canCopy(index: number, rank: number): boolean {
    return (
      (this.copied[rank] ?? 0) < this.copiesPerRank &&
      (this.copiedInLayer[index]?.[rank] ?? 0) < this.limits.maxLoadsPerLayer
    );
  }
}

/**
 * Plans the copies of one change.
 *
 * Demand shifts to other experts every few seconds. More copies a rank reduce the skew further but delay the whole
 * change, while copies left to the next change wait for its orders as well. The plan therefore allows one more copy a
 * rank while that delays less saved time than leaving the copies to the next change would. In each layer, a step
 * relieves the most loaded rank: it copies one of its experts to another rank, or drops one that others hold as well.
 *
 * @param load - Demand by layer and expert over a recent window
 * @param placement - Current experts by layer and rank
 * @param limits - Limits and costs of this change
 * @returns The new placement; equal to the current one when no step saves more than it costs
 */
export function planCopies(
  load: GroupLoad,
  placement: GroupPlacement,
  limits: CopyLimits,
): CopyPlan {
  const state = new PlanState(load, placement, limits);
  const skewBefore = state.skew;
  const passBefore = computePassFactor(skewBefore, limits);
  const computeSaving = (skew: number): number =>
    (passBefore - computePassFactor(skew, limits)) / passBefore;
  const ranks = placement[0]?.length ?? 0;
  const parallelCopies = countParallelCopies(ranks);
  const costPerCopyMs = (COPY_SLOWDOWN * limits.copyMs) / parallelCopies;
  const minSaving = costPerCopyMs / limits.persistenceMs;
  const minGain = (minSaving * passBefore) / limits.expertShare;
  let plan = describeState(state, 0, skewBefore);
  let saving = 0;
  for (let copiesPerRank = 1; ; copiesPerRank += 1) {
    const copiesBefore = state.copies;
    state.takeSteps(copiesPerRank, minGain);
    const skewAfter = state.skew;
    const added = computeSaving(skewAfter) - saving;
    const isDelayWorthwhile =
      copiesPerRank === 1 || added * limits.overheadMs > saving * limits.copyMs;
    if (!isDelayWorthwhile) break;
    saving += added;
    const copyMs = copiesPerRank * limits.copyMs;
    const persistsMs = limits.persistenceMs - limits.overheadMs - copyMs;
    const costMs = COPY_SLOWDOWN * copyMs + limits.stopMs;
    plan = describeState(state, saving * persistsMs - costMs, skewBefore);
    if (state.copies === copiesBefore) break;
  }
  return { ...plan, evaluated: state.evaluated };
}

function describeState(state: PlanState, savedMs: number, skewBefore: number): CopyPlan {
  const { copies, drops, copiesPerRank, evaluated, skew } = state;
  const placement = state.copyPlacement();
  return {
    placement,
    copies,
    copiesPerRank,
    drops,
    skewBefore,
    skewAfter: skew,
    savedMs,
    evaluated,
  };
}

/** Counts the copies that lengthen the same passes. */
function countParallelCopies(ranks: number): number {
  return Math.min(Math.max(ranks * PARALLEL_SHARE, MIN_PARALLEL_COPIES), MAX_PARALLEL_COPIES);
}

/** Computes the duration of a pass relative to one with the same load on all ranks. */
function computePassFactor(skew: number, limits: CopyLimits): number {
  return 1 - limits.expertShare + limits.expertShare * skew;
}
