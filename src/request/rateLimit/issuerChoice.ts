import type { UpstreamIncarnation } from '../../ids.js';
import { hashPair, sortByWeight } from '../routing/rendezvousOrder.js';

/** Why a gateway leaves the issuer of its permits. */
export type LeaveReason =
  /** Another issuer is preferred. */
  | 'replaced'
  /** The link was closed by the issuer or its host. */
  | 'closed'
  /** The issuer was not heard, so it may still issue permits for the part of this gateway. */
  | 'unresponsive';

/**
 * Time without an issuer after leaving one, so that no two issuers issue permits for the part of one gateway. A message
 * over a working link arrives well within 500 ms; an issuer notices within 2 s that it does not hear this gateway.
 */
const leaveDelaysMs: Readonly<Record<LeaveReason, number>> = {
  replaced: 500,
  closed: 100,
  unresponsive: 2_000,
};

interface Choice {
  issuer: string | undefined;
  /** Time at which the next issuer may be chosen. */
  waitUntil: number;
}

/** Chooses the gateway that issues permits to this one, for each upstream with a rate limit. */
export class IssuerChoice {
  private readonly choices = new Map<UpstreamIncarnation, Choice>();
  private readonly preferred = new Map<UpstreamIncarnation, string>();

  constructor(private readonly self: string) {}

  /**
   * Updates the issuers.
   *
   * @param upstreams - Upstreams with a rate limit
   * @param linked - Gateways with a link to this one
   * @param now - Current time in milliseconds
   */
  update(upstreams: readonly UpstreamIncarnation[], linked: readonly string[], now: number): void {
    const limited = new Set(upstreams);
    for (const upstream of this.choices.keys()) {
      if (limited.has(upstream)) continue;
      this.choices.delete(upstream);
      this.preferred.delete(upstream);
    }
    for (const upstream of upstreams) {
      const preferred = this.findPreferred(upstream, linked);
      const choice = this.choices.get(upstream);
      if (choice === undefined) {
        this.choices.set(upstream, { issuer: preferred, waitUntil: now });
        continue;
      }
      if (choice.issuer !== undefined && choice.issuer !== preferred) {
        this.leave(choice, 'replaced', now);
      }
      if (choice.issuer === undefined && now >= choice.waitUntil) choice.issuer = preferred;
    }
  }

  /**
   * Returns the issuer of an upstream.
   *
   * @param upstream - Upstream
   * @returns Process id, or undefined while none is chosen
   */
  getIssuer(upstream: UpstreamIncarnation): string | undefined {
    return this.choices.get(upstream)?.issuer;
  }

  /** Discards the preferences, which depend on the linked gateways. */
  resetPreferences(): void {
    this.preferred.clear();
  }

  /**
   * Leaves an issuer whose link has closed.
   *
   * @param issuer - Process id
   * @param reason - How the link closed
   * @param now - Current time in milliseconds
   */
  leaveIssuer(issuer: string, reason: LeaveReason, now: number): void {
    for (const choice of this.choices.values()) {
      if (choice.issuer === issuer) this.leave(choice, reason, now);
    }
  }

  private leave(choice: Choice, reason: LeaveReason, now: number): void {
    choice.issuer = undefined;
    choice.waitUntil = now + leaveDelaysMs[reason];
  }

  private findPreferred(upstream: UpstreamIncarnation, linked: readonly string[]): string {
    let preferred = this.preferred.get(upstream);
    if (preferred === undefined) {
      const [first] = sortByWeight(
        [this.self, ...linked],
        (id) => id,
        (id) => hashPair(upstream, id),
      );
      preferred = first ?? this.self;
      this.preferred.set(upstream, preferred);
    }
    return preferred;
  }
}
