/** Share of the time that the coordinator spends on planning; its orders and reports wait behind a plan. */
const MAX_PLANNING_SHARE = 0.1;
/** Share after the demand has shifted, or while the group is far from balanced: passes take longer until the next plan. */
const MAX_SHIFTED_SHARE = 0.4;
/** The demand has shifted when the skew exceeds the one after the last plan by this factor. */
const SHIFT_FACTOR = 1.25;
/** Passes take about half as long again as those of a balanced group. */
const UNBALANCED_SKEW = 1.6;

/** Limits how often plans are made by the time that they take, which grows with the group. */
export class PlanRate {
  private startedAt = -Infinity;
  private durationMs = 0;
  private expectedSkew = Infinity;
  private hasChanged = false;

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
    const skew = computeSkew();
    // A change makes a few copies only, so a group far from balanced gains from the next one as well.
    return skew > this.expectedSkew * SHIFT_FACTOR || (this.hasChanged && skew > UNBALANCED_SKEW);
  }

  /**
   * Records a plan.
   *
   * @param startedAt - Start in milliseconds
   * @param endedAt - End in milliseconds
   * @param expectedSkew - Skew that the plan leaves
   * @param hasChanged - Whether the plan was worth a change
   */
  recordPlan(startedAt: number, endedAt: number, expectedSkew: number, hasChanged = false): void {
    this.hasChanged = hasChanged;
    this.startedAt = startedAt;
    this.durationMs = endedAt - startedAt;
    this.expectedSkew = expectedSkew;
  }
}
