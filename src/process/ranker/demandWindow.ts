import type { GroupLoad } from '../../version/placement/types.js';

/** Half of the weight of a choice is gone after this time; demand turns every 3 to 4 s. */
const HALF_LIFE_MS = 250;

/** Which experts a group's requests have chosen lately. */
export class DemandWindow {
  private readonly weights: Float64Array;
  private decayedAt: number;
  /** Choices that the window holds, aged. */
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
   * Adds the choices of one rank.
   *
   * @param choices - One layer after the other, by expert
   * @param now - Milliseconds
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
   * Reads the demand.
   *
   * @returns Weights by layer and expert
   */
  readLoad(): GroupLoad {
    const load: number[][] = [];
    for (let layer = 0; layer < this.layers; layer += 1) {
      const start = layer * this.expertsPerLayer;
      load.push([...this.weights.subarray(start, start + this.expertsPerLayer)]);
    }
    return load;
  }
}
