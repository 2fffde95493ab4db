import type { UpstreamId } from '../../ids.js';

/** Upstreams that are remembered; far fewer leave while their entries are still listed anywhere. */
const MAX_UPSTREAMS = 1_000;

/** One start of an upstream. */
export interface UpstreamStart {
  readonly id: UpstreamId;
  /** Unix milliseconds; undefined if the upstream does not tell it. */
  readonly startedAt?: number | undefined;
}

/** Upstreams that have stated that they leave, with the start that has stated it. */
export class LeavingUpstreams {
  private readonly startsById = new Map<UpstreamId, number | undefined>();

  /**
   * Adds an upstream.
   *
   * @param upstream - Start of the upstream that has stated it
   * @returns False if it, or a later start, is known to leave
   */
  add({ id, startedAt }: UpstreamStart): boolean {
    const known = this.startsById.get(id);
    if (this.startsById.has(id) && (known ?? 0) >= (startedAt ?? 0)) return false;
    this.startsById.delete(id);
    this.startsById.set(id, startedAt);
    for (const oldest of this.startsById.keys()) {
      if (this.startsById.size <= MAX_UPSTREAMS) break;
      this.startsById.delete(oldest);
    }
    return true;
  }

  /**
   * Checks whether an upstream has stated that it leaves.
   *
   * @param upstream - Start of the upstream
   * @returns False if an earlier start of it has
   */
  has({ id, startedAt }: UpstreamStart): boolean {
    return this.startsById.has(id) && this.startsById.get(id) === startedAt;
  }

  /**
   * Lists the upstreams.
   *
   * @returns Starts that have stated that they leave
   */
  list(): UpstreamStart[] {
    return [...this.startsById].map(([id, startedAt]) => ({ id, startedAt }));
  }
}
