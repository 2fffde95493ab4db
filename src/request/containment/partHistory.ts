import type { PromptPartId } from '../../ids.js';

/** Parts that are remembered, the most recently used ones; an entry takes about 150 bytes. */
const MAX_PARTS = 20_000;
/** A part is trusted for this long after a response that was not cut short. */
const TRUST_MS = 600_000;
/** Share of the requests from which a part is common: it is then in flight in nearly every crash. */
const COMMON_SHARE = 0.4;
/** Requests without the part that are assumed beside those seen, so that a few requests make no part common. */
const ASSUMED_OTHER_SENDS = 20;

interface PartState {
  sends: number;
  /** Value of the total when the part was first sent. */
  readonly totalBefore: number;
  succeededAt: number;
}

/** How often each part of prompts was sent to upstreams, and when it was last part of a sound response. */
export class PartHistory {
  private readonly parts = new Map<PromptPartId, PartState>();
  private totalSends = 0;

  /**
   * Records that a request is sent to an upstream.
   *
   * @param parts - Parts of its prompt
   */
  recordSend(parts: readonly PromptPartId[]): void {
    for (const part of parts) {
      const state = this.renew(part);
      state.sends += 1;
    }
    this.totalSends += 1;
  }

  /**
   * Records that an upstream has written a response.
   *
   * @param parts - Parts of its prompt
   * @param now - Current time in milliseconds
   */
  recordSuccess(parts: readonly PromptPartId[], now: number): void {
    for (const part of parts) this.renew(part).succeededAt = now;
  }

  /**
   * Checks whether an upstream has written a response to a prompt with this part.
   *
   * @param part - Part of a prompt
   * @param now - Current time in milliseconds
   * @returns False for an unknown part
   */
  isTrusted(part: PromptPartId, now: number): boolean {
    return now - this.getLastSuccess(part) < TRUST_MS;
  }

  /**
   * Returns when a part was last part of a sound response.
   *
   * @param part - Part of a prompt
   * @returns Milliseconds; -Infinity for an unknown part
   */
  getLastSuccess(part: PromptPartId): number {
    return this.parts.get(part)?.succeededAt ?? -Infinity;
  }

  /**
   * Counts the requests with a part.
   *
   * @param part - Part of a prompt
   * @returns Requests sent since the part was first seen
   */
  countSends(part: PromptPartId): number {
    return this.parts.get(part)?.sends ?? 0;
  }

  /**
   * Checks whether a part stands in so many prompts that its presence in a crash says little.
   *
   * @param part - Part of a prompt
   * @returns False for an unknown part
   */
  isCommon(part: PromptPartId): boolean {
    const state = this.parts.get(part);
    if (state === undefined) return false;
    const sends = this.totalSends - state.totalBefore + ASSUMED_OTHER_SENDS;
    return state.sends >= COMMON_SHARE * sends;
  }

  private renew(part: PromptPartId): PartState {
    const state = this.parts.get(part) ?? {
      sends: 0,
      totalBefore: this.totalSends,
      succeededAt: -Infinity,
    };
    this.parts.delete(part);
    this.parts.set(part, state);
    if (this.parts.size > MAX_PARTS) {
      for (const oldest of this.parts.keys()) {
        this.parts.delete(oldest);
        break;
      }
    }
    return state;
  }
}
