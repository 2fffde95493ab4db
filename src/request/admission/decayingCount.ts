/** Count of events in which older ones weigh less and less, so that it follows a rate without storing the events. */
export class DecayingCount {
  private value = 0;
  private updatedAt = -Infinity;

  /**
   * @param timeConstantMs - Time after which an event counts for 1/e
   */
  constructor(private readonly timeConstantMs: number) {}

  /**
   * Adds an event.
   *
   * @param now - Current time in milliseconds
   */
  add(now: number): void {
    this.value = this.get(now) + 1;
    this.updatedAt = now;
  }

  /**
   * Returns the present count.
   *
   * @param now - Current time in milliseconds
   * @returns Weighted events; divided by the time constant, their rate
   */
  get(now: number): number {
    if (this.value === 0) return 0;
    return this.value * Math.exp(-Math.max(0, now - this.updatedAt) / this.timeConstantMs);
  }

  /**
   * Estimates the rate of the events.
   *
   * @param now - Current time in milliseconds
   * @returns Events per millisecond
   */
  getRate(now: number): number {
    return this.get(now) / this.timeConstantMs;
  }
}
