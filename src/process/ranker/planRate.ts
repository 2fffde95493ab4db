/** Share of the time that the coordinator spends on planning; its orders and reports wait behind a plan. */
const MAX_PLANNING_SHARE = 0.1;
/** Share after the demand has shifted, when passes take longer until there is another plan. */
const MAX_SHIFTED_SHARE = 0.4;
/** The demand has shifted when the skew exceeds the one after the last plan by this factor. */
const SHIFT_FACTOR = 1.25;

/** Limits how often plans are made by the time that they take, which grows with the group. */
export class PlanRate {
  private startedAt = -Infinity;
  private durationMs = 0;
  private expectedSkew = Infinity;

  /**
   * Checks whether a plan may be made.
   *
   * @param now - Current time in milliseconds
   * @param computeSkew - Computes the present skew; only called when it decides
   * @returns True when the share of planning permits it
   */
  isDue(now: number, computeSkew: () => number): boolean {
    if (now >= this.startedAt + this.durationMs / MAX_PLANNING_SHARE) return true;
    if (now < this.startedAt + this.durationMs / MAX_SHIFTED_SHARE) return false;
    return computeSkew() > this.expectedSkew * SHIFT_FACTOR;
  }

  /**
   * Records a plan.
   *
   * @param startedAt - Start in milliseconds
   * @param endedAt - End in milliseconds
   * @param expectedSkew - Skew that the plan leaves
   */
  recordPlan(startedAt: number, endedAt: number, expectedSkew: number): void {
    this.startedAt = startedAt;
    this.durationMs = endedAt - startedAt;
    this.expectedSkew = expectedSkew;
  }
}
