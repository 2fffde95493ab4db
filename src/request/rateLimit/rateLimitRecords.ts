import type { UpstreamIncarnation } from '../../ids.js';
import type { RateLimitChange, RateLimitObservation } from './types.js';

/** Rate limit of an upstream as last stated. */
export interface RateLimitRecord {
  /** Undefined once the upstream has stopped stating a limit. */
  readonly perSecond: number | undefined;
  /** Latest time at which a request was sent whose response stated this value, milliseconds. */
  readonly sentAt: number;
  /** Latest time at which such a response was received, milliseconds. */
  readonly receivedAt: number;
  /** When this value replaced another one, milliseconds. */
  readonly changedAt: number;
}

/**
 * Rate limits that upstreams state in their responses.
 *
 * Responses overtake each other, so a higher or no limit replaces a known one only if its request was sent after the
 * known limit was last received. A lower limit applies at once.
 */
export class RateLimitRecords {
  private readonly records = new Map<UpstreamIncarnation, RateLimitRecord>();

  /** False while no upstream has stated a limit, which spares the look-up for each request. */
  get hasLimits(): boolean {
    return this.records.size > 0;
  }

  /**
   * Applies a statement of an upstream, received in a response or from another gateway.
   *
   * @param upstream - Upstream that made the statement
   * @param observation - The statement and its times
   * @returns Effect of the statement
   */
  observe(upstream: UpstreamIncarnation, observation: RateLimitObservation): RateLimitChange {
    const record = this.records.get(upstream);
    if (record === undefined) {
      if (observation.perSecond === undefined) return 'unchanged';
      this.records.set(upstream, { ...observation, changedAt: observation.receivedAt });
      return 'started';
    }
    if (observation.perSecond === record.perSecond) {
      this.records.set(upstream, {
        ...record,
        sentAt: Math.max(record.sentAt, observation.sentAt),
        receivedAt: Math.max(record.receivedAt, observation.receivedAt),
      });
      return 'unchanged';
    }
    const isRaised = (observation.perSecond ?? Infinity) > (record.perSecond ?? Infinity);
    const isOutdated = isRaised
      ? observation.sentAt <= record.receivedAt
      : observation.receivedAt < record.sentAt;
    if (isOutdated) return 'outdated';
    this.records.set(upstream, { ...observation, changedAt: observation.receivedAt });
    if (observation.perSecond === undefined) return 'ended';
    return record.perSecond === undefined ? 'started' : 'changed';
  }

  /**
   * Finds the record of an upstream.
   *
   * @param upstream - Upstream
   * @returns The record, also of a limit that has ended
   */
  find(upstream: UpstreamIncarnation): RateLimitRecord | undefined {
    return this.records.get(upstream);
  }

  /**
   * Lists all records, including limits that have ended.
   *
   * @returns Records by upstream
   */
  list(): ReadonlyMap<UpstreamIncarnation, RateLimitRecord> {
    return this.records;
  }

  /**
   * Removes the records of upstreams that have left or restarted, and those of limits that have ended.
   *
   * @param listed - Upstreams that are listed
   * @param before - Later records are kept: a peer may know of an upstream before this gateway does, and a gateway may
   *   not know yet that a limit has ended
   */
  discardObsolete(listed: ReadonlySet<UpstreamIncarnation>, before: number): void {
    for (const [upstream, { perSecond, receivedAt, changedAt }] of this.records) {
      const isUnlisted = !listed.has(upstream) && receivedAt < before;
      const hasEnded = perSecond === undefined && changedAt < before;
      if (isUnlisted || hasEnded) this.records.delete(upstream);
    }
  }
}
