/** Exponent of the norm that approximates the highest rank load. */
const NORM_EXPONENT = 8;

/** One step towards a lower load of the most loaded rank of a layer. */
export interface LayerStep {
  readonly expert: number;
  readonly sourceRank: number;
  /** Rank that receives the copy; undefined drops the expert from the source rank. */
  readonly targetRank: number | undefined;
  /** Expert removed from the rank that receives the copy. */
  readonly evicted: number | undefined;
  /** Reduction of the norm of the rank loads. */
  readonly gain: number;
}

/** Experts of one layer by rank, with the load of each rank. */
export class LayerLoads {
  readonly ranks: number[][];
  readonly total: number;
  /** Number of steps compared so far. */
  evaluated = 0;
  private readonly holders: number[][];
  private readonly loads: number[];
  /** Scratch space of `computePowerSum`: load added to each rank. */
  private readonly added: number[];

  constructor(
    private readonly demand: readonly number[],
    placement: readonly (readonly number[])[],
    private readonly slotsPerRank: number,
  ) {
    this.ranks = placement.map((experts) => [...experts]);
    this.loads = placement.map(() => 0);
    this.added = placement.map(() => 0);
    this.holders = demand.map(() => []);
    let total = 0;
    for (const share of demand) total += share;
    this.total = total;
    for (const [rank, experts] of placement.entries()) {
      for (const expert of experts) this.holders[expert]?.push(rank);
    }
    for (const [expert, holders] of this.holders.entries()) this.addLoad(expert, holders, 1);
  }

  /** Load of the most loaded rank. */
  get highest(): number {
    return Math.max(...this.loads);
  }

  /**
   * Finds the step from the most loaded rank that reduces the norm of the rank loads most.
   *
   * The norm approximates the highest load. The highest load itself shows no gain while two ranks share it, which would
   * end the search.
   *
   * @param canCopy - Whether a rank may receive another copy
   * @returns The step, or undefined when none reduces the norm
   */
  findStep(canCopy: (rank: number) => boolean): LayerStep | undefined {
    if (this.total === 0) return undefined;
    const sourceRank = this.loads.indexOf(this.highest);
    const evictable = this.ranks.map((_, rank) => this.findEvictionCandidate(rank));
    let current = 0;
    for (const load of this.loads) current += computePower(load);
    let lowest = current;
    let best: Omit<LayerStep, 'gain'> | undefined;
    for (const expert of this.ranks[sourceRank] ?? []) {
      const holders = this.holders[expert] ?? [];
      if (holders.length > 1) {
        const sum = current + this.computePowerChange([[expert, sourceRank, -1]]);
        if (sum < lowest) {
          lowest = sum;
          best = { expert, sourceRank, targetRank: undefined, evicted: undefined };
        }
      }
      for (const targetRank of this.ranks.keys()) {
        if (holders.includes(targetRank) || !canCopy(targetRank)) continue;
        const isFull = (this.ranks[targetRank]?.length ?? 0) >= this.slotsPerRank;
        const evicted = isFull ? evictable[targetRank] : undefined;
        if (isFull && evicted === undefined) continue;
        const changes: HolderChange[] = [[expert, targetRank, 1]];
        if (evicted !== undefined) changes.push([evicted, targetRank, -1]);
        const sum = current + this.computePowerChange(changes);
        if (sum >= lowest) continue;
        lowest = sum;
        best = { expert, sourceRank, targetRank, evicted };
      }
    }
    if (best === undefined) return undefined;
    return { ...best, gain: computeNorm(current) - computeNorm(lowest) };
  }

  /**
   * Applies a step.
   *
   * @param step - Step found in the current state
   */
  applyStep(step: LayerStep): void {
    const { expert, sourceRank, targetRank, evicted } = step;
    if (targetRank === undefined) {
      this.removeHolder(expert, sourceRank);
      return;
    }
    if (evicted !== undefined) this.removeHolder(evicted, targetRank);
    this.addLoad(expert, this.holders[expert] ?? [], -1);
    this.holders[expert]?.push(targetRank);
    this.addLoad(expert, this.holders[expert] ?? [], 1);
    this.ranks[targetRank]?.push(expert);
  }

  private removeHolder(expert: number, rank: number): void {
    const holders = this.holders[expert] ?? [];
    this.addLoad(expert, holders, -1);
    this.holders[expert] = holders.filter((holder) => holder !== rank);
    this.addLoad(expert, this.holders[expert], 1);
    this.ranks[rank] = (this.ranks[rank] ?? []).filter((held) => held !== expert);
  }

  private addLoad(expert: number, holders: readonly number[], sign: number): void {
    const share = ((this.demand[expert] ?? 0) / holders.length) * sign;
    for (const rank of holders) this.loads[rank] = (this.loads[rank] ?? 0) + share;
  }

  /** Computes how the sum of the powers of the rank loads changes. */
  private computePowerChange(changes: readonly HolderChange[]): number {
    this.evaluated += 1;
    const { added, loads } = this;
    const touched = new Set<number>();
    for (const [expert, rank, sign] of changes) {
      const holders = this.holders[expert] ?? [];
      const demand = this.demand[expert] ?? 0;
      const before = demand / holders.length;
      const after = demand / (holders.length + sign);
      for (const holder of holders) {
        touched.add(holder);
        added[holder] = (added[holder] ?? 0) + after - before;
      }
      touched.add(rank);
      added[rank] = (added[rank] ?? 0) + sign * after;
    }
    let change = 0;
    for (const rank of touched) {
      const load = loads[rank] ?? 0;
      change += computePower(load + (added[rank] ?? 0)) - computePower(load);
      added[rank] = 0;
    }
    return change;
  }

  /** Finds the replica whose removal adds the least load to the other holders. */
  private findEvictionCandidate(rank: number): number | undefined {
    let evicted: number | undefined;
    let lowest = Infinity;
    for (const expert of this.ranks[rank] ?? []) {
      const count = this.holders[expert]?.length ?? 0;
      if (count < 2) continue;
      const added = (this.demand[expert] ?? 0) / count / (count - 1);
      if (added >= lowest) continue;
      lowest = added;
      evicted = expert;
    }
    return evicted;
  }
}

/** Expert, rank, and 1 if the rank becomes a holder of it or -1 if it ceases to be one. */
type HolderChange = readonly [expert: number, rank: number, sign: 1 | -1];

function computePower(load: number): number {
  const square = load * load;
  const fourth = square * square;
  return fourth * fourth;
}

function computeNorm(powerSum: number): number {
  return Math.max(powerSum, 0) ** (1 / NORM_EXPONENT);
}
