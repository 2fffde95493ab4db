/**
 * Forward jump of the wall clock relative to the monotonic clock that counts as a suspend. Timer jitter and clock
 * slewing stay far below it.
 */
const SUSPEND_JUMP_MS = 100;

/**
 * A monotonic clock that includes the time during which the host was suspended.
 *
 * The monotonic clock stops during a suspend; the wall clock does not. A forward step of the wall clock looks the same
 * and is counted too: cached data then appears older than it is, which is safe.
 */
export class SuspendClock {
  private lastOffset: number;
  private suspendedMs = 0;

  constructor(monotonicNow: number, wallNow: number) {
    this.lastOffset = wallNow - monotonicNow;
  }

  /**
   * Reads the clock.
   *
   * @param monotonicNow - Monotonic clock, milliseconds
   * @param wallNow - Wall clock, milliseconds
   * @returns Monotonic time plus all time suspended, milliseconds
   */
  readNow(monotonicNow: number, wallNow: number): number {
    const offset = wallNow - monotonicNow;
    const jump = offset - this.lastOffset;
    this.lastOffset = offset;
    if (jump > SUSPEND_JUMP_MS) this.suspendedMs += jump;
    return monotonicNow + this.suspendedMs;
  }
}
