export interface StopTimes {
  /** Time between the start of the stop and the end of all requests. */
  readonly limitMs: number;
  /** Time for which the load balancer still opens connections to a process that is not ready. */
  readonly listeningMs: number;
}

/** Times of the graceful stop of a process. */
export class GracefulStop {
  private startedAt: number | undefined;
  private earliestStartAt = Infinity;

  constructor(private readonly times: StopTimes) {}

  /** Whether the process is stopping. */
  get isDraining(): boolean {
    return this.startedAt !== undefined;
  }

  /**
   * Starts the stop; later calls change nothing.
   *
   * @param now - Current time in milliseconds
   * @param earliestStartAt - When the signal may have been sent, earlier than `now` if the process was paused
   */
  begin(now: number, earliestStartAt = now): void {
    if (this.startedAt !== undefined) return;
    this.startedAt = now;
    this.earliestStartAt = earliestStartAt;
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
   * Computes the time that a request still has which is begun now.
   *
   * @param now - Current time in milliseconds
   * @returns Milliseconds, `Infinity` unless the process is stopping
   */
  computeRemainingMs(now: number): number {
    return this.earliestStartAt + this.times.limitMs - now;
  }

  /**
   * Computes the time for which the load balancer may still open connections to this process.
   *
   * @param now - Current time in milliseconds
   * @returns Milliseconds, 0 once it has stopped to, `Infinity` unless the process is stopping
   */
  computeListeningMs(now: number): number {
    if (this.startedAt === undefined) return Infinity;
    return Math.max(0, this.startedAt + this.times.listeningMs - now);
  }

  /**
   * Checks whether all requests must end.
   *
   * After a pause the limit counts from the end of the pause here: a process that is killed earlier loses no more than
   * one that ends its requests before.
   *
   * @param now - Current time in milliseconds
   */
  isOver(now: number): boolean {
    return this.startedAt !== undefined && now >= this.startedAt + this.times.limitMs;
  }
}
