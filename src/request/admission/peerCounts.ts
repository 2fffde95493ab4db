/** Counts normally arrive about 60 ms late; those of an unresponsive gateway are dropped after this time. */
const PEER_COUNT_TTL_MS = 3_000;
/** Interval at which outdated counts are looked for. */
const EXPIRY_CHECK_MS = 250;

interface ReceivedCounts {
  readonly at: number;
  readonly counts: ReadonlyMap<string, number>;
}

/**
 * Requests that the other gateways have in flight, summed by upstream, so that reading a count takes the same time for any
 * number of gateways.
 */
export class PeerCounts {
  private readonly received = new Map<string, ReceivedCounts>();
  private readonly sums = new Map<string, number>();
  private checkedAt = -Infinity;

  /**
   * Replaces the counts of a gateway.
   *
   * @param peer - Process id of the gateway
   * @param counts - Its requests in flight, by upstream
   * @param now - Current time in milliseconds
   */
  apply(peer: string, counts: ReadonlyMap<string, number>, now: number): void {
    this.remove(peer);
    this.received.set(peer, { at: now, counts });
    for (const [upstream, count] of counts) this.add(upstream, count);
  }

  /**
   * Removes the counts of a gateway.
   *
   * @param peer - Process id of the gateway
   */
  remove(peer: string): void {
    const previous = this.received.get(peer);
    if (previous === undefined) return;
    this.received.delete(peer);
    for (const [upstream, count] of previous.counts) this.add(upstream, -count);
  }

  /**
   * Returns the sum of an upstream.
   *
   * @param upstream - Upstream id
   * @param now - Current time in milliseconds
   * @returns Requests that other gateways have in flight there
   */
  getSum(upstream: string, now: number): number {
    if (now - this.checkedAt >= EXPIRY_CHECK_MS) this.removeOutdated(now);
    return this.sums.get(upstream) ?? 0;
  }

  /**
   * Counts the other gateways whose counts are known.
   *
   * @param now - Current time in milliseconds
   */
  countPeers(now: number): number {
    if (now - this.checkedAt >= EXPIRY_CHECK_MS) this.removeOutdated(now);
    return this.received.size;
  }

  private removeOutdated(now: number): void {
    this.checkedAt = now;
    for (const [peer, { at }] of this.received) {
      if (now - at > PEER_COUNT_TTL_MS) this.remove(peer);
    }
  }

  private add(upstream: string, count: number): void {
    const sum = (this.sums.get(upstream) ?? 0) + count;
    if (sum === 0) this.sums.delete(upstream);
    else this.sums.set(upstream, sum);
  }
}
