import type { GroupLoad, GroupPlacement } from './types.js';

/**
 * Exponent of the norm that approximates the highest rank load. The maximum itself shows no gain while two ranks share
 * it, which would end the search.
 */
const NORM_EXPONENT = 8;

/** Limits of one change. */
export interface CopyLimits {
  readonly slotsPerRank: number;
  /** Experts of one layer that a rank may load in one change. */
  readonly maxLoadsPerLayer: number;
  /** Experts over all layers that a rank may load in one change; they are copied sequentially. */
  readonly maxCopiesPerRank: number;
  /** Minimum share of the group's expert time that a copy must save. */
  readonly minGain: number;
}

export interface CopyPlan {
  readonly placement: number[][][];
  /** Number of replicas added. */
  readonly copies: number;
  readonly drops: number;
  /** Sum of the highest rank loads over all layers, divided by the sum of the mean rank loads. */
  readonly skewBefore: number;
  readonly skewAfter: number;
}

interface CopyStep {
  readonly layer: number;
  readonly expert: number;
  readonly sourceRank: number;
  /** Rank that receives the copy; undefined drops the expert from the most loaded rank. */
  readonly targetRank: number | undefined;
  /** Expert removed from the rank that receives the copy. */
  readonly evicted: number | undefined;
  readonly gain: number;
}

/** Holders and rank loads of one layer during planning. */
class LayerState {
  readonly holders: number[][];
  readonly loads: number[];
  readonly ranks: number[][];
  readonly total: number;

  constructor(
    readonly demand: readonly number[],
    placement: readonly (readonly number[])[],
  ) {
    this.ranks = placement.map((experts) => [...experts]);
    this.holders = demand.map(() => []);
    this.loads = placement.map(() => 0);
    let total = 0;
    for (const share of demand) total += share;
    this.total = total;
    for (const [rank, experts] of placement.entries()) {
      for (const expert of experts) this.holders[expert]?.push(rank);
    }
    for (const [expert, holders] of this.holders.entries()) this.addLoad(expert, holders, 1);
  }

  get highest(): number {
    return Math.max(...this.loads);
  }

  get mostLoadedRank(): number {
    return this.loads.indexOf(this.highest);
  }

  /** Computes the rank loads that result if an expert is held by the given ranks. */
  computeLoads(expert: number, holders: readonly number[], loads: readonly number[]): number[] {
    const changed = [...loads];
    const demand = this.demand[expert] ?? 0;
    const before = this.holders[expert] ?? [];
    for (const rank of before) changed[rank] = (changed[rank] ?? 0) - demand / before.length;
    for (const rank of holders) changed[rank] = (changed[rank] ?? 0) + demand / holders.length;
    return changed;
  }

  setHolders(expert: number, holders: readonly number[]): void {
    this.addLoad(expert, this.holders[expert] ?? [], -1);
    this.addLoad(expert, holders, 1);
    this.holders[expert] = [...holders];
    for (const [rank, experts] of this.ranks.entries()) {
      const position = experts.indexOf(expert);
      const isHolder = holders.includes(rank);
      if (isHolder && position === -1) experts.push(expert);
      if (!isHolder && position !== -1) experts.splice(position, 1);
    }
  }

  private addLoad(expert: number, holders: readonly number[], sign: number): void {
    const share = ((this.demand[expert] ?? 0) / holders.length) * sign;
    for (const rank of holders) this.loads[rank] = (this.loads[rank] ?? 0) + share;
  }
}

/**
 * Plans the few copies that shorten a pass most.
 *
 * Demand shifts to other experts every few seconds, and copies take far longer than the decision. A change therefore
 * holds only the copies that save the most time, and the next change follows immediately. In each layer, a step
 * relieves the most loaded rank: it copies one of its experts to another rank, or drops one that others hold as well.
 *
 * @param load - Demand by layer and expert over a recent window
 * @param placement - Current experts by layer and rank
 * @param limits - Limits of this change
 * @returns The new placement; equal to the current one when no step reaches the minimum gain
 */
export function planCopies(
  load: GroupLoad,
  placement: GroupPlacement,
  limits: CopyLimits,
): CopyPlan {
  const layers = placement.map((ranks, layer) => new LayerState(load[layer] ?? [], ranks));
  const ranks = placement[0]?.length ?? 0;
  const copied = new Array<number>(ranks).fill(0);
  const copiedInLayer = layers.map(() => new Array<number>(ranks).fill(0));
  const original = placement.map((rows) => rows.map((experts) => new Set(experts)));
  const mean = layers.reduce((sum, layer) => sum + layer.total / Math.max(ranks, 1), 0);
  const sumHighest = (): number => layers.reduce((sum, layer) => sum + layer.highest, 0);
  const before = sumHighest();
  const best: (CopyStep | undefined)[] = layers.map(() => undefined);
  let copies = 0;
  let drops = 0;
  const canCopy = (layer: number, rank: number): boolean =>
    (copied[rank] ?? 0) < limits.maxCopiesPerRank &&
    (copiedInLayer[layer]?.[rank] ?? 0) < limits.maxLoadsPerLayer;
  for (const layer of layers.keys()) best[layer] = findStep(layers, layer, limits, canCopy);
  for (;;) {
    let chosen: CopyStep | undefined;
    for (const step of best) {
      if (step !== undefined && step.gain > (chosen?.gain ?? mean * limits.minGain)) chosen = step;
    }
    if (chosen === undefined) break;
    applyStep(layers, chosen);
    const { layer, targetRank, expert } = chosen;
    if (targetRank === undefined) drops += 1;
    else if (original[layer]?.[targetRank]?.has(expert) !== true) {
      copies += 1;
      copied[targetRank] = (copied[targetRank] ?? 0) + 1;
      const counts = copiedInLayer[layer];
      if (counts !== undefined) counts[targetRank] = (counts[targetRank] ?? 0) + 1;
    }
    for (const [index, step] of best.entries()) {
      const isStale = step?.targetRank !== undefined && !canCopy(index, step.targetRank);
      if (index === layer || isStale) best[index] = findStep(layers, index, limits, canCopy);
    }
  }
  const divisor = Math.max(mean, Number.MIN_VALUE);
  return {
    placement: layers.map((layer) => layer.ranks),
    copies,
    drops,
    skewBefore: before / divisor,
    skewAfter: sumHighest() / divisor,
  };
}

function applyStep(layers: readonly LayerState[], step: CopyStep): void {
  const layer = layers[step.layer];
  if (layer === undefined) return;
  const holders = layer.holders[step.expert] ?? [];
  if (step.targetRank === undefined) {
    layer.setHolders(
      step.expert,
      holders.filter((rank) => rank !== step.sourceRank),
    );
    return;
  }
  if (step.evicted !== undefined) {
    const others = layer.holders[step.evicted] ?? [];
    layer.setHolders(
      step.evicted,
      others.filter((rank) => rank !== step.targetRank),
    );
  }
  layer.setHolders(step.expert, [...(layer.holders[step.expert] ?? []), step.targetRank]);
}

function findStep(
  layers: readonly LayerState[],
  index: number,
  limits: CopyLimits,
  canCopy: (layer: number, rank: number) => boolean,
): CopyStep | undefined {
  const layer = layers[index];
  if (layer === undefined || layer.total === 0) return undefined;
  const sourceRank = layer.mostLoadedRank;
  const currentNorm = computeNorm(layer.loads);
  let best: CopyStep | undefined;
  const considerStep = (
    step: Omit<CopyStep, 'gain' | 'layer' | 'sourceRank'>,
    loads: readonly number[],
  ): void => {
    const gain = currentNorm - computeNorm(loads);
    if (gain > (best?.gain ?? 0)) best = { ...step, gain, layer: index, sourceRank };
  };
  for (const expert of layer.ranks[sourceRank] ?? []) {
    const holders = layer.holders[expert] ?? [];
    if (holders.length > 1) {
      const rest = holders.filter((rank) => rank !== sourceRank);
      considerStep(
        { expert, targetRank: undefined, evicted: undefined },
        layer.computeLoads(expert, rest, layer.loads),
      );
    }
    for (const targetRank of layer.ranks.keys()) {
      if (holders.includes(targetRank) || !canCopy(index, targetRank)) continue;
      const loadsWithCopy = layer.computeLoads(expert, [...holders, targetRank], layer.loads);
      const isFull = (layer.ranks[targetRank]?.length ?? 0) >= limits.slotsPerRank;
      const evicted = isFull ? findEvictionCandidate(layer, targetRank, expert) : undefined;
      if (!isFull) considerStep({ expert, targetRank, evicted }, loadsWithCopy);
      else if (evicted !== undefined) {
        const rest = (layer.holders[evicted] ?? []).filter((rank) => rank !== targetRank);
        considerStep(
          { expert, targetRank, evicted },
          layer.computeLoads(evicted, rest, loadsWithCopy),
        );
      }
    }
  }
  return best;
}

function computeNorm(loads: readonly number[]): number {
  let sum = 0;
  for (const load of loads) sum += load ** NORM_EXPONENT;
  return sum ** (1 / NORM_EXPONENT);
}

/** Finds the replica whose removal adds the least load to the other holders. */
function findEvictionCandidate(
  layer: LayerState,
  rank: number,
  incoming: number,
): number | undefined {
  let evicted: number | undefined;
  let lowest = Infinity;
  for (const expert of layer.ranks[rank] ?? []) {
    const holders = layer.holders[expert] ?? [];
    if (expert === incoming || holders.length < 2) continue;
    const added = (layer.demand[expert] ?? 0) / holders.length / (holders.length - 1);
    if (added >= lowest) continue;
    lowest = added;
    evicted = expert;
  }
  return evicted;
}
