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
  /** Load by rank, multiplied by the pace of the rank. */
  private readonly loads: Float64Array;
  /** Scratch space of `findStep`: loads after the expert in question has gained or lost a replica. */
  private readonly shifted: Float64Array;

  constructor(
    private readonly demand: readonly number[],
    placement: readonly (readonly number[])[],
    private readonly slotsPerRank: number,
    private readonly paces: readonly number[],
  ) {
    this.ranks = placement.map((experts) => [...experts]);
    this.loads = new Float64Array(placement.length);
    this.shifted = new Float64Array(placement.length);
    this.holders = demand.map(() => []);
    let total = 0;
    for (const share of demand) total += share;
    this.total = total;
    for (const [rank, experts] of placement.entries()) {
      for (const expert of experts) this.holders[expert]?.push(rank);
    }
    for (const [expert, holders] of this.holders.entries()) this.addLoad(expert, holders, 1);
  }

  /** Load of the most loaded rank, multiplied by its pace. */
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
    const { loads, shifted } = this;
    const sourceRank = loads.indexOf(this.highest);
    const targets = this.listTargets(canCopy);
    let current = 0;
    for (const load of loads) current += computePower(load);
    let lowest = current;
    let best: Omit<LayerStep, 'gain'> | undefined;
    shifted.set(loads);
    for (const expert of this.ranks[sourceRank] ?? []) {
      const holders = this.holders[expert] ?? [];
      if (holders.length > 1) {
        const sum = current + this.computeDropChange(expert, sourceRank);
        this.evaluated += 1;
        if (sum < lowest) {
          lowest = sum;
          best = { expert, sourceRank, targetRank: undefined, evicted: undefined };
        }
      }
      const demand = this.demand[expert] ?? 0;
      const share = demand / (holders.length + 1);
      // What the other holders lose does not depend on the target.
      const sumOfHolders = current + this.shiftHolders(holders, share - demand / holders.length);
      for (const { rank, evicted } of targets) {
        if (holders.includes(rank)) continue;
        this.evaluated += 1;
        const sum = sumOfHolders + this.computeTargetChange(rank, share, evicted);
        if (sum >= lowest) continue;
        lowest = sum;
        best = { expert, sourceRank, targetRank: rank, evicted };
      }
      for (const holder of holders) shifted[holder] = loads[holder] ?? 0;
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
    for (const rank of holders)
      this.loads[rank] = (this.loads[rank] ?? 0) + share * (this.paces[rank] ?? 1);
  }

  private listTargets(canCopy: (rank: number) => boolean): Target[] {
    const targets: Target[] = [];
    for (const [rank, experts] of this.ranks.entries()) {
      if (!canCopy(rank)) continue;
      const isFull = experts.length >= this.slotsPerRank;
      const evicted = isFull ? this.findEvictionCandidate(rank) : undefined;
      if (!isFull || evicted !== undefined) targets.push({ rank, evicted });
    }
    return targets;
  }

  /** Adds a share to the shifted load of each holder, and returns how the sum of the powers changes. */
  private shiftHolders(holders: readonly number[], share: number): number {
    const { loads, shifted, paces } = this;
    let change = 0;
    for (const holder of holders) {
      const before = loads[holder] ?? 0;
      const after = before + share * (paces[holder] ?? 1);
      shifted[holder] = after;
      change += computePower(after) - computePower(before);
    }
    return change;
  }

  /** Computes how the sum of the powers of the shifted loads changes when a rank gains a share and loses an expert. */
  private computeTargetChange(rank: number, share: number, evicted: number | undefined): number {
    const { shifted, paces } = this;
    const before = shifted[rank] ?? 0;
    if (evicted === undefined)
      return computePower(before + share * (paces[rank] ?? 1)) - computePower(before);
    const others = this.holders[evicted] ?? [];
    const demand = this.demand[evicted] ?? 0;
    const lost = demand / others.length;
    const gained = demand / (others.length - 1) - lost;
    let change = computePower(before + (share - lost) * (paces[rank] ?? 1)) - computePower(before);
    for (const other of others) {
      if (other === rank) continue;
      const load = shifted[other] ?? 0;
      change += computePower(load + gained * (paces[other] ?? 1)) - computePower(load);
    }
    return change;
  }

  /** Computes how the sum of the powers changes when a rank drops an expert that others hold as well. */
  private computeDropChange(expert: number, rank: number): number {
    const { loads, paces } = this;
    const holders = this.holders[expert] ?? [];
    const demand = this.demand[expert] ?? 0;
    const lost = demand / holders.length;
    const gained = demand / (holders.length - 1) - lost;
    let change = 0;
    for (const holder of holders) {
      const load = loads[holder] ?? 0;
      const share = holder === rank ? -lost : gained;
      change += computePower(load + share * (paces[holder] ?? 1)) - computePower(load);
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

/** Rank that may receive a copy, and the expert that it gives up for it if all its slots are taken. */
interface Target {
  readonly rank: number;
  readonly evicted: number | undefined;
}

function computePower(load: number): number {
  const square = load * load;
  const fourth = square * square;
  return fourth * fourth;
}

function computeNorm(powerSum: number): number {
  return Math.max(powerSum, 0) ** (1 / NORM_EXPONENT);
}
