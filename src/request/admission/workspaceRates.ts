import type { WorkspaceId } from '../../ids.js';
import { DecayingCount } from './decayingCount.js';

/** Follows a burst within a second, and a low rate over several arrivals. */
const TIME_CONSTANT_MS = 1_500;
/** Workspaces with a lower count are forgotten, so that a few arrivals long ago take no share from the others. */
const MIN_COUNT = 0.1;
const CHECK_INTERVAL_MS = 500;
/** Standard deviations by which random arrivals at a constant rate stay within their expected number. */
const DEVIATIONS = 2;

/** Arrivals of the requests of a service at this gateway, by workspace. */
export class WorkspaceRates {
  private readonly arrivals = new Map<WorkspaceId | undefined, DecayingCount>();
  private checkedAt = -Infinity;

  /**
   * Records a request.
   *
   * @param workspace - Its workspace; undefined for routes without a key
   * @param now - Current time in milliseconds
   */
  recordArrival(workspace: WorkspaceId | undefined, now: number): void {
    if (now - this.checkedAt >= CHECK_INTERVAL_MS) this.removeIdle(now);
    let count = this.arrivals.get(workspace);
    if (count === undefined) {
      count = new DecayingCount(TIME_CONSTANT_MS);
      this.arrivals.set(workspace, count);
    }
    count.add(now);
  }

  /**
   * Checks whether a workspace sends no more than its share.
   *
   * @param workspace - Workspace
   * @param releasesPerMs - Requests that end per millisecond while all places are taken
   * @param now - Current time in milliseconds
   * @returns True if each of the active workspaces could send as much; a single one has no share of its own
   */
  isWithinShare(workspace: WorkspaceId | undefined, releasesPerMs: number, now: number): boolean {
    if (workspace === undefined || this.arrivals.size < 2) return false;
    const expected = (Math.max(0, releasesPerMs) * TIME_CONSTANT_MS) / this.arrivals.size;
    const count = this.arrivals.get(workspace)?.get(now) ?? 0;
    return count <= expected + DEVIATIONS * Math.sqrt(expected);
  }

  /**
   * Computes the releases that the other workspaces leave to one that sends more than its share.
   *
   * @param workspace - Workspace
   * @param releasesPerMs - Requests that end per millisecond while all places are taken
   * @param now - Current time in milliseconds
   * @returns Releases per millisecond, at least its share
   */
  computeLeft(workspace: WorkspaceId | undefined, releasesPerMs: number, now: number): number {
    if (workspace === undefined || this.arrivals.size < 2) return releasesPerMs;
    const share = releasesPerMs / this.arrivals.size;
    let left = releasesPerMs;
    for (const [other, count] of this.arrivals)
      if (other !== workspace) left -= Math.min(share, count.getRate(now));
    return Math.max(left, share);
  }

  private removeIdle(now: number): void {
    this.checkedAt = now;
    for (const [workspace, count] of this.arrivals)
      if (count.get(now) < MIN_COUNT) this.arrivals.delete(workspace);
  }
}
