/** Mean deviations above the mean within which nearly all values are. */
const DEVIATIONS = 2;

/** Moving average of a duration and of its deviation. */
export class MovingEstimate {
  private averageMs: number | undefined;
  private deviationMs = 0;
  private count = 0;

  /**
   * @param smoothingFactor - Least weight of a new value; the first ones weigh alike
   */
  constructor(private readonly smoothingFactor: number) {}

  /** Average in milliseconds; undefined before the first value. */
  get mean(): number | undefined {
    return this.averageMs;
  }

  /** Number of values. */
  get samples(): number {
    return this.count;
  }

  /** Duration that nearly all values do not exceed, in milliseconds; undefined before the first value. */
  get upperBound(): number | undefined {
    return this.averageMs === undefined
      ? undefined
      : this.averageMs + DEVIATIONS * this.deviationMs;
  }

  /** Duration that nearly no value falls below, in milliseconds; undefined before the first value. */
  get lowerBound(): number | undefined {
    return this.averageMs === undefined
      ? undefined
      : Math.max(0, this.averageMs - DEVIATIONS * this.deviationMs);
  }

  /**
   * Records a value.
   *
   * @param durationMs - Milliseconds
   */
  record(durationMs: number): void {
    this.count += 1;
    const weight = Math.max(this.smoothingFactor, 1 / this.count);
    const difference = durationMs - (this.averageMs ?? durationMs);
    this.averageMs = (this.averageMs ?? durationMs) + weight * difference;
    this.deviationMs += weight * (Math.abs(difference) - this.deviationMs);
  }
}
