import type { Fingerprint } from '../../ids.js';

/** A request that ran at its upstream in this many confirmed crashes is not sent again; one may be chance. */
const MAX_CRASHES = 2;
/** Callers send a request again within its deadline of some seconds; a blameless one is free again after this time. */
const SUSPECT_TTL_MS = 20_000;

/**
 * Requests by content that were running at an upstream when it crashed.
 *
 * Answers a request that crashes each upstream which begins to run it, and that its caller sends again through any
 * gateway: confirmed crashes are shared between gateways.
 */
export class SuspectTable {
  private readonly crashes = new Map<Fingerprint, { count: number; at: number }>();

  /**
   * Notes that a request was running when its upstream went away.
   *
   * @param fingerprint - Hash of path, workspace and body
   * @param now - Milliseconds
   */
  noteCrash(fingerprint: Fingerprint, now: number): void {
    for (const [known, { at }] of this.crashes) {
      if (now - at < SUSPECT_TTL_MS) break;
      this.crashes.delete(known);
    }
    const count = (this.crashes.get(fingerprint)?.count ?? 0) + 1;
    this.crashes.delete(fingerprint);
    this.crashes.set(fingerprint, { count, at: now });
  }

  /**
   * Notes a whole answer, which clears the request.
   *
   * @param fingerprint - Hash of path, workspace and body
   */
  noteSuccess(fingerprint: Fingerprint): void {
    this.crashes.delete(fingerprint);
  }

  /**
   * Checks whether a request must not be sent again.
   *
   * @param fingerprint - Hash of path, workspace and body
   * @param now - Milliseconds
   * @returns True when it was in flight in too many crashes
   */
  isRefused(fingerprint: Fingerprint, now: number): boolean {
    const known = this.crashes.get(fingerprint);
    return known !== undefined && known.count >= MAX_CRASHES && now - known.at < SUSPECT_TTL_MS;
  }
}
