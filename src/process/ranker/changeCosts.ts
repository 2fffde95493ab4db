import type { ExpertParameters } from '../../version/routing/types.js';

const BITS_PER_BYTE = 8;
const MS_PER_SECOND = 1_000;
/** Assumed before the first change; orders, the pass in progress and the report of the last copy take about this long. */
const INITIAL_OVERHEAD_MS = 100;
/** Weight of the latest change; a single slow order should not change the plans. */
const LATEST_WEIGHT = 0.3;

/**
 * Computes how long a rank needs to copy one expert.
 *
 * @param experts - Size of an expert and rate of the transfer
 * @returns Milliseconds; 0 if the configuration states no rate
 */
export function computeCopyMs(
  experts: Pick<ExpertParameters, 'expertMegabytes' | 'transferMegabitsPerSecond'>,
): number {
  const { expertMegabytes, transferMegabitsPerSecond } = experts;
  if (transferMegabitsPerSecond <= 0) return 0;
  return (expertMegabytes * BITS_PER_BYTE * MS_PER_SECOND) / transferMegabitsPerSecond;
}

/** Moving averages of what changes cost apart from their copies. */
export class ChangeOverhead {
  /** Time from the plan to the switch without the copies, in milliseconds. */
  averageMs = INITIAL_OVERHEAD_MS;
  /** Time for which the group stood still at the switch, in milliseconds. */
  averageStopMs = 0;

  /**
   * Records a change that all ranks have made.
   *
   * @param change - Time from the plan to the switch, time of the copies of the rank that made the most, and time for
   * which the group waited before the held pass, negative if it did not wait
   */
  recordChange(change: { tookMs: number; copyMs: number; waitedMs: number }): void {
    const overheadMs = Math.max(0, change.tookMs - change.copyMs);
    const stopMs = Math.max(0, change.waitedMs);
    this.averageMs += LATEST_WEIGHT * (overheadMs - this.averageMs);
    this.averageStopMs += LATEST_WEIGHT * (stopMs - this.averageStopMs);
  }
}
