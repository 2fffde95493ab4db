/** Runs whose durations are kept. */
const MAX_RUNS = 32;
/** Work that must not be cut needs this multiple of the longest recent run. */
const LONGEST_RUN_FACTOR = 2;
/** Share of the drain in which such work is begun while no run has been measured. */
const UNMEASURED_SHARE = 0.5;

/** Decides whether work can still end before the limit of a drain. */
export class DrainWindow {
  private endsAt = Number.POSITIVE_INFINITY;
  private limitMs = 0;
  private readonly durations: number[] = [];

  /**
   * Starts the drain.
   *
   * @param limitMs - Longest duration of the drain
   * @param now - Current time in milliseconds
   */
  begin(limitMs: number, now: number): void {
    this.limitMs = limitMs;
    this.endsAt = now + limitMs;
  }

  /**
   * Records a run that cannot be resumed.
   *
   * @param durationMs - Time at the upstream
   */
  recordRun(durationMs: number): void {
    this.durations.push(durationMs);
    if (this.durations.length > MAX_RUNS) this.durations.shift();
  }

  /**
   * Checks whether work that takes a known time ends before the limit.
   *
   * @param neededMs - Shortest duration of the work
   * @param now - Current time in milliseconds
   * @returns True if it does, or if no drain has begun
   */
  hasTimeFor(neededMs: number, now: number): boolean {
    return now + neededMs < this.endsAt;
  }

  /**
   * Checks whether work that cannot be resumed, and whose duration is not known, is sure enough to end before the limit.
   *
   * @param now - Current time in milliseconds
   * @returns True if it is, or if no drain has begun
   */
  hasTimeForRun(now: number): boolean {
    const neededMs =
      this.durations.length === 0
        ? this.limitMs * UNMEASURED_SHARE
        : LONGEST_RUN_FACTOR * Math.max(...this.durations);
    return this.hasTimeFor(neededMs, now);
  }
}
