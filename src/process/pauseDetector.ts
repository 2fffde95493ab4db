/** Minimum gap between two ticks that counts as a pause by default; shorter gaps occur under normal load. */
const MIN_PAUSE_MS = 1_000;
/** Time after a pause within which data that was buffered in sockets is read. */
const BACKLOG_READ_MS = 1_000;

/** Longest interval at which `recordTick` must be called with the default. */
export const PAUSE_TICK_INTERVAL_MS = 250;

interface Pause {
  readonly since: number;
  /** Read time after which what was buffered during the pause has been read. */
  readonly readUntil: number;
}

/**
 * Detects pauses of the process, for example by SIGSTOP. A request that is read right after a pause
 * may have been buffered in the kernel since the start of the pause. Its deadline, received as
 * remaining time, is then too long by up to the duration of the pause.
 */
export class PauseDetector {
  private lastTickAt: number;
  /** Pauses during which unread data may have been buffered, oldest first. */
  private readonly unread: Pause[] = [];
  /** Time that pauses did not leave for reading. */
  private lostMs = 0;
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
   * @returns `now`, or the start of the earliest pause since which less than `BACKLOG_READ_MS` were left for reading
   */
  computeEarliestArrival(now: number): number {
    // Sockets can be read before the timer of the first tick after the pause has run.
    this.checkForPause(now);
    return this.unread[0]?.since ?? now;
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
    const gapMs = now - this.lastTickAt;
    if (gapMs >= this.minPauseMs) {
      // A process often halts again right after a pause, before its sockets are read. It reads them at least once between
      // two ticks, so a pause counts as one tick interval of reading, which also bounds the number of pauses kept.
      this.lostMs += Math.max(0, gapMs - PAUSE_TICK_INTERVAL_MS);
      this.unread.push({ since: this.lastTickAt, readUntil: now - this.lostMs + BACKLOG_READ_MS });
      this.resumedAt = now;
      this.lastTickAt = now;
    }
    const readTime = now - this.lostMs;
    while (this.unread[0] !== undefined && this.unread[0].readUntil <= readTime) {
      this.unread.shift();
    }
  }
}
