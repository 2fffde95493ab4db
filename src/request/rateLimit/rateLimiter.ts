import type { UpstreamIncarnation } from '../../ids.js';
import { toId } from '../../ids.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { UpstreamEntry } from '../../version/routing/types.js';
import type { ColdLimits } from './coldLimits.js';
import type { LeaveReason } from './issuerChoice.js';
import { IssuerChoice } from './issuerChoice.js';
import type { PermitAssignment } from './permitIssuer.js';
import { PermitIssuer } from './permitIssuer.js';
import { PermitPool } from './permitPool.js';
import type { RateLimitObserver } from './rateLimitObserver.js';
import type { RateLimitRecords } from './rateLimitRecords.js';
import type { PermitDemand, PermitState, SendLimiter } from './types.js';
import { toIncarnation } from './types.js';

/** A lower limit, also 0, is raised to this one: an upstream that gets no request cannot state that its limit ended. */
const MIN_LIMIT_PER_SECOND = 0.05;

/**
 * Interval at which recently changed records are sent to one linked gateway after the other. A gateway that received a
 * late response does not accept that a limit has ended or risen; later it does, because each response renews the evidence.
 */
const GOSSIP_INTERVAL_MS = 200;
const RECENT_CHANGE_MS = 15_000;
/** Interval at which all records are sent; bounds the traffic while many upstreams keep their limits. */
const FULL_GOSSIP_INTERVAL_MS = 5_000;

/** Interval at which unchanged demand is sent again, in case the issuer has lost it with another link. */
const DEMAND_REFRESH_INTERVAL_MS = 5_000;

/** Demand as last sent to a gateway. */
interface SentDemand {
  readonly encoded: string;
  readonly at: number;
}

/** Connection of the rate limiter to the other gateways. */
export interface RateLimiterOptions {
  /** Process id of this gateway. */
  readonly self: string;
  readonly records: RateLimitRecords;
  /** Limits that apply while an upstream is cold; without them, only stated limits apply. */
  readonly coldLimits?: Pick<ColdLimits, 'find' | 'list' | 'hasCold'>;
  readonly observer: Pick<RateLimitObserver, 'observe'>;
  /** Number of gateways that are known to run, linked or not, including this one. */
  readonly countGateways: () => number;
  /** Sends a message over the link to a gateway; messages to a gateway without a link are dropped. */
  readonly send: (gateway: string, message: Message) => void;
}

/**
 * Keeps the requests of all gateways to an upstream within the rate limit that the upstream states.
 *
 * A request to such an upstream needs a permit. For each upstream, linked gateways choose the same one among them as the
 * issuer of permits, and each leaves its part of the limit to it.
 */
export class RateLimiter implements SendLimiter {
  private readonly pool = new PermitPool();
  private readonly issuer: PermitIssuer;
  private readonly choice: IssuerChoice;
  /** Linked gateways, with the demand last sent to each; undefined until one was sent over the present link. */
  private readonly peers = new Map<string, SentDemand | undefined>();
  private gossipedAt = -Infinity;
  private fullyGossipedAt = -Infinity;
  private gossipTurn = 0;

  constructor(private readonly options: RateLimiterOptions) {
    this.choice = new IssuerChoice(options.self);
    this.issuer = new PermitIssuer({
      findLimit: (upstream) => this.findLimit(upstream),
      countGateways: () => options.countGateways(),
    });
  }

  /** False while no upstream has a limit, which spares the look-up for each request. */
  get hasLimits(): boolean {
    return this.options.records.hasLimits || this.options.coldLimits?.hasCold === true;
  }

  checkPermit(upstream: UpstreamEntry, now: number): PermitState {
    if (!this.hasLimits) return 'unlimited';
    const incarnation = toIncarnation(upstream);
    if (this.findLimit(incarnation) === undefined) return 'unlimited';
    return this.pool.has(incarnation, now) ? 'held' : 'missing';
  }

  requestPermit(upstream: UpstreamEntry, now: number): void {
    this.pool.demand(toIncarnation(upstream), now);
  }

  takePermit(upstream: UpstreamEntry, now: number): void {
    this.pool.take(toIncarnation(upstream), now);
  }

  estimateDelay(upstreams: readonly UpstreamEntry[], position: number, now: number): number {
    const assumed = new Map<UpstreamIncarnation, number>();
    for (const upstream of upstreams) {
      const incarnation = toIncarnation(upstream);
      const limit = this.findLimit(incarnation) ?? MIN_LIMIT_PER_SECOND;
      assumed.set(incarnation, limit / this.options.countGateways());
    }
    return this.pool.estimateDelay(assumed, position, now);
  }

  /**
   * Adds a gateway whose link is open, and sends it all records.
   *
   * @param peer - Process id
   * @param now - Current time in milliseconds
   */
  addPeer(peer: string, now: number): void {
    this.peers.set(peer, undefined);
    this.choice.resetPreferences();
    this.sendRecords(peer, [...this.options.records.list().keys()], now);
  }

  /**
   * Removes a gateway whose link has closed.
   *
   * @param peer - Process id
   * @param reason - How the link closed
   * @param now - Current time in milliseconds
   */
  removePeer(peer: string, reason: LeaveReason, now: number): void {
    this.peers.delete(peer);
    this.choice.resetPreferences();
    this.choice.leaveIssuer(peer, reason, now);
    this.pool.removeIssuer(peer);
    this.issuer.removeGateway(peer, now);
  }

  /**
   * Notifies all linked gateways of a changed record.
   *
   * @param upstream - Upstream with the changed record
   * @param now - Current time in milliseconds
   */
  broadcastRecord(upstream: UpstreamIncarnation, now: number): void {
    for (const peer of this.peers.keys()) this.sendRecords(peer, [upstream], now);
  }

  /**
   * Applies the records of another gateway, and replies with those of its own that are newer.
   *
   * @param peer - Process id of the sender
   * @param message - Records with their ages
   * @param now - Current time in milliseconds
   */
  receiveRecords(peer: string, message: MessageOf<'upstreamRateLimits'>, now: number): void {
    const newer: UpstreamIncarnation[] = [];
    for (const { upstream, perSecond, sentAgeMs, receivedAgeMs } of message.limits) {
      const incarnation = toId<UpstreamIncarnation>(upstream);
      const times = { sentAt: now - sentAgeMs, receivedAt: now - receivedAgeMs };
      const change = this.options.observer.observe(incarnation, { perSecond, ...times }, peer);
      if (change === 'outdated') newer.push(incarnation);
    }
    if (newer.length > 0) this.sendRecords(peer, newer, now);
  }

  /**
   * Applies the demand of a gateway that has chosen this one as its issuer.
   *
   * @param peer - Process id of the sender
   * @param message - Upstreams that the sender has delegated to this gateway
   * @param now - Current time in milliseconds
   */
  receiveDemand(peer: string, message: MessageOf<'permitDemand'>, now: number): void {
    const demands = new Map<UpstreamIncarnation, PermitDemand>();
    for (const { upstream, isWanted, unused } of message.upstreams) {
      demands.set(toId<UpstreamIncarnation>(upstream), { isWanted, unused });
    }
    this.issuer.setDemand(peer, demands, now);
  }

  /**
   * Adds permits from the issuer.
   *
   * @param peer - Process id of the sender
   * @param message - Permits by upstream
   * @param now - Current time in milliseconds
   */
  receivePermits(peer: string, message: MessageOf<'permits'>, now: number): void {
    for (const { upstream, count, perSecond } of message.permits) {
      const incarnation = toId<UpstreamIncarnation>(upstream);
      if (this.findLimit(incarnation) === undefined) continue;
      this.pool.add(incarnation, { issuer: peer, count, perSecond }, now);
    }
  }

  /**
   * Chooses issuers, sends changed demand to them and issues permits.
   *
   * @param now - Current time in milliseconds
   */
  advance(now: number): void {
    const limited = this.listLimited();
    this.pool.discardUnlisted(new Set(limited));
    this.choice.update(limited, [...this.peers.keys()], now);
    this.sendDemands(limited, now);
    this.deliverPermits(this.issuer.assignPermits(now), now);
    if (now - this.gossipedAt >= GOSSIP_INTERVAL_MS) this.sendGossip(now);
  }

  /**
   * Describes the rate limits for the `/dump` endpoint.
   *
   * @param now - Current time in milliseconds
   * @returns Limit, issuer and permits by upstream
   */
  describe(now: number): Record<string, unknown> {
    const described: Record<string, unknown> = {};
    const { records } = this.options;
    for (const upstream of new Set([...records.list().keys(), ...this.listLimited()])) {
      const receivedAt = records.find(upstream)?.receivedAt;
      described[upstream] = {
        perSecond: this.findLimit(upstream) ?? null,
        statedAgoMs: receivedAt === undefined ? null : Math.round(now - receivedAt),
        issuer: this.choice.getIssuer(upstream) ?? null,
        ...this.pool.describe(upstream, now),
        issuing: this.issuer.describe(upstream) ?? null,
      };
    }
    return described;
  }

  private sendGossip(now: number): void {
    this.gossipedAt = now;
    const isFull = now - this.fullyGossipedAt >= FULL_GOSSIP_INTERVAL_MS;
    if (isFull) this.fullyGossipedAt = now;
    const upstreams: UpstreamIncarnation[] = [];
    for (const [upstream, { changedAt }] of this.options.records.list()) {
      if (isFull || now - changedAt < RECENT_CHANGE_MS) upstreams.push(upstream);
    }
    const peers = [...this.peers.keys()];
    const peer = peers[this.gossipTurn % peers.length];
    this.gossipTurn += 1;
    if (peer !== undefined) this.sendRecords(peer, upstreams, now);
  }

  private findLimit(upstream: UpstreamIncarnation): number | undefined {
    const stated = this.options.records.find(upstream)?.perSecond ?? Infinity;
    const perSecond = Math.min(stated, this.options.coldLimits?.find(upstream) ?? Infinity);
    return perSecond === Infinity ? undefined : Math.max(perSecond, MIN_LIMIT_PER_SECOND);
  }

  private listLimited(): UpstreamIncarnation[] {
    const limited = new Set<UpstreamIncarnation>();
    for (const upstream of this.options.coldLimits?.list().keys() ?? []) {
      if (this.findLimit(upstream) !== undefined) limited.add(upstream);
    }
    for (const [upstream, { perSecond }] of this.options.records.list()) {
      if (perSecond !== undefined) limited.add(upstream);
    }
    return [...limited];
  }

  private sendDemands(limited: readonly UpstreamIncarnation[], now: number): void {
    const { self, send } = this.options;
    const own = new Map<UpstreamIncarnation, PermitDemand>();
    const byPeer = new Map<string, { upstream: UpstreamIncarnation; demand: PermitDemand }[]>();
    for (const peer of this.peers.keys()) byPeer.set(peer, []);
    for (const upstream of limited) {
      const issuer = this.choice.getIssuer(upstream);
      if (issuer === undefined) continue;
      const unused = this.pool.takeUnused(upstream, issuer, now);
      const demand = { isWanted: this.pool.isDemanded(upstream, now), unused };
      if (issuer === self) own.set(upstream, demand);
      else byPeer.get(issuer)?.push({ upstream, demand });
    }
    this.issuer.setDemand(self, own, now);
    for (const [peer, demands] of byPeer) {
      const encoded = encodeDemands(demands);
      const isReturning = demands.some(({ demand }) => demand.unused > 0);
      const sent = this.peers.get(peer);
      const isDue = sent === undefined || now - sent.at >= DEMAND_REFRESH_INTERVAL_MS;
      if (!isDue && !isReturning && encoded === sent.encoded) continue;
      this.peers.set(peer, { encoded, at: now });
      const upstreams = demands.map(({ upstream, demand }) => ({ upstream, ...demand }));
      send(peer, { type: 'permitDemand', upstreams });
    }
  }

  private deliverPermits(assignments: readonly PermitAssignment[], now: number): void {
    const { self, send } = this.options;
    const byPeer = new Map<string, MessageOf<'permits'>['permits']>();
    for (const { gateway, upstream, count, perSecond } of assignments) {
      if (gateway === self) {
        this.pool.add(upstream, { issuer: self, count, perSecond }, now);
        continue;
      }
      const permits = byPeer.get(gateway) ?? [];
      permits.push({ upstream, count, perSecond });
      byPeer.set(gateway, permits);
    }
    for (const [gateway, permits] of byPeer) send(gateway, { type: 'permits', permits });
  }

  private sendRecords(peer: string, upstreams: readonly UpstreamIncarnation[], now: number): void {
    const limits: MessageOf<'upstreamRateLimits'>['limits'] = [];
    for (const upstream of upstreams) {
      const record = this.options.records.find(upstream);
      if (record === undefined) continue;
      const { perSecond, sentAt, receivedAt } = record;
      limits.push({
        upstream,
        ...(perSecond === undefined ? {} : { perSecond }),
        sentAgeMs: Math.max(0, now - sentAt),
        receivedAgeMs: Math.max(0, now - receivedAt),
      });
    }
    if (limits.length > 0) this.options.send(peer, { type: 'upstreamRateLimits', limits });
  }
}

/** Encodes the part of the demand whose change the issuer must be told. */
function encodeDemands(
  demands: readonly { readonly upstream: UpstreamIncarnation; readonly demand: PermitDemand }[],
): string {
  return demands.map(({ upstream, demand }) => `${upstream} ${demand.isWanted}`).join('\n');
}
