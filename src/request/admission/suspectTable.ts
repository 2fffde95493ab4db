import type { Fingerprint } from '../../ids.js';

/** Confirmed crashes after which a request is blocked; a single one may be a coincidence. */
const MAX_CRASHES = 2;
/** Covers the retries of a caller, which stay within a deadline of some seconds, and then unblocks an innocent request. */
const SUSPECT_TTL_MS = 20_000;

/**
 * Counts crashes of upstreams by the fingerprint of the requests that were in flight.
 *
 * Contains a request that crashes every upstream that starts it, even when its caller resends it through another
 * gateway: gateways exchange confirmed crashes.
 */
export class SuspectTable {
  private readonly crashes = new Map<Fingerprint, { count: number; at: number }>();

  /**
   * Records that a request was in flight when its upstream crashed.
   *
   * @param fingerprint - Hash of path, workspace and body
   * @param now - Current time in milliseconds
   */
  recordCrash(fingerprint: Fingerprint, now: number): void {
    for (const [known, { at }] of this.crashes) {
      if (now - at < SUSPECT_TTL_MS) break;
      this.crashes.delete(known);
    }
    const count = (this.crashes.get(fingerprint)?.count ?? 0) + 1;
    this.crashes.delete(fingerprint);
    this.crashes.set(fingerprint, { count, at: now });
  }

  /**
   * Records a complete response, which clears the request.
   *
   * @param fingerprint - Hash of path, workspace and body
   */
  recordSuccess(fingerprint: Fingerprint): void {
    this.crashes.delete(fingerprint);
  }

  /**
   * Checks whether a request is blocked.
   *
   * @param fingerprint - Hash of path, workspace and body
   * @param now - Current time in milliseconds
   * @returns True when it was in flight in too many crashes
   */
  isBlocked(fingerprint: Fingerprint, now: number): boolean {
    const known = this.crashes.get(fingerprint);
    return known !== undefined && known.count >= MAX_CRASHES && now - known.at < SUSPECT_TTL_MS;
  }
}
