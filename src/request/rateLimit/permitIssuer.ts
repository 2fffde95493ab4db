import type { UpstreamIncarnation } from '../../ids.js';
import type { IssuedPermits, PermitDemand } from './types.js';

/** Permits that accumulate without demand: one, and those of this time at the rate of the issuer. */
const BURST_PERMITS = 1;
const BURST_MS = 100;
/**
 * An issuer that represents less than this part of the gateways issues nothing, so that at most this many issuers are
 * active when links between gateways fail, each with its burst.
 */
const MAX_ACTIVE_ISSUERS = 5;
/** Rate of an issuer over its part of the limit; uses the parts of gateways that are down for a short time. */
const SHARE_FACTOR = 1.25;

/** State of the gateways that an issuer needs. */
export interface PermitIssuerSources {
  /** Rate limit in requests per second, undefined when the upstream has none. */
  findLimit(upstream: UpstreamIncarnation): number | undefined;
  /** Number of gateways that are known to run, linked or not, including this one. */
  countGateways(): number;
}

interface Bucket {
  permits: number;
  updatedAt: number;
  /** Gateways that have left their part of the limit to this issuer. */
  readonly delegators: Set<string>;
  /** Gateways with demand; the first one is next. */
  readonly queue: Set<string>;
  /** Gateways to be informed about the rate. */
  readonly uninformed: Set<string>;
}

/** Permits for one gateway. */
export interface PermitAssignment extends IssuedPermits {
  readonly gateway: string;
}

/**
 * Issues permits for upstreams with a rate limit to the gateways that have chosen this one as their issuer.
 *
 * Each gateway leaves its equal part of the limit to one issuer at a time, so all issuers together stay within
 * `SHARE_FACTOR` of the limit, however the links between gateways fail. Permits go to the gateways with demand in turn.
 */
export class PermitIssuer {
  private readonly buckets = new Map<UpstreamIncarnation, Bucket>();

  constructor(private readonly sources: PermitIssuerSources) {}

  /**
   * Replaces what a gateway has delegated to this issuer.
   *
   * @param gateway - Process id of the gateway
   * @param demands - Upstreams for which this is the issuer of the gateway
   * @param now - Current time in milliseconds
   */
  setDemand(
    gateway: string,
    demands: ReadonlyMap<UpstreamIncarnation, PermitDemand>,
    now: number,
  ): void {
    for (const [upstream, bucket] of this.buckets) {
      if (!demands.has(upstream)) this.removeDelegator(upstream, bucket, gateway, now);
    }
    for (const [upstream, { isWanted, unused }] of demands) {
      const bucket = this.getBucket(upstream, now);
      this.refill(upstream, bucket, now);
      bucket.delegators.add(gateway);
      bucket.permits = Math.min(bucket.permits + unused, this.computeBurst(upstream, bucket));
      if (!isWanted) bucket.queue.delete(gateway);
      else if (!bucket.queue.has(gateway)) {
        bucket.queue.add(gateway);
        bucket.uninformed.add(gateway);
      }
    }
  }

  /**
   * Removes a gateway whose link has closed.
   *
   * @param gateway - Process id of the gateway
   * @param now - Current time in milliseconds
   */
  removeGateway(gateway: string, now: number): void {
    this.setDemand(gateway, new Map(), now);
  }

  /**
   * Assigns the permits that have become available to the gateways with demand.
   *
   * @param now - Current time in milliseconds
   * @returns Permits by gateway and upstream; a count of 0 informs a gateway with new demand about the rate
   */
  assignPermits(now: number): PermitAssignment[] {
    const assignments: PermitAssignment[] = [];
    for (const [upstream, bucket] of this.buckets) {
      this.refill(upstream, bucket, now);
      const counts = new Map<string, number>();
      for (const gateway of bucket.uninformed) counts.set(gateway, 0);
      bucket.uninformed.clear();
      const rate = this.computeRate(upstream, bucket);
      while (rate > 0 && bucket.permits >= 1) {
        const [next] = bucket.queue;
        if (next === undefined) break;
        bucket.permits -= 1;
        counts.set(next, (counts.get(next) ?? 0) + 1);
        bucket.queue.delete(next);
        bucket.queue.add(next);
      }
      const perSecond = rate / Math.max(1, bucket.queue.size);
      for (const [gateway, count] of counts) {
        assignments.push({ gateway, upstream, count, perSecond });
      }
    }
    return assignments;
  }

  /**
   * Describes the issuer's state of an upstream for the `/dump` endpoint.
   *
   * @param upstream - Upstream
   * @returns Gateways and rate, or undefined when no gateway has chosen this issuer
   */
  describe(
    upstream: UpstreamIncarnation,
  ): { delegators: number; demanding: number; perSecond: number } | undefined {
    const bucket = this.buckets.get(upstream);
    if (bucket === undefined) return undefined;
    return {
      delegators: bucket.delegators.size,
      demanding: bucket.queue.size,
      perSecond: this.computeRate(upstream, bucket),
    };
  }

  private removeDelegator(
    upstream: UpstreamIncarnation,
    bucket: Bucket,
    gateway: string,
    now: number,
  ): void {
    this.refill(upstream, bucket, now);
    bucket.delegators.delete(gateway);
    bucket.queue.delete(gateway);
    bucket.uninformed.delete(gateway);
    if (bucket.delegators.size === 0) this.buckets.delete(upstream);
  }

  private refill(upstream: UpstreamIncarnation, bucket: Bucket, now: number): void {
    const elapsedMs = Math.max(0, now - bucket.updatedAt);
    bucket.updatedAt = now;
    const refilled = bucket.permits + (this.computeRate(upstream, bucket) * elapsedMs) / 1000;
    bucket.permits = Math.min(refilled, this.computeBurst(upstream, bucket));
  }

  private computeRate(upstream: UpstreamIncarnation, { delegators }: Bucket): number {
    const limit = this.sources.findLimit(upstream) ?? 0;
    const gateways = Math.max(this.sources.countGateways(), delegators.size);
    if (delegators.size * MAX_ACTIVE_ISSUERS < gateways) return 0;
    return limit * Math.min(1, (SHARE_FACTOR * delegators.size) / gateways);
  }

  private computeBurst(upstream: UpstreamIncarnation, bucket: Bucket): number {
    return BURST_PERMITS + (this.computeRate(upstream, bucket) * BURST_MS) / 1000;
  }

  private getBucket(upstream: UpstreamIncarnation, now: number): Bucket {
    let bucket = this.buckets.get(upstream);
    if (bucket === undefined) {
      // Starts empty, because the previous issuer may just have used the permits of this moment.
      bucket = {
        permits: 0,
        updatedAt: now,
        delegators: new Set(),
        queue: new Set(),
        uninformed: new Set(),
      };
      this.buckets.set(upstream, bucket);
    }
    return bucket;
  }
}
