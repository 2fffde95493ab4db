import type { UpstreamIncarnation } from '../../ids.js';
import type { UpstreamStart } from '../../process/gateway/leavingUpstreams.js';
import { toIncarnation } from '../rateLimit/types.js';

/** Ended pauses are removed when this many are known; a service has far fewer upstreams that refuse. */
const MAX_ENDED_PAUSES = 1_000;

/** Upstreams that have asked this gateway for a pause. Each start of an upstream has its own. */
export class UpstreamPauses {
  private readonly endsAt = new Map<UpstreamIncarnation, number>();
  private lastEndsAt = -Infinity;

  /**
   * Records that an upstream wants no request for a while.
   *
   * @param upstream - Start of the upstream
   * @param until - End of the pause in milliseconds; a later one that is known stays in force
   * @param now - Current time in milliseconds
   */
  pause(upstream: UpstreamStart, until: number, now: number): void {
    if (this.endsAt.size >= MAX_ENDED_PAUSES) this.removeEnded(now);
    this.lastEndsAt = Math.max(this.lastEndsAt, until);
    const key = toIncarnation(upstream);
    this.endsAt.set(key, Math.max(until, this.endsAt.get(key) ?? -Infinity));
  }

  /**
   * Computes how long an upstream still wants no request.
   *
   * @param upstream - Start of the upstream
   * @param now - Current time in milliseconds
   * @returns Milliseconds, 0 without a pause
   */
  computeRemaining(upstream: UpstreamStart, now: number): number {
    // Decisions ask for each upstream, mostly while none wants a pause.
    if (now >= this.lastEndsAt) return 0;
    return Math.max(0, (this.endsAt.get(toIncarnation(upstream)) ?? 0) - now);
  }

  private removeEnded(now: number): void {
    for (const [upstream, endsAt] of this.endsAt) if (endsAt <= now) this.endsAt.delete(upstream);
  }
}
