import type { RankReport } from './types.js';

/** Shorter intervals between two reports give too coarse an estimate of the time of a pass. */
const MIN_SAMPLE_MS = 200;
/** Weight of the latest sample. */
const SAMPLE_WEIGHT = 0.4;

/** Estimates when the passes of a group begin, from the reports of one of its ranks. */
export class PassClock {
  /** Mean time of a pass in milliseconds; undefined until measured. */
  passMs: number | undefined;
  private sampled: { readonly pass: number; readonly at: number } | undefined;
  private latest:
    { readonly epoch: number; readonly pass: number; readonly seenAt: number } | undefined;

  /**
   * Evaluates a report.
   *
   * @param report - Report of the local rank
   * @param now - Current time in milliseconds
   */
  observe(report: RankReport, now: number): void {
    const { epoch, pass } = report;
    if (this.latest?.epoch !== epoch) this.sampled = undefined;
    if (this.latest?.epoch !== epoch || pass > this.latest.pass) {
      this.latest = { epoch, pass, seenAt: now };
    }
    const isIdle = report.running === 0;
    const isHeld = report.held !== undefined && report.held <= pass + 1;
    if (this.sampled === undefined || isIdle || isHeld) {
      this.sampled = { pass, at: now };
      return;
    }
    const passes = pass - this.sampled.pass;
    const elapsedMs = now - this.sampled.at;
    if (passes < 1 || elapsedMs < MIN_SAMPLE_MS) return;
    const sampleMs = elapsedMs / passes;
    this.passMs =
      this.passMs === undefined ? sampleMs : this.passMs + (sampleMs - this.passMs) * SAMPLE_WEIGHT;
    this.sampled = { pass, at: now };
  }

  /**
   * Estimates when a pass begins.
   *
   * @param pass - Pass number
   * @returns Time in milliseconds, undefined until passes have been measured
   */
  estimateStart(pass: number): number | undefined {
    if (this.latest === undefined || this.passMs === undefined) return undefined;
    return this.latest.seenAt + (pass - this.latest.pass) * this.passMs;
  }
}
