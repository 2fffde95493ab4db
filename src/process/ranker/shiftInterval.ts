/** Assumed before the first shift has been observed. */
const INITIAL_INTERVAL_MS = 3_000;
/** Shorter distances belong to one shift, which the demand shows over several plans. */
const MIN_INTERVAL_MS = 1_000;
/** A longer time without a shift says no more about the next one than this. */
const MAX_INTERVAL_MS = 20_000;
/** The demand has shifted when the skew exceeds the one that the last plan left by this factor. */
const SHIFT_FACTOR = 1.25;
/** Weight of the latest interval. */
const LATEST_WEIGHT = 0.4;

/** Estimates from the plans of a coordinator for how long the demand for experts stays similar. */
export class ShiftInterval {
  private averageMs = INITIAL_INTERVAL_MS;
  private shiftedAt: number | undefined;
  private expectedSkew: number | undefined;

  /**
   * Records a plan.
   *
   * @param skewBefore - Skew of the present demand under the map in use
   * @param expectedSkew - Skew that the plan leaves
   * @param now - Current time in milliseconds
   */
  recordPlan(skewBefore: number, expectedSkew: number, now: number): void {
    const isShift = skewBefore > (this.expectedSkew ?? Infinity) * SHIFT_FACTOR;
    this.expectedSkew = expectedSkew;
    if (!isShift) return;
    const sinceMs = this.shiftedAt === undefined ? undefined : now - this.shiftedAt;
    if (sinceMs !== undefined && sinceMs < MIN_INTERVAL_MS) return;
    this.shiftedAt = now;
    if (sinceMs === undefined) return;
    const intervalMs = Math.min(sinceMs, MAX_INTERVAL_MS);
    this.averageMs += LATEST_WEIGHT * (intervalMs - this.averageMs);
  }

  /**
   * Estimates how long the present demand lasts.
   *
   * @param now - Current time in milliseconds
   * @returns Milliseconds; the mean interval of the last shifts, or the time since the last one if that is longer
   */
  estimate(now: number): number {
    const sinceMs = this.shiftedAt === undefined ? 0 : now - this.shiftedAt;
    return Math.max(this.averageMs, Math.min(sinceMs, MAX_INTERVAL_MS));
  }
}
