import type { RankState } from './groupView.js';

/** Versions start at the wall clock in this unit, so that a restarted coordinator does not reuse earlier versions. */
const VERSION_TICK_MS = 1_000;
/**
 * Distance of the first version from the highest reported one. Orders of an earlier coordinator that execute late may name
 * versions that no rank reports yet, with other maps.
 */
const FIRST_VERSION_SKIP = 4_096;

/** Issues versions above all that any rank has reported. */
export class VersionSource {
  private last: number;
  private isFirst = true;

  /** @param wallNow - Current Unix time in milliseconds */
  constructor(wallNow: number) {
    this.last = Math.floor(wallNow / VERSION_TICK_MS);
  }

  /**
   * Issues a version.
   *
   * @param states - All ranks
   * @returns Version that no order has named
   */
  issue(states: readonly Pick<RankState, 'report'>[]): number {
    for (const { report } of states)
      this.last = Math.max(this.last, report.map, report.prepared ?? 0);
    this.last += this.isFirst ? FIRST_VERSION_SKIP : 1;
    this.isFirst = false;
    return this.last;
  }

  /**
   * Leaves out versions.
   *
   * @param count - Number of versions
   */
  advance(count: number): void {
    this.last += count;
  }
}
