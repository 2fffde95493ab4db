import { defaults } from '../../defaults.js';

export interface ProgressOptions {
  /** No progress for this long while work runs counts as a stall. */
  readonly stallAfterMs: number;
}

/** Polling and reporting add up to 200 ms, so that entries learn of a stall within the limit. */
const REPORTING_DELAY_MS = 200;

/**
 * Decides whether the upstream accepts work. A stalled or unreachable upstream returns only on
 * proof of progress: a token, growing step counters, or a completed probe.
 */
export class ProgressMonitor {
  accepting = false;
  /** Since when the upstream has not been accepting; undefined while it accepts. */
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
   * Records proof of progress.
   *
   * @param now - Milliseconds
   */
  recordProgress(now: number): void {
    this.lastProgressAt = now;
    this.accepting = true;
    this.notAcceptingSince = undefined;
  }

  /**
   * Records work counters that the upstream reported.
   *
   * @param load - Running requests and steps
   * @param now - Milliseconds
   */
  recordLoad(load: { running: number; steps: number }, now: number): void {
    // A smaller number means that the upstream restarted; that alone proves no progress.
    if (this.steps >= 0 && load.steps > this.steps) this.recordProgress(now);
    this.steps = load.steps;
    this.reportedRunning = load.running;
  }

  /**
   * Records that the upstream cannot be reached.
   *
   * @param now - Milliseconds
   */
  recordUnavailable(now: number): void {
    this.notAcceptingSince ??= now;
    this.accepting = false;
    this.steps = -1;
    this.reportedRunning = 0;
  }

  /**
   * Updates the verdict.
   *
   * @param running - Streams that the agent has at the upstream
   * @param now - Milliseconds
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
