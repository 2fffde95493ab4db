import seedrandom from 'seedrandom';

/** Share of an expert's selections that all topics have in common. */
const COMMON_SHARE = 0.75;
const TOPICS = 9;

export interface ShiftingDemandOptions {
  readonly seed: string;
  readonly layers: number;
  readonly experts: number;
  /** Exponent of the Zipf distribution of the experts' popularity. */
  readonly exponent: number;
  /** Time between two shifts in milliseconds. */
  readonly shiftIntervalMs: number;
  /** Share of the popularity ranks that go to other experts at a shift, 0 to 1. */
  readonly shiftShare: number;
}

/** Generates seeded expert demand that shifts to other experts at a fixed interval. */
export class ShiftingDemand {
  private readonly random: () => number;
  private readonly weights: readonly number[];
  /** Popularity order of the experts by layer; the first order is common, the others belong to one topic each. */
  private readonly orders: number[][][];
  private shares: number[][];
  private shifts = 0;

  constructor(private readonly options: ShiftingDemandOptions) {
    const { layers, experts, exponent, seed } = options;
    this.random = seedrandom(seed);
    const ranked = Array.from({ length: experts }, (_, place) => (place + 1) ** -exponent);
    const total = ranked.reduce((sum, weight) => sum + weight, 0);
    this.weights = ranked.map((weight) => weight / total);
    this.orders = Array.from({ length: layers }, () =>
      Array.from({ length: TOPICS + 1 }, () =>
        this.shuffle(Array.from({ length: experts }, (_, expert) => expert)),
      ),
    );
    this.shares = this.orders.map((orders) => this.computeShares(orders));
  }

  /**
   * Returns the share of each expert in the selections of its layer.
   *
   * @param now - Milliseconds since the start; must not decrease
   * @returns Shares by layer and expert
   */
  getShares(now: number): readonly (readonly number[])[] {
    const due = Math.floor(now / this.options.shiftIntervalMs);
    for (; this.shifts < due; this.shifts += 1) {
      for (const orders of this.orders) for (const order of orders) this.shiftOrder(order);
      this.shares = this.orders.map((orders) => this.computeShares(orders));
    }
    return this.shares;
  }

  /**
   * Draws the selections of one period.
   *
   * @param now - Milliseconds since the start; must not decrease
   * @param selections - Selections per layer
   * @returns Counts by layer and expert
   */
  drawCounts(now: number, selections: number): number[][] {
    return this.getShares(now).map((shares) => {
      const counts = shares.map(() => 0);
      const cumulative: number[] = [];
      let sum = 0;
      for (const share of shares) cumulative.push((sum += share));
      for (let drawn = 0; drawn < selections; drawn += 1) {
        const expert = findFirstAbove(cumulative, this.random() * sum);
        counts[expert] = (counts[expert] ?? 0) + 1;
      }
      return counts;
    });
  }

  private computeShares(orders: readonly (readonly number[])[]): number[] {
    const shares = new Array<number>(this.options.experts).fill(0);
    for (const [index, order] of orders.entries()) {
      const factor = index === 0 ? COMMON_SHARE : (1 - COMMON_SHARE) / TOPICS;
      for (const [place, expert] of order.entries())
        shares[expert] = (shares[expert] ?? 0) + factor * (this.weights[place] ?? 0);
    }
    return shares;
  }

  private shiftOrder(order: number[]): void {
    const places = [...order.keys()].filter(() => this.random() < this.options.shiftShare);
    const moved = this.shuffle(places.map((place) => order[place] ?? 0));
    for (const [index, place] of places.entries()) order[place] = moved[index] ?? 0;
  }

  private shuffle(values: number[]): number[] {
    for (let index = values.length - 1; index > 0; index -= 1) {
      const other = Math.floor(this.random() * (index + 1));
      [values[index], values[other]] = [values[other] ?? 0, values[index] ?? 0];
    }
    return values;
  }
}

function findFirstAbove(cumulative: readonly number[], value: number): number {
  let low = 0;
  let high = cumulative.length - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((cumulative[middle] ?? 0) > value) high = middle;
    else low = middle + 1;
  }
  return low;
}
