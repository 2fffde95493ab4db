import type { UpstreamIncarnation } from '../../ids.js';

/** Ended pauses are removed when this many are known; a service has far fewer upstreams that refuse. */
const MAX_ENDED_PAUSES = 1_000;

/** Upstreams that have asked this gateway for a pause. Each start of an upstream has its own. */
export class UpstreamPauses {
  private readonly endsAt = new Map<UpstreamIncarnation, number>();

  /**
   * Records that an upstream wants no request for a while.
   *
   * @param upstream - Upstream
   * @param until - End of the pause in milliseconds; a later one that is known stays in force
   * @param now - Current time in milliseconds
   */
  pause(upstream: UpstreamIncarnation, until: number, now: number): void {
    if (this.endsAt.size >= MAX_ENDED_PAUSES) this.removeEnded(now);
    this.endsAt.set(upstream, Math.max(until, this.endsAt.get(upstream) ?? -Infinity));
  }

  /**
   * Computes how long an upstream still wants no request.
   *
   * @param upstream - Upstream
   * @param now - Current time in milliseconds
   * @returns Milliseconds, 0 without a pause
   */
  computeRemaining(upstream: UpstreamIncarnation, now: number): number {
    return this.endsAt.size === 0 ? 0 : Math.max(0, (this.endsAt.get(upstream) ?? 0) - now);
  }

  private removeEnded(now: number): void {
    for (const [upstream, endsAt] of this.endsAt) if (endsAt <= now) this.endsAt.delete(upstream);
  }
}
