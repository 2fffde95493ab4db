import type { PackedSelections } from './selectionCodec.js';
import { packSelections } from './selectionCodec.js';
import type { RankEngine, RankReport, SelectionCounts } from './types.js';

/** Minimum interval of selection count reads: short against the time between shifts of demand, as each read takes time. */
const MIN_INTERVAL_MS = 140;
/** Upper bound on the selection counts that a coordinator receives, in bits per ms; the slowest known links have 5,600. */
const MAX_BITS_PER_MS = 800;
/** Message fields, frame and packet headers of one report. */
const OVERHEAD_BYTES = 120;
const BITS_PER_BYTE = 8;

/**
 * Computes the interval at which each rank reports its selections, so that the reports of all ranks take a bounded part
 * of the coordinator's link.
 *
 * @param ranks - Size of the group
 * @param countBytes - Bytes of the packed counts
 * @returns Interval in milliseconds
 */
export function computeSelectionInterval(ranks: number, countBytes: number): number {
  const bits = ranks * (countBytes + OVERHEAD_BYTES) * BITS_PER_BYTE;
  return Math.max(MIN_INTERVAL_MS, bits / MAX_BITS_PER_MS);
}

/** Reads the selection counts of the local rank, and collects what has not been reported yet. */
export class SelectionReporter {
  private last: SelectionCounts | undefined;
  private pending = new Float64Array(0);
  private reportedAt = -Infinity;

  constructor(private readonly engine: Pick<RankEngine, 'readSelectionCounts'>) {}

  /**
   * Computes when the next report is due.
   *
   * @param ranks - Size of the group
   * @returns Time in milliseconds
   */
  computeNextAt(ranks: number): number {
    return this.reportedAt + computeSelectionInterval(ranks, Math.ceil(this.pending.length / 2));
  }

  /**
   * Reads the counts and packs the selections since the last report. Counts restart from zero when the rank restarts.
   *
   * @param report - Latest report of the rank
   * @param now - Current time in milliseconds
   * @returns Packed selections, or undefined if there are none
   */
  async readPacked(report: RankReport, now: number): Promise<PackedSelections | undefined> {
    this.reportedAt = now;
    const read = await this.engine.readSelectionCounts();
    if (read.isErr()) return undefined;
    const before = this.last;
    this.last = read.value;
    const { epoch, counts } = read.value;
    if (before?.epoch !== report.epoch || epoch !== report.epoch) {
      this.pending = new Float64Array(counts.length);
      return undefined;
    }
    let sum = 0;
    for (const [index, value] of counts.entries()) {
      const difference = value - (before.counts[index] ?? 0);
      if (difference < 0) {
        this.pending = new Float64Array(counts.length);
        return undefined;
      }
      sum += difference;
      this.pending[index] = (this.pending[index] ?? 0) + difference;
    }
    return sum === 0 ? undefined : packSelections(this.pending);
  }
}
