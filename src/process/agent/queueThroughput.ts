const WINDOW_MS = 1_000;
const SMOOTHING = 0.3;
const MS_PER_SECOND = 1_000;

/** Measures how fast the upstream works through a queue, in work units per second. */
export class QueueThroughput {
  private done = 0;
  private windowStart = 0;
  private backlogged = false;
  private measured: number | undefined;

  /**
   * @param getNominal - Rate assumed until measured; 0 when it is not known
   */
  constructor(private readonly getNominal: () => number) {}

  /** Measured or nominal rate; `Infinity` when nothing is known. */
  get perSecond(): number {
    if (this.measured !== undefined) return this.measured;
    const nominal = this.getNominal();
    return nominal > 0 ? nominal : Number.POSITIVE_INFINITY;
  }

  /**
   * Adds finished work.
   *
   * @param work - Work units
   */
  add(work: number): void {
    this.done += Math.max(0, work);
  }

  /**
   * Closes the measuring window; only windows with a backlog throughout show the full rate.
   *
   * @param backlogged - Whether work is waiting
   * @param now - Milliseconds
   */
  update(backlogged: boolean, now: number): void {
    if (!backlogged) this.backlogged = false;
    if (now - this.windowStart < WINDOW_MS) return;
    // Work counts when it completes, so a window stays open until something has completed.
    if (this.backlogged && this.done === 0) return;
    const measured = (this.done * MS_PER_SECOND) / (now - this.windowStart);
    if (this.backlogged) {
      const previous = this.measured ?? measured;
      this.measured = previous + SMOOTHING * (measured - previous);
    }
    this.done = 0;
    this.windowStart = now;
    this.backlogged = backlogged;
  }

  /**
   * Estimates the time for an amount of work.
   *
   * @param work - Work units
   * @returns Milliseconds
   */
  estimateMs(work: number): number {
    return work === 0 ? 0 : (work * MS_PER_SECOND) / this.perSecond;
  }
}
