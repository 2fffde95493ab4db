import type { GroupLoad } from './types.js';

/** Exponential smoothing of load samples that arrive at irregular intervals. */
export class LoadSmoother {
  private values: number[][] = [];
  private updatedAt = 0;

  /**
   * @param timeConstantMs - Age at which a sample's weight has fallen to 1/e
   */
  constructor(private readonly timeConstantMs: number) {}

  /**
   * Adds a sample.
   *
   * @param sample - Load by layer and expert since the last sample, as a rate
   * @param now - Current time in milliseconds
   */
  update(sample: GroupLoad, now: number): void {
    const first = this.values.length === 0;
    const decay = first ? 0 : Math.exp(-Math.max(0, now - this.updatedAt) / this.timeConstantMs);
    this.values = sample.map((layer, index) =>
      layer.map(
        (value, expert) => decay * (this.values[index]?.[expert] ?? 0) + (1 - decay) * value,
      ),
    );
    this.updatedAt = now;
  }

  /** Smoothed load by layer and expert. */
  get load(): GroupLoad {
    return this.values;
  }
}
