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
    | {
        readonly epoch: number;
        readonly pass: number;
        readonly seenAt: number;
        /** The pass began up to this long before it was seen. */
        readonly uncertaintyMs: number;
      }
    | undefined;
  private observedAt = -Infinity;
  private isIdle = false;

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
      const uncertaintyMs = Math.min(now - this.observedAt, this.passMs ?? 0);
      this.latest = { epoch, pass, seenAt: now, uncertaintyMs };
    }
    this.observedAt = now;
    this.isIdle = report.running === 0;
    const isHeld = report.held !== undefined && report.held <= pass + 1;
    if (this.sampled === undefined || this.isIdle || isHeld) {
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
   * @returns Time in milliseconds, undefined while the group is idle and until passes have been measured
   */
  estimateStart(pass: number): number | undefined {
    if (this.isIdle || this.latest === undefined || this.passMs === undefined) return undefined;
    return this.latest.seenAt + (pass - this.latest.pass) * this.passMs;
  }

  /**
   * Estimates the first pass that does not begin before a given time.
   *
   * @param at - Time in milliseconds
   * @param now - Current time in milliseconds
   * @returns Pass number, undefined until passes have been measured
   */
  estimateFirstPass(at: number, now: number): number | undefined {
    if (this.latest === undefined || this.passMs === undefined) return undefined;
    const { pass, seenAt, uncertaintyMs } = this.latest;
    // A pass that is later than expected begins now at the earliest.
    const nextAt = Math.max(seenAt - uncertaintyMs + this.passMs, now);
    return pass + 1 + Math.max(0, Math.ceil((at - nextAt) / this.passMs));
  }
}
