import { PassClock } from './passClock.js';
import type { RankReport } from './types.js';
import { isChangeVersion } from './versionSource.js';

/** A group with work that begins no pass for this many usual passes stands still. */
const MIN_MISSED_PASSES = 2;
/** Shorter pauses are ordinary while a pass is held for the last ranks to be armed. */
const MIN_STANDSTILL_MS = 200;
/** Pass time assumed until one has been measured. */
const INITIAL_PASS_MS = 100;
/** Each rank leaves the ones before it this much time to act. */
const DELAY_PER_RANK_MS = 120;

/**
 * Detects from the reports of one rank that its group stands still in the midst of a map change, as when the host of the
 * coordinator has frozen with a pass held. The lowest of the other ranks acts first.
 */
export class StandstillDetector {
  private readonly passClock = new PassClock();
  private since: { readonly epoch: number; readonly pass: number; readonly at: number } | undefined;

  /**
   * Evaluates a report.
   *
   * @param report - Report of the local rank
   * @param now - Current time in milliseconds
   * @returns True when this rank should finish the change
   */
  observe(report: RankReport, now: number): boolean {
    const { epoch, pass, rank } = report;
    this.passClock.observe(report, now);
    const isSame = this.since?.epoch === epoch && this.since.pass === pass;
    if (!isSame || report.running === 0) this.since = { epoch, pass, at: now };
    if (rank === 0 || !report.isOpen || !isChangePending(report)) return false;
    const missedMs = MIN_MISSED_PASSES * (this.passClock.passMs ?? INITIAL_PASS_MS);
    const limitMs = Math.max(MIN_STANDSTILL_MS, missedMs) + (rank - 1) * DELAY_PER_RANK_MS;
    return now - (this.since?.at ?? now) >= limitMs;
  }
}

/**
 * Checks whether a rank has prepared a map that it does not use yet.
 *
 * @param report - Report of the rank
 * @returns True from the last copy to the switch
 */
export function isChangePending({ map, prepared = 0, armed }: RankReport): boolean {
  return armed !== undefined || (prepared > map && isChangeVersion(prepared));
}
