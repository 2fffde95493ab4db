import type { GroupLoad } from '../../version/placement/types.js';

/** Half-life of the weight of an expert selection, a fraction of the time between two shifts of demand. */
const HALF_LIFE_MS = 250;
/** Weights are rescaled before the growth of new selections exceeds this factor. */
const MAX_GROWTH = 2 ** 40;

/** Exponentially decaying counts of the experts that a group's requests select. */
export class DemandTracker {
  /** Weights at `startedAt`; later selections are multiplied by the growth since then instead of decaying all weights. */
  private readonly weights: Float64Array;
  private scaledTotal = 0;
  private growth = 1;

  constructor(
    private readonly layers: number,
    private readonly expertsPerLayer: number,
    private startedAt: number,
  ) {
    this.weights = new Float64Array(layers * expertsPerLayer);
  }

  /** Number of counts that a rank reports. */
  get length(): number {
    return this.weights.length;
  }

  /** Sum of the decayed weights. */
  get total(): number {
    return this.scaledTotal / this.growth;
  }

  /**
   * Adds the expert selections of one rank.
   *
   * @param selections - Selection counts, flattened by layer and expert
   * @param now - Current time in milliseconds
   */
  addSelections(selections: ArrayLike<number>, now: number): void {
    this.growth = Math.max(this.growth, 2 ** ((now - this.startedAt) / HALF_LIFE_MS));
    if (this.growth > MAX_GROWTH) this.rescale(now);
    let sum = 0;
    for (let index = 0; index < this.weights.length; index += 1) {
      const count = selections[index] ?? 0;
      if (count === 0) continue;
      this.weights[index] = (this.weights[index] ?? 0) + count * this.growth;
      sum += count;
    }
    this.scaledTotal += sum * this.growth;
  }

  /**
   * Returns the current demand.
   *
   * @returns Weights by layer and expert
   */
  getLoad(): GroupLoad {
    const load: number[][] = [];
    for (let layer = 0; layer < this.layers; layer += 1) {
      const start = layer * this.expertsPerLayer;
      const weights = this.weights.subarray(start, start + this.expertsPerLayer);
      load.push(Array.from(weights, (weight) => weight / this.growth));
    }
    return load;
  }

  private rescale(now: number): void {
    for (const [index, weight] of this.weights.entries())
      this.weights[index] = weight / this.growth;
    this.scaledTotal /= this.growth;
    this.growth = 1;
    this.startedAt = now;
  }
}
