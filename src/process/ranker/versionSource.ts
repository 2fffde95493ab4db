import type { RankState } from './groupView.js';

/** Versions start at the wall clock in this unit, so that a restarted coordinator does not reuse earlier versions. */
const VERSION_TICK_MS = 1_000;
/**
 * Distance of the first version from the highest reported one. Orders of an earlier coordinator that execute late may name
 * versions that no rank reports yet, with other maps.
 */
const FIRST_VERSION_SKIP = 4_096;

/** Versions of changes are multiples of this; those between them make late orders for a change fail. */
const CHANGE_VERSION_STEP = 2;

/**
 * Checks whether a version was issued for a change, so that ranks may be armed for it.
 *
 * @param version - Version that a rank has prepared
 * @returns False for a version that only replaces that of a change that is undone
 */
export function isChangeVersion(version: number): boolean {
  return version % CHANGE_VERSION_STEP === 0;
}

/**
 * Finds the version that replaces the one of a change that is undone.
 *
 * @param version - Highest version for which an order may be in flight
 * @returns A higher version for which no rank is ever armed
 */
export function getReplacingVersion(version: number): number {
  return isChangeVersion(version) ? version + 1 : version + CHANGE_VERSION_STEP;
}

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
    if (!isChangeVersion(this.last)) this.last += 1;
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
