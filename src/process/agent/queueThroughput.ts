const MEASUREMENT_WINDOW_MS = 1_000;
const SMOOTHING = 0.3;
const MS_PER_SECOND = 1_000;

/** Measures the throughput of the upstream under backlog, in work units per second. */
export class QueueThroughput {
  private done = 0;
  private windowStartedAt = 0;
  private backlogged = false;
  private measured: number | undefined;

  /**
   * @param getNominalThroughput - Throughput assumed until one has been measured; 0 when unknown
   */
  constructor(private readonly getNominalThroughput: () => number) {}

  /** Measured or nominal throughput; `Infinity` when neither is known. */
  get perSecond(): number {
    if (this.measured !== undefined) return this.measured;
    const nominal = this.getNominalThroughput();
    return nominal > 0 ? nominal : Number.POSITIVE_INFINITY;
  }

  /**
   * Adds completed work.
   *
   * @param work - Work units
   */
  add(work: number): void {
    this.done += Math.max(0, work);
  }

  /**
   * Closes the measurement window when it is due. Only windows with a continuous backlog show the full throughput.
   *
   * @param backlogged - Whether work is queued
   * @param now - Current time in milliseconds
   */
  update(backlogged: boolean, now: number): void {
    if (!backlogged) this.backlogged = false;
    if (now - this.windowStartedAt < MEASUREMENT_WINDOW_MS) return;
    // Work is counted on completion, so the window stays open until some work has completed.
    if (this.backlogged && this.done === 0) return;
    const measured = (this.done * MS_PER_SECOND) / (now - this.windowStartedAt);
    if (this.backlogged) {
      const previous = this.measured ?? measured;
      this.measured = previous + SMOOTHING * (measured - previous);
    }
    this.done = 0;
    this.windowStartedAt = now;
    this.backlogged = backlogged;
  }

  /**
   * Estimates the time to complete an amount of work.
   *
   * @param work - Work units
   * @returns Milliseconds
   */
  estimateMs(work: number): number {
    return work === 0 ? 0 : (work * MS_PER_SECOND) / this.perSecond;
  }
}
