import { defaults } from '../../defaults.js';

export interface ProgressOptions {
  /** Time without progress, while work runs, after which the upstream counts as stalled. */
  readonly stallAfterMs: number;
}

/** Polling and reporting take up to 200 ms; subtracted so that entries learn of a stall within the limit. */
const REPORTING_DELAY_MS = 200;

/**
 * Decides whether the upstream accepts work. A stalled or unreachable upstream accepts work again only
 * after evidence of progress: a token, a higher step counter, or a successful probe.
 */
export class ProgressMonitor {
  accepting = false;
  /** Time when the upstream stopped accepting work; undefined while it accepts. */
  notAcceptingSince: number | undefined;
  private lastProgressAt = 0;
  private steps = -1;
  private reportedRunning = 0;

  constructor(
    private readonly options: ProgressOptions = {
      stallAfterMs: defaults.stallTimeoutMs - REPORTING_DELAY_MS,
    },
  ) {}

  /**
   * Records evidence of progress.
   *
   * @param now - Current time in milliseconds
   */
  recordProgress(now: number): void {
    this.lastProgressAt = now;
    this.accepting = true;
    this.notAcceptingSince = undefined;
  }

  /**
   * Records the load counters that the upstream reported.
   *
   * @param load - Running requests and steps
   * @param now - Current time in milliseconds
   */
  recordLoad(load: { running: number; steps: number }, now: number): void {
    // A lower counter means that the upstream restarted, which is no evidence of progress.
    if (this.steps >= 0 && load.steps > this.steps) this.recordProgress(now);
    this.steps = load.steps;
    this.reportedRunning = load.running;
  }

  /**
   * Records that the upstream is unreachable or refuses work.
   *
   * @param now - Current time in milliseconds
   */
  recordUnavailable(now: number): void {
    this.notAcceptingSince ??= now;
    this.accepting = false;
    this.steps = -1;
    this.reportedRunning = 0;
  }

  /**
   * Detects stalls and updates whether the upstream accepts work.
   *
   * @param running - Number of streams that the agent runs at the upstream
   * @param now - Current time in milliseconds
   * @returns Whether new work is accepted
   */
  update(running: number, now: number): boolean {
    if (!this.accepting) return false;
    if (running === 0 && this.reportedRunning === 0) this.lastProgressAt = now;
    if (now - this.lastProgressAt < this.options.stallAfterMs) return true;
    this.accepting = false;
    this.notAcceptingSince = now;
    return false;
  }
}
