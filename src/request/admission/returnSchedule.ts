/** Share of the time between two returns by which each is shifted at random. */
const JITTER = 0.5;

/** What bounds the return of a refused caller, in milliseconds from now. */
export interface ReturnWindow {
  /** Time until room is expected. */
  readonly earliestMs: number;
  /** Longest time that the caller is asked to wait. */
  readonly latestMs: number;
  /** Expected time between two requests that find room. */
  readonly intervalMs: number;
}

/**
 * Return times of refused callers, so that those who are refused together return one after the other, at the rate at which
 * room is released.
 */
export class ReturnSchedule {
  private nextAt = -Infinity;

  /**
   * Assigns the time after which a refused caller returns.
   *
   * @param window - Bounds of the return
   * @param now - Current time in milliseconds
   * @returns Milliseconds from now
   */
  assignReturn({ earliestMs, latestMs, intervalMs }: ReturnWindow, now: number): number {
    const firstMs = Math.min(earliestMs, latestMs);
    const slotMs = Math.max(this.nextAt - now, firstMs);
    // When all times of the window are assigned, more callers are spread evenly over it.
    if (slotMs > latestMs) return firstMs + Math.random() * (latestMs - firstMs);
    this.nextAt = now + slotMs + intervalMs;
    return Math.min(latestMs, slotMs + Math.random() * JITTER * intervalMs);
  }
}
