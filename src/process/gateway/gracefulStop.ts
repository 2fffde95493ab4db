export interface StopTimes {
  /** Time between the start of the stop and the end of all requests. */
  readonly limitMs: number;
  /** Time for which the load balancer still opens connections to a process that is not ready; cut to the limit. */
  readonly listeningMs: number;
}

/**
 * Times of the graceful stop of a process.
 *
 * New work is judged by a clock that includes suspends of the host, and the end of the stop by one that does not: a step
 * of the wall clock looks like a suspend, and must not cut what has begun.
 */
export class GracefulStop {
  private startedAt: number | undefined;
  private startedMonotonicAt: number | undefined;
  private earliestStartAt = Infinity;
  /** Time between the start of the stop and the end of all requests. */
  readonly limitMs: number;
  private readonly listeningMs: number;

  constructor({ limitMs, listeningMs }: StopTimes) {
    this.limitMs = Math.max(0, limitMs);
    this.listeningMs = Math.min(listeningMs, this.limitMs);
  }

  /** Whether the process is stopping. */
  get isDraining(): boolean {
    return this.startedAt !== undefined;
  }

  /**
   * Starts the stop; later calls change nothing.
   *
   * @param now - Current time in milliseconds, with suspends of the host
   * @param monotonicNow - Current time in milliseconds, without suspends of the host
   * @param earliestStartAt - When the signal may have been sent, earlier than `now` if the process was paused
   */
  begin(now: number, monotonicNow: number, earliestStartAt = now): void {
    if (this.startedAt !== undefined) return;
    this.startedAt = now;
    this.startedMonotonicAt = monotonicNow;
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
    return this.earliestStartAt + this.limitMs - now;
  }

  /**
   * Computes the time until the listener closes, as the load balancer may still open connections to this process.
   *
   * @param monotonicNow - Current time in milliseconds, without suspends of the host
   * @returns Milliseconds, 0 once it is closed, `Infinity` unless the process is stopping
   */
  computeListeningMs(monotonicNow: number): number {
    if (this.startedMonotonicAt === undefined) return Infinity;
    return Math.max(0, this.startedMonotonicAt + this.listeningMs - monotonicNow);
  }

  /**
   * Computes the time for which a refused caller would probably come back to this process. A load balancer whose checks
   * were not answered during a pause has stopped to send callers here.
   *
   * @param now - Current time in milliseconds
   * @returns Milliseconds, `Infinity` unless the process is stopping
   */
  computeReturningMs(now: number): number {
    return Math.max(0, this.earliestStartAt + this.listeningMs - now);
  }

  /**
   * Checks whether all requests must end.
   *
   * After a pause the limit counts from the end of the pause here: a process that is killed earlier loses no more than
   * one that ends its requests before.
   *
   * @param monotonicNow - Current time in milliseconds, without suspends of the host
   */
  isOver(monotonicNow: number): boolean {
    const { startedMonotonicAt } = this;
    return startedMonotonicAt !== undefined && monotonicNow >= startedMonotonicAt + this.limitMs;
  }
}
