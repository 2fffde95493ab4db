/** Times of the graceful stop of a process. */
export class GracefulStop {
  private startedAt: number | undefined;

  /** @param limitMs - Time between the start of the stop and the end of all requests */
  constructor(private readonly limitMs: number) {}

  /** Whether the process is stopping. */
  get isDraining(): boolean {
    return this.startedAt !== undefined;
  }

  /**
   * Starts the stop; later calls change nothing.
   *
   * @param now - Current time in milliseconds
   */
  begin(now: number): void {
    this.startedAt ??= now;
  }

  /**
   * Computes the time since the start of the stop.
   *
   * @param now - Current time in milliseconds
   * @returns Milliseconds, negative for an earlier time; undefined unless the process is stopping
   */
  computeElapsedMs(now: number): number | undefined {
    return this.startedAt === undefined ? undefined : now - this.startedAt;
  }

  /**
   * Computes the time that requests still have.
   *
   * @param now - Current time in milliseconds
   * @returns Milliseconds, `Infinity` unless the process is stopping
   */
  computeRemainingMs(now: number): number {
    return this.startedAt === undefined ? Infinity : this.startedAt + this.limitMs - now;
  }
}
