import type { UpstreamIncarnation } from '../../ids.js';

/** Time in which a permit must be used; short, so that gateways without demand do not collect permits. */
const PERMIT_TTL_MS = 400;
/** Demand without a new request for this long has ended. */
const DEMAND_TTL_MS = 2_000;
/** Time in which the issuer replies to new demand. */
const REPLY_TIMEOUT_MS = 150;
/** A rate that the issuer stated longer ago than this may have changed. */
const RATE_TTL_MS = 5_000;

interface HeldPermit {
  /** Undefined once the issuer cannot take the permit back. */
  issuer: string | undefined;
  readonly expiresAt: number;
}

interface UpstreamPermits {
  /** In the order in which they expire. */
  readonly held: HeldPermit[];
  /** Expired permits that have not been reported, by issuer. */
  readonly unused: Map<string, number>;
  demandedSince: number;
  demandedAt: number;
  /** When the issuer last sent permits or the expected rate. */
  suppliedAt: number;
  perSecond: number;
}

/** Permits that this gateway holds for upstreams with a rate limit, and its demand for more. */
export class PermitPool {
  private readonly upstreams = new Map<UpstreamIncarnation, UpstreamPermits>();

  /**
   * Checks whether a permit is held.
   *
   * @param upstream - Upstream
   * @param now - Current time in milliseconds
   * @returns True when `take` will succeed at this time
   */
  has(upstream: UpstreamIncarnation, now: number): boolean {
    const permits = this.upstreams.get(upstream);
    if (permits === undefined) return false;
    this.expire(permits, now);
    return permits.held.length > 0;
  }

  /**
   * Takes a permit for one request.
   *
   * @param upstream - Upstream
   * @param now - Current time in milliseconds
   */
  take(upstream: UpstreamIncarnation, now: number): void {
    if (!this.has(upstream, now)) throw new Error(`no permit is held for ${upstream}`);
    this.demand(upstream, now);
    this.upstreams.get(upstream)?.held.shift();
  }

  /**
   * Records that a request needs a permit.
   *
   * @param upstream - Upstream
   * @param now - Current time in milliseconds
   */
  demand(upstream: UpstreamIncarnation, now: number): void {
    const permits = this.getPermits(upstream);
    if (now - permits.demandedAt > DEMAND_TTL_MS) permits.demandedSince = now;
    permits.demandedAt = now;
  }

  /**
   * Checks whether requests need permits.
   *
   * @param upstream - Upstream
   * @param now - Current time in milliseconds
   * @returns True for `DEMAND_TTL_MS` after the last demand
   */
  isDemanded(upstream: UpstreamIncarnation, now: number): boolean {
    const demandedAt = this.upstreams.get(upstream)?.demandedAt ?? -Infinity;
    return now - demandedAt <= DEMAND_TTL_MS;
  }

  /**
   * Adds permits.
   *
   * @param upstream - Upstream
   * @param supply - Issuer, number of permits and the rate to expect
   * @param now - Current time in milliseconds
   */
  add(
    upstream: UpstreamIncarnation,
    supply: { readonly issuer: string; readonly count: number; readonly perSecond: number },
    now: number,
  ): void {
    const permits = this.getPermits(upstream);
    permits.suppliedAt = now;
    permits.perSecond = supply.perSecond;
    for (let index = 0; index < supply.count; index += 1) {
      permits.held.push({ issuer: supply.issuer, expiresAt: now + PERMIT_TTL_MS });
    }
  }

  /**
   * Takes the number of expired permits that have not been reported to their issuer.
   *
   * @param upstream - Upstream
   * @param issuer - Issuer of the permits
   * @param now - Current time in milliseconds
   * @returns Number of permits
   */
  takeUnused(upstream: UpstreamIncarnation, issuer: string, now: number): number {
    const permits = this.upstreams.get(upstream);
    if (permits === undefined) return 0;
    this.expire(permits, now);
    const count = permits.unused.get(issuer) ?? 0;
    permits.unused.delete(issuer);
    return count;
  }

  /**
   * Forgets an issuer whose link has closed; its permits stay valid but cannot be returned.
   *
   * @param issuer - Issuer of permits
   */
  removeIssuer(issuer: string): void {
    for (const { held, unused } of this.upstreams.values()) {
      unused.delete(issuer);
      for (const permit of held) if (permit.issuer === issuer) permit.issuer = undefined;
    }
  }

  /**
   * Estimates when a request will get a permit for any of several upstreams.
   *
   * @param upstreams - Upstreams with the rate to assume while the issuer has not stated one
   * @param position - Requests that take a permit up to and including this one
   * @param now - Current time in milliseconds
   * @returns Milliseconds
   */
  estimateDelay(
    upstreams: ReadonlyMap<UpstreamIncarnation, number>,
    position: number,
    now: number,
  ): number {
    let totalPerSecond = 0;
    let firstMs = Infinity;
    for (const [upstream, assumedPerSecond] of upstreams) {
      const permits = this.getPermits(upstream);
      const perSecond = this.isRateKnown(permits, now) ? permits.perSecond : assumedPerSecond;
      totalPerSecond += perSecond;
      firstMs = Math.min(firstMs, this.estimateNext(permits, perSecond, now));
    }
    return firstMs + ((position - 1) * 1000) / totalPerSecond;
  }

  /**
   * Removes the state of upstreams that have no rate limit any more.
   *
   * @param limited - Upstreams to keep
   */
  discardUnlisted(limited: ReadonlySet<UpstreamIncarnation>): void {
    for (const upstream of this.upstreams.keys()) {
      if (!limited.has(upstream)) this.upstreams.delete(upstream);
    }
  }

  /**
   * Describes the permits for the `/dump` endpoint.
   *
   * @param upstream - Upstream
   * @param now - Current time in milliseconds
   * @returns Permits held, demand and the expected rate
   */
  describe(
    upstream: UpstreamIncarnation,
    now: number,
  ): { held: number; isDemanded: boolean; expectedPerSecond: number } {
    return {
      held: this.has(upstream, now) ? this.getPermits(upstream).held.length : 0,
      isDemanded: this.isDemanded(upstream, now),
      expectedPerSecond: this.upstreams.get(upstream)?.perSecond ?? 0,
    };
  }

  private estimateNext(permits: UpstreamPermits, perSecond: number, now: number): number {
    this.expire(permits, now);
    if (permits.held.length > 0) return 0;
    const intervalMs = 1000 / perSecond;
    const nextMs = permits.suppliedAt + intervalMs - now;
    if (this.isRateKnown(permits, now) && nextMs > -REPLY_TIMEOUT_MS) return Math.max(0, nextMs);
    const replyMs = permits.demandedSince + REPLY_TIMEOUT_MS - now;
    return replyMs > 0 ? Math.min(replyMs, intervalMs) : intervalMs;
  }

  private isRateKnown({ suppliedAt, perSecond }: UpstreamPermits, now: number): boolean {
    return perSecond > 0 && now - suppliedAt <= Math.max(RATE_TTL_MS, 1000 / perSecond);
  }

  private expire(permits: UpstreamPermits, now: number): void {
    // All permits live equally long, so the first one expires first.
    for (let [first] = permits.held; first !== undefined; [first] = permits.held) {
      if (first.expiresAt > now) return;
      permits.held.shift();
      if (first.issuer === undefined) continue;
      permits.unused.set(first.issuer, (permits.unused.get(first.issuer) ?? 0) + 1);
    }
  }

  private getPermits(upstream: UpstreamIncarnation): UpstreamPermits {
    let permits = this.upstreams.get(upstream);
    if (permits === undefined) {
      permits = {
        held: [],
        unused: new Map(),
        demandedSince: -Infinity,
        demandedAt: -Infinity,
        suppliedAt: -Infinity,
        perSecond: 0,
      };
      this.upstreams.set(upstream, permits);
    }
    return permits;
  }
}
