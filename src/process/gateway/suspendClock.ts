/**
 * A forward jump of the time of day against the steady clock that counts as a suspend. Timers and clock slewing stay
 * far below it.
 */
const SUSPEND_JUMP_MS = 100;

/**
 * A clock that also counts the time in which the host was suspended.
 *
 * The steady clock stands still during a suspend, the time of day does not. A forward step of the time of day looks
 * the same and is counted too: proofs then look older than they are, which is safe.
 */
export class SuspendClock {
  private lastOffset: number;
  private suspendedMs = 0;

  constructor(steadyNow: number, wallNow: number) {
    this.lastOffset = wallNow - steadyNow;
  }

  /**
   * Reads the clock.
   *
   * @param steadyNow - Steady clock in milliseconds
   * @param wallNow - Time of day in milliseconds
   * @returns Milliseconds on the steady clock plus all time suspended
   */
  readNow(steadyNow: number, wallNow: number): number {
    const offset = wallNow - steadyNow;
    const jump = offset - this.lastOffset;
    this.lastOffset = offset;
    if (jump > SUSPEND_JUMP_MS) this.suspendedMs += jump;
    return steadyNow + this.suspendedMs;
  }
}
