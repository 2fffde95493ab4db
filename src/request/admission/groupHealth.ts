import type { UpstreamId } from '../../ids.js';

/** Passes take up to 120 ms when on time; a group that shows no event for three of them does not go on. */
const STALL_MS = 360;
/** A broken group is tried again after this time; it forms anew about 0.6 s after its last rank is back. */
const FIRST_PAUSE_MS = 400;
const MAX_PAUSE_MS = 1_600;

interface GroupState {
  running: number;
  lastProgressAt: number;
  pausedUntil: number;
  faults: number;
  /** When the first and the last fault since the last progress were noted. */
  brokenAt: number;
  lastFaultAt: number;
  /** It went silent without breaking, so its ranks report it open. */
  isSilent: boolean;
}

/**
 * Which groups of upstreams go on.
 *
 * Answers the loss of one rank: all ranks of its group stall and then refuse, so new work goes to other groups as soon
 * as the group shows no progress, and not to each of its ranks in turn. An upstream without a group is its own.
 */
export class GroupHealth {
  private readonly groupOf = new Map<UpstreamId, string>();
  private readonly states = new Map<string, GroupState>();

  /**
   * Names the group of an upstream.
   *
   * @param upstream - Upstream id
   * @param group - Name of its group, undefined for an upstream that works alone
   */
  setGroup(upstream: UpstreamId, group: string | undefined): void {
    if (group === undefined) this.groupOf.delete(upstream);
    else this.groupOf.set(upstream, group);
  }

  /**
   * Notes that a request was sent.
   *
   * @param upstream - Upstream id
   * @param now - Milliseconds
   * @returns Notes its end, however it came
   */
  noteStart(upstream: UpstreamId, now: number): (endedAt: number) => void {
    // The group may be learned while the request runs, so its end belongs to the state of its start.
    const state = this.getState(upstream);
    if (state.running === 0) state.lastProgressAt = now;
    state.running += 1;
    return (endedAt) => {
      state.running -= 1;
      const isLast = state.running === 0 && this.groupOf.has(upstream);
      const silentSince = state.lastProgressAt + STALL_MS;
      // Without its callers a silent group would look idle, and the next ones would wait for it again.
      if (isLast && state.faults === 0 && endedAt >= silentSince) {
        this.pause(state, endedAt);
        state.brokenAt = silentSince;
        state.isSilent = true;
      }
    };
  }

  /**
   * Notes an event or answer, which proves that the group goes on.
   *
   * @param upstream - Upstream id
   * @param now - Milliseconds
   */
  noteProgress(upstream: UpstreamId, now: number): void {
    const state = this.getState(upstream);
    state.lastProgressAt = now;
    state.faults = 0;
    state.pausedUntil = -Infinity;
  }

  /**
   * Notes that the group refuses or breaks off its work.
   *
   * @param upstream - Upstream id
   * @param now - Milliseconds
   */
  noteBroken(upstream: UpstreamId, now: number): void {
    const state = this.getState(upstream);
    state.isSilent = false;
    // All requests of a group fail together; they count as one fault.
    if (state.pausedUntil > now) return;
    this.pause(state, now);
  }

  /**
   * Notes that the group has formed anew.
   *
   * @param group - Name of the group
   * @param askedAt - When its rank was asked, milliseconds
   * @param now - Milliseconds
   * @returns False when the group was not broken or has broken again since
   */
  noteOpen(group: string, askedAt: number, now: number): boolean {
    const state = this.states.get(group);
    if (state === undefined || state.faults === 0 || state.lastFaultAt > askedAt) return false;
    state.faults = 0;
    state.pausedUntil = -Infinity;
    state.lastProgressAt = now;
    return true;
  }

  /**
   * Lists the groups that refuse work.
   *
   * @param before - Only groups whose last fault is older, milliseconds
   * @returns Groups with their known ranks
   */
  listBroken(before: number): { group: string; ranks: UpstreamId[] }[] {
    const ranksOf = new Map<string, UpstreamId[]>();
    for (const [rank, group] of this.groupOf) {
      const state = this.states.get(group);
      if (state === undefined || state.faults === 0 || state.isSilent) continue;
      if (state.lastFaultAt > before) continue;
      ranksOf.set(group, [...(ranksOf.get(group) ?? []), rank]);
    }
    return [...ranksOf].map(([group, ranks]) => ({ group, ranks }));
  }

  /**
   * Checks whether the group gets new work.
   *
   * @param upstream - Upstream id
   * @param now - Milliseconds
   * @returns False while it is broken or shows no progress
   */
  isUsable(upstream: UpstreamId, now: number): boolean {
    const { pausedUntil, faults, running } = this.getState(upstream);
    if (pausedUntil > now) return false;
    // One request tries whether a broken group has formed anew; more would be refused with it.
    if (faults > 0 && running > 0) return false;
    // Only groups make steady progress; a plain service may work on one answer for long.
    return !this.groupOf.has(upstream) || this.computeSilence(upstream, now) < STALL_MS;
  }

  /**
   * Computes for how long the group has shown no progress on the work that it has.
   *
   * @param upstream - Upstream id
   * @param now - Milliseconds
   * @returns Milliseconds, 0 for a group without work
   */
  computeSilence(upstream: UpstreamId, now: number): number {
    const state = this.getState(upstream);
    return state.running === 0 ? 0 : now - state.lastProgressAt;
  }

  /**
   * Finds since when the group has taken no work.
   *
   * @param upstream - Upstream id
   * @param now - Milliseconds
   * @returns Milliseconds, or undefined while it goes on
   */
  findOutageStart(upstream: UpstreamId, now: number): number | undefined {
    const { faults, brokenAt, lastProgressAt } = this.getState(upstream);
    if (faults > 0) return brokenAt;
    return this.isUsable(upstream, now) ? undefined : lastProgressAt + STALL_MS;
  }

  private pause(state: GroupState, now: number): void {
    if (state.faults === 0) state.brokenAt = now;
    state.lastFaultAt = now;
    state.pausedUntil = now + Math.min(FIRST_PAUSE_MS * 2 ** state.faults, MAX_PAUSE_MS);
    state.faults += 1;
  }

  private getState(upstream: UpstreamId): GroupState {
    const group = this.groupOf.get(upstream) ?? upstream;
    let state = this.states.get(group);
    if (state === undefined) {
      state = {
        running: 0,
        lastProgressAt: -Infinity,
        pausedUntil: -Infinity,
        faults: 0,
        brokenAt: -Infinity,
        lastFaultAt: -Infinity,
        isSilent: false,
      };
      this.states.set(group, state);
    }
    return state;
  }
}
