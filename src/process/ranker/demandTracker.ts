import type { GroupLoad } from '../../version/placement/types.js';

/** Half-life of the weight of an expert selection; demand shifts every 3 to 4 s. */
const HALF_LIFE_MS = 250;

/** Exponentially decaying counts of the experts that a group's requests select. */
export class DemandTracker {
  private readonly weights: Float64Array;
  private decayedAt: number;
  /** Sum of the decayed weights. */
  total = 0;

  constructor(
    private readonly layers: number,
    private readonly expertsPerLayer: number,
    now: number,
  ) {
    this.weights = new Float64Array(layers * expertsPerLayer);
    this.decayedAt = now;
  }

  /**
   * Adds the expert selections of one rank.
   *
   * @param choices - Selection counts, flattened by layer and expert
   * @param now - Current time in milliseconds
   */
  addSelections(choices: readonly number[], now: number): void {
    const factor = 0.5 ** ((now - this.decayedAt) / HALF_LIFE_MS);
    this.decayedAt = now;
    let total = 0;
    for (let index = 0; index < this.weights.length; index += 1) {
      const weight = (this.weights[index] ?? 0) * factor + (choices[index] ?? 0);
      this.weights[index] = weight;
      total += weight;
    }
    this.total = total;
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
      load.push([...this.weights.subarray(start, start + this.expertsPerLayer)]);
    }
    return load;
  }
}
