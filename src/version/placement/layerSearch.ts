import { measureRankLoad } from './groupPlacement.js';
import type { LayerPlacement, Move } from './types.js';

/** Changes applied together; every expert keeps at least one replica. */
export interface SearchStep {
  readonly adds: readonly Replica[];
  readonly drops: readonly Replica[];
}

export interface Replica {
  readonly expert: number;
  readonly rank: number;
}

/** Number of least loaded ranks tried as targets, which bounds the search. */
const MAX_TARGET_RANKS = 8;
/** Number of ranks tried as sources, most loaded first, until one yields a step. */
const MAX_SOURCE_RANKS = 3;
/** Gain relative to the potential below which a step counts as noise. */
const MIN_RELATIVE_GAIN = 1e-3;
/** Cost of a step that transfers nothing, in replicas. */
const FREE_STEP_COST = 0.25;

/** Local search over the placement of one layer. */
export class LayerSearch {
  private readonly held: Set<number>[];
  private readonly holders: Set<number>[];
  private readonly rankLoads: Float64Array;
  private readonly mean: number;

  constructor(
    layer: LayerPlacement,
    private readonly load: readonly number[],
    private readonly slotsPerRank: number,
    private readonly isBlocked: (move: Omit<Move, 'layer'>) => boolean,
  ) {
    this.held = layer.map((experts) => new Set(experts));
    this.holders = load.map(() => new Set<number>());
    for (const [rank, experts] of layer.entries()) {
      for (const expert of experts) this.holders[expert]?.add(rank);
    }
    this.rankLoads = Float64Array.from(measureRankLoad(layer, load));
    this.mean = Math.max(
      Number.MIN_VALUE,
      this.rankLoads.reduce((a, b) => a + b, 0) / layer.length,
    );
  }

  get skew(): number {
    return Math.max(...this.rankLoads) / this.mean;
  }

  /** Current state as a placement. */
  get placement(): LayerPlacement {
    return this.held.map((experts) => [...experts].sort((a, b) => a - b));
  }

  /**
   * Finds the step with the highest gain per transferred replica.
   *
   * @returns The step, or undefined when none has sufficient gain
   */
  findStep(): SearchStep | undefined {
    const order = [...this.rankLoads.keys()].sort(
      (a, b) => (this.rankLoads[a] ?? 0) - (this.rankLoads[b] ?? 0),
    );
    const targets = order.slice(0, Math.min(MAX_TARGET_RANKS, order.length - 1));
    for (const sourceRank of order.slice(-MAX_SOURCE_RANKS).reverse()) {
      const step = this.findStepFromRank(sourceRank, targets);
      if (step !== undefined) return step;
    }
    return undefined;
  }

  /**
   * Applies a step.
   *
   * @param step - Step from `findStep`
   */
  apply(step: SearchStep): void {
    this.shiftLoad(step, 1);
    for (const { expert, rank } of step.drops) {
      this.held[rank]?.delete(expert);
      this.holders[expert]?.delete(rank);
    }
    for (const { expert, rank } of step.adds) {
      this.held[rank]?.add(expert);
      this.holders[expert]?.add(rank);
    }
  }

  private findStepFromRank(sourceRank: number, targets: readonly number[]): SearchStep | undefined {
    const before = this.computePotential();
    let best: SearchStep | undefined;
    let bestScore = before * MIN_RELATIVE_GAIN;
    for (const step of this.listSteps(sourceRank, targets)) {
      const gain = before - this.evaluateStep(step);
      const score = gain / Math.max(step.adds.length, FREE_STEP_COST);
      if (score <= bestScore || this.isStepBlocked(step)) continue;
      best = step;
      bestScore = score;
    }
    return best;
  }

  private *listSteps(sourceRank: number, targets: readonly number[]): Generator<SearchStep> {
    for (const expert of this.held[sourceRank] ?? []) {
      const source = { expert, rank: sourceRank };
      if (this.countHolders(expert) > 1) yield { adds: [], drops: [source] };
      for (const rank of targets) {
        if (rank === sourceRank || this.held[rank]?.has(expert) === true) continue;
        yield* this.listTargetSteps(source, rank);
      }
    }
  }

  private *listTargetSteps(source: Replica, rank: number): Generator<SearchStep> {
    const adds = [{ expert: source.expert, rank }];
    const experts = this.held[rank] ?? new Set<number>();
    const movedLoad = this.getReplicaLoad(source.expert);
    const count = this.countHolders(source.expert);
    const copiedLoad = (movedLoad * count) / (count + 1);
    // A target that would become as loaded as the source yields no gain; this skips most candidates.
    const gap = (this.rankLoads[source.rank] ?? 0) - (this.rankLoads[rank] ?? 0);
    if (experts.size < this.slotsPerRank) {
      if (copiedLoad < gap) yield { adds, drops: [] };
      if (movedLoad < gap) yield { adds, drops: [source] };
    }
    for (const expert of experts) {
      const evictedLoad = this.getReplicaLoad(expert);
      const evicted = { expert, rank };
      const spare = this.countHolders(expert) > 1;
      if (spare && copiedLoad - evictedLoad < gap) yield { adds, drops: [evicted] };
      // Exchanging for an expert with a higher load would not relieve the source.
      if (movedLoad - evictedLoad >= gap || evictedLoad >= movedLoad) continue;
      if (spare) yield { adds, drops: [evicted, source] };
      if (this.held[source.rank]?.has(expert) === true) continue;
      yield { adds: [...adds, { expert, rank: source.rank }], drops: [evicted, source] };
    }
  }

  private getReplicaLoad(expert: number): number {
    return (this.load[expert] ?? 0) / this.countHolders(expert);
  }

  private countHolders(expert: number): number {
    return this.holders[expert]?.size ?? 0;
  }

  private isStepBlocked(step: SearchStep): boolean {
    return (
      step.adds.some((replica) => this.isBlocked({ kind: 'add', ...replica })) ||
      step.drops.some((replica) => this.isBlocked({ kind: 'drop', ...replica }))
    );
  }

  private evaluateStep(step: SearchStep): number {
    this.shiftLoad(step, 1);
    const potential = this.computePotential();
    this.shiftLoad(step, -1);
    return potential;
  }

  /** Adds (sign 1) or reverts (sign -1) the effect of a step on the rank loads. */
  private shiftLoad(step: SearchStep, sign: number): void {
    let previous = -1;
    for (const { expert } of step.adds) {
      this.shiftExpert(step, expert, sign);
      previous = expert;
    }
    for (const { expert } of step.drops) {
      const done = expert === previous || step.adds[0]?.expert === expert;
      if (!done) this.shiftExpert(step, expert, sign);
    }
  }

  private shiftExpert(step: SearchStep, expert: number, sign: number): void {
    const holders = this.holders[expert] ?? new Set<number>();
    let count = holders.size;
    for (const replica of step.adds) if (replica.expert === expert) count += 1;
    for (const replica of step.drops) if (replica.expert === expert) count -= 1;
    const load = sign * (this.load[expert] ?? 0);
    const after = load / count;
    const change = after - load / holders.size;
    for (const rank of holders) this.addLoad(rank, change);
    for (const replica of step.adds)
      if (replica.expert === expert) this.addLoad(replica.rank, after);
    for (const replica of step.drops)
      if (replica.expert === expert) this.addLoad(replica.rank, -after);
  }

  private addLoad(rank: number, amount: number): void {
    this.rankLoads[rank] = (this.rankLoads[rank] ?? 0) + amount;
  }

  /** Sum of the 16th powers: close to the maximum, but also rewards relieving other highly loaded ranks. */
  private computePotential(): number {
    let sum = 0;
    for (const load of this.rankLoads) {
      const relative = load / this.mean;
      const square = relative * relative;
      const fourth = square * square;
      const eighth = fourth * fourth;
      sum += eighth * eighth;
    }
    return sum;
  }
}
