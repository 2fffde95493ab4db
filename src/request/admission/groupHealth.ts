import type { UpstreamId } from '../../ids.js';

/** A group without an event for this long is stalled; its passes stay well below it while callers' gaps are kept. */
const STALL_TIMEOUT_MS = 360;
/** Time until a failed group is probed, which re-forms some time after its last rank has restarted. */
const INITIAL_BACKOFF_MS = 400;
const MAX_BACKOFF_MS = 1_600;

interface GroupState {
  running: number;
  lastProgressAt: number;
  backoffUntil: number;
  faults: number;
  /** Times of the first and the last fault since the last progress. */
  firstFaultAt: number;
  lastFaultAt: number;
  /** The group stopped making progress without an error, so its ranks still report it open. */
  isStalled: boolean;
}

/**
 * Tracks the health of groups of upstreams.
 *
 * When one rank is lost, all ranks of its group stall and then refuse work. New work is therefore routed to other groups
 * as soon as the group stops making progress, instead of being tried at each of its ranks. An upstream without a group
 * forms a group of its own.
 */
export class GroupHealth {
  private readonly groupOf = new Map<UpstreamId, string>();
  private readonly states = new Map<string, GroupState>();

  /**
   * Sets the group of an upstream.
   *
   * @param upstream - Upstream id
   * @param group - Name of its group, undefined for an upstream without one
   */
  setGroup(upstream: UpstreamId, group: string | undefined): void {
    if (group === undefined) this.groupOf.delete(upstream);
    else this.groupOf.set(upstream, group);
  }

  /**
   * Finds the group of an upstream.
   *
   * @param upstream - Upstream id
   * @returns Name of its group, undefined if it is not known to have one
   */
  findGroup(upstream: UpstreamId): string | undefined {
    return this.groupOf.get(upstream);
  }

  /**
   * Records the start of a request.
   *
   * @param upstream - Upstream id
   * @param now - Current time in milliseconds
   * @returns Records the end of the request, whatever its outcome
   */
  recordStart(upstream: UpstreamId, now: number): (endedAt: number) => void {
    // The group may become known while the request is in flight; its end must update the state that counted its start.
    const state = this.getState(upstream);
    if (state.running === 0) state.lastProgressAt = now;
    state.running += 1;
    return (endedAt) => {
      state.running -= 1;
      const isLast = state.running === 0 && this.groupOf.has(upstream);
      const stalledSince = state.lastProgressAt + STALL_TIMEOUT_MS;
      // With no request in flight, a stalled group would look idle and receive new work, which would stall too.
      if (isLast && state.faults === 0 && endedAt >= stalledSince) {
        this.startBackoff(state, endedAt);
        state.firstFaultAt = stalledSince;
        state.isStalled = true;
      }
    };
  }

  /**
   * Records an event or response, which shows that the group makes progress.
   *
   * @param upstream - Upstream id
   * @param now - Current time in milliseconds
   */
  recordProgress(upstream: UpstreamId, now: number): void {
    const state = this.getState(upstream);
    state.lastProgressAt = now;
    state.faults = 0;
    state.backoffUntil = -Infinity;
  }

  /**
   * Records that the group refuses or aborts its work.
   *
   * @param upstream - Upstream id
   * @param now - Current time in milliseconds
   */
  recordFailure(upstream: UpstreamId, now: number): void {
    const state = this.getState(upstream);
    state.isStalled = false;
    // All requests of a group fail together, so failures within the backoff count as one fault.
    if (state.backoffUntil > now) return;
    this.startBackoff(state, now);
  }

  /**
   * Records that the group has re-formed.
   *
   * @param group - Name of the group
   * @param probedAt - When its rank was queried, milliseconds
   * @param now - Current time in milliseconds
   * @returns False when the group had not failed or has failed again since the probe
   */
  recordRecovery(group: string, probedAt: number, now: number): boolean {
    const state = this.states.get(group);
    if (state === undefined || state.faults === 0 || state.lastFaultAt > probedAt) return false;
    state.faults = 0;
    state.backoffUntil = -Infinity;
    state.lastProgressAt = now;
    return true;
  }

  /**
   * Lists the failed groups, without those that stalled without an error.
   *
   * @param before - Only groups whose last fault is not later, milliseconds
   * @returns Groups with their known ranks
   */
  listFailed(before: number): { group: string; ranks: UpstreamId[] }[] {
    const ranksOf = new Map<string, UpstreamId[]>();
    for (const [rank, group] of this.groupOf) {
      const state = this.states.get(group);
      if (state === undefined || state.faults === 0 || state.isStalled) continue;
      if (state.lastFaultAt > before) continue;
      ranksOf.set(group, [...(ranksOf.get(group) ?? []), rank]);
    }
    return [...ranksOf].map(([group, ranks]) => ({ group, ranks }));
  }

  /**
   * Checks whether the group may receive new work.
   *
   * @param upstream - Upstream id
   * @param now - Current time in milliseconds
   * @returns False while the group backs off, is being probed or is stalled
   */
  isAvailable(upstream: UpstreamId, now: number): boolean {
    const { backoffUntil, faults, running } = this.getState(upstream);
    if (backoffUntil > now) return false;
    // A single request probes whether a failed group has re-formed; further ones would be refused with it.
    if (faults > 0 && running > 0) return false;
    // Only groups make steady progress; a plain service may take long to produce one response.
    return !this.groupOf.has(upstream) || this.computeStallMs(upstream, now) < STALL_TIMEOUT_MS;
  }

  /**
   * Computes how long the group has made no progress on its requests in flight.
   *
   * @param upstream - Upstream id
   * @param now - Current time in milliseconds
   * @returns Milliseconds, 0 for a group with no request in flight
   */
  computeStallMs(upstream: UpstreamId, now: number): number {
    const state = this.getState(upstream);
    return state.running === 0 ? 0 : now - state.lastProgressAt;
  }

  /**
   * Finds the start of an outage of the group.
   *
   * @param upstream - Upstream id
   * @param now - Current time in milliseconds
   * @returns Milliseconds, or undefined while the group is available
   */
  findOutageStart(upstream: UpstreamId, now: number): number | undefined {
    const { faults, firstFaultAt, lastProgressAt } = this.getState(upstream);
    if (faults > 0) return firstFaultAt;
    return this.isAvailable(upstream, now) ? undefined : lastProgressAt + STALL_TIMEOUT_MS;
  }

  private startBackoff(state: GroupState, now: number): void {
    if (state.faults === 0) state.firstFaultAt = now;
    state.lastFaultAt = now;
    state.backoffUntil = now + Math.min(INITIAL_BACKOFF_MS * 2 ** state.faults, MAX_BACKOFF_MS);
    state.faults += 1;
  }

  private getState(upstream: UpstreamId): GroupState {
    const group = this.groupOf.get(upstream) ?? upstream;
    let state = this.states.get(group);
    if (state === undefined) {
      state = {
        running: 0,
        lastProgressAt: -Infinity,
        backoffUntil: -Infinity,
        faults: 0,
        firstFaultAt: -Infinity,
        lastFaultAt: -Infinity,
        isStalled: false,
      };
      this.states.set(group, state);
    }
    return state;
  }
}
