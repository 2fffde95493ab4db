/** Follows since when a queue stands. */
export class QueueAge {
  private standingSince: number | undefined;

  /**
   * Records an arrival. A queue that is empty for a moment while more requests arrive than can be served still stands.
   *
   * @param isDraining - Whether no request waits, and fewer arrive than can be served
   * @param now - Current time in milliseconds
   */
  recordArrival(isDraining: boolean, now: number): void {
    if (isDraining) this.standingSince = now;
  }

  /**
   * Returns for how long requests had waited without a break.
   *
   * @param at - Time in milliseconds
   * @returns Milliseconds, 0 before the first arrival
   */
  getStandingMs(at: number): number {
    return this.standingSince === undefined ? 0 : Math.max(0, at - this.standingSince);
  }
}
