/** Minimum gap between two ticks that counts as a pause by default; shorter gaps occur under normal load. */
const MIN_PAUSE_MS = 1_000;
/** Time after a pause within which data that was buffered in sockets is read. */
const BACKLOG_READ_MS = 1_000;

/** Longest interval at which `recordTick` must be called with the default. */
export const PAUSE_TICK_INTERVAL_MS = 250;

/**
 * Detects pauses of the process, for example by SIGSTOP. A request that is read right after a pause
 * may have been buffered in the kernel since the start of the pause. Its deadline, received as
 * remaining time, is then too long by up to the duration of the pause.
 */
export class PauseDetector {
  private lastTickAt: number;
  private pausedSince = 0;
  private resumedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param now - Current time in milliseconds
   * @param minPauseMs - Shortest gap between two ticks that counts as a pause
   */
  constructor(
    now: number,
    private readonly minPauseMs = MIN_PAUSE_MS,
  ) {
    this.lastTickAt = now;
  }

  /**
   * Records that the process is running.
   *
   * @param now - Current time in milliseconds
   */
  recordTick(now: number): void {
    this.checkForPause(now);
    this.lastTickAt = now;
  }

  /**
   * Computes the earliest possible arrival time of data that is read now.
   *
   * @param now - Current time in milliseconds
   * @returns `now`, or the start of a pause that ended less than `BACKLOG_READ_MS` ago
   */
  computeEarliestArrival(now: number): number {
    // Sockets can be read before the timer of the first tick after the pause has run.
    this.checkForPause(now);
    return now - this.resumedAt < BACKLOG_READ_MS ? this.pausedSince : now;
  }

  /**
   * Checks for a pause that may have delayed what is read now.
   *
   * @param now - Current time in milliseconds
   * @returns True until `BACKLOG_READ_MS` after a pause
   */
  hasPaused(now: number): boolean {
    return this.computeEarliestArrival(now) < now;
  }

  /**
   * Checks for a pause since a time.
   *
   * @param since - Start of the period, in milliseconds
   * @param now - Current time in milliseconds
   */
  hasPausedSince(since: number, now: number): boolean {
    this.checkForPause(now);
    return this.resumedAt > since;
  }

  /**
   * Computes since when the process has been running without a pause.
   *
   * @param now - Current time in milliseconds
   * @returns End of the last pause, `-Infinity` without one
   */
  computeRunningSince(now: number): number {
    this.checkForPause(now);
    return this.resumedAt;
  }

  private checkForPause(now: number): void {
    if (now - this.lastTickAt < this.minPauseMs) return;
    this.pausedSince = this.lastTickAt;
    this.resumedAt = now;
    this.lastTickAt = now;
  }
}
