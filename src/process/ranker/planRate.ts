/** Share of the time that the coordinator spends on planning; its orders and reports wait behind a plan. */
const MAX_PLANNING_SHARE = 0.1;

/** Limits how often plans are made by the time that they take, which grows with the group. */
export class PlanRate {
  private nextAt = -Infinity;

  /**
   * Checks whether a plan may be made.
   *
   * @param now - Current time in milliseconds
   * @returns True when the share of planning permits it
   */
  isDue(now: number): boolean {
    return now >= this.nextAt;
  }

  /**
   * Records a plan.
   *
   * @param startedAt - Start in milliseconds
   * @param endedAt - End in milliseconds
   */
  recordPlan(startedAt: number, endedAt: number): void {
    this.nextAt = startedAt + (endedAt - startedAt) / MAX_PLANNING_SHARE;
  }
}
