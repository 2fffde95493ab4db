import type { AvailabilityZoneId, ServiceId, UpstreamId } from '../../ids.js';
import type { ServiceDefinition, UpstreamEntry } from '../../version/routing/types.js';
import type { SendLimiter } from '../rateLimit/types.js';
import { GroupHealth } from './groupHealth.js';
import { PeerCounts } from './peerCounts.js';
import { UpstreamPauses } from './upstreamPauses.js';
import { computeTypicalRunMs, PaceEstimator } from './paceEstimator.js';
import type { Reservation, ReservationRequest, ServiceRoom } from './types.js';

/** Time without new work after a fault; doubles with each consecutive fault. */
const FAULT_BACKOFF_MS = 400;
const MAX_FAULT_BACKOFF_MS = 3_200;
/** Prefers the local availability zone among equally loaded upstreams; less than the weight of one request. */
const CROSS_ZONE_LOAD_PENALTY = 0.4;

/** Services with more upstreams are sampled. */
const MIN_SAMPLED_UPSTREAMS = 64;
/** Upstreams drawn for a decision; among so many the least loaded is close to the least loaded of all. */
const SAMPLE_SIZE = 24;

/** Limiter of upstreams that have no rate limits. */
const noLimits: SendLimiter = {
  checkPermit: () => 'unlimited',
  requestPermit: () => undefined,
  takePermit: () => undefined,
  estimateDelay: () => 0,
};

/** Expected wait for a permit, when all upstreams that a request may use have a rate limit. */
export interface PermitWait {
  readonly delayMs: number;
  readonly upstreams: readonly UpstreamId[];
}

interface Candidate {
  readonly upstream: UpstreamEntry;
  readonly cost: number;
}

interface Choice {
  readonly chosen: UpstreamEntry | undefined;
  /** Upstreams with less load that lack a permit. */
  readonly passedOver: readonly UpstreamEntry[];
}

interface UpstreamLoad {
  localInFlight: number;
  faults: number;
  /** Time of the first fault since the last complete response. */
  firstFaultAt: number;
  backoffUntil: number;
}

/** Configuration and upstream state that the balancer reads. */
export interface BalancerSources {
  readonly availabilityZone: AvailabilityZoneId;
  listReady(service: ServiceId): readonly UpstreamEntry[];
  getService(service: ServiceId): ServiceDefinition | undefined;
  /** Maximum gap between events that the streams of a service allow. */
  getMaxGapMs(service: ServiceId): number;
}

/** Tracks requests in flight per upstream, including those of other gateways, and selects the upstream of an attempt. */
export class UpstreamBalancer {
  readonly health = new GroupHealth();
  private readonly loads = new Map<UpstreamId, UpstreamLoad>();
  private readonly peerCounts = new PeerCounts();
  private readonly pauses = new UpstreamPauses();
  /** By group, or by upstream while it is not known to belong to one. */
  private readonly paces = new Map<string, PaceEstimator>();

  constructor(
    private readonly sources: BalancerSources,
    private readonly limiter: SendLimiter = noLimits,
  ) {}

  /**
   * Reserves capacity at the least loaded available upstream.
   *
   * @param request - Reservation request
   * @param now - Current time in milliseconds
   * @returns The reservation, or undefined when no upstream has capacity
   */
  tryReserve(request: ReservationRequest, now: number): Reservation | undefined {
    const { chosen, passedOver } = this.chooseUpstream(request, now);
    for (const upstream of passedOver) this.limiter.requestPermit(upstream, now);
    if (chosen === undefined) return undefined;
    if (this.limiter.checkPermit(chosen, now) === 'held') this.limiter.takePermit(chosen, now);
    const load = this.getLoad(chosen.id);
    load.localInFlight += 1;
    const recordEnd = this.health.recordStart(chosen.id, now);
    let isReleased = false;
    return {
      upstream: chosen,
      reservedAt: now,
      passedOver: passedOver.map(({ id }) => id),
      release: (endedAt) => {
        if (isReleased) return;
        isReleased = true;
        load.localInFlight -= 1;
        recordEnd(endedAt);
      },
    };
  }

  /**
   * Checks whether the service has any upstream that the request may use, regardless of load.
   *
   * @param request - Reservation request
   * @returns False when every upstream is removed, draining or excluded
   */
  hasUpstream(request: Pick<ReservationRequest, 'service' | 'excluded'>): boolean {
    for (const upstream of this.sources.listReady(request.service)) {
      if (!request.excluded.has(upstream.id)) return true;
    }
    return false;
  }

  /**
   * Finds the start of an outage of all upstreams of a service.
   *
   * @param request - Reservation request
   * @param now - Current time in milliseconds
   * @returns When the last upstream became unavailable, or undefined while one is available
   */
  findOutageStart(
    request: Pick<ReservationRequest, 'service' | 'excluded'>,
    now: number,
  ): number | undefined {
    let latest: number | undefined;
    for (const { id } of this.sources.listReady(request.service)) {
      if (request.excluded.has(id)) continue;
      const { backoffUntil, firstFaultAt } = this.getLoad(id);
      const startedAt =
        this.health.findOutageStart(id, now) ?? (backoffUntil > now ? firstFaultAt : undefined);
      if (startedAt === undefined) return undefined;
      latest = Math.max(latest ?? -Infinity, startedAt);
    }
    return latest;
  }

  /**
   * Estimates the wait for a permit of a request, if all upstreams that may take it in time have a rate limit.
   *
   * @param request - Reservation request
   * @param position - Requests that take a permit up to and including this one
   * @param now - Current time in milliseconds
   * @returns Expected wait and the upstreams, or undefined when no upstream is usable or one has no rate limit
   */
  estimatePermitWait(
    request: Pick<ReservationRequest, 'service' | 'excluded' | 'deadlineAt'>,
    position: number,
    now: number,
  ): PermitWait | undefined {
    const limited: UpstreamEntry[] = [];
    for (const upstream of this.sources.listReady(request.service)) {
      if (request.excluded.has(upstream.id)) continue;
      const { backoffUntil } = this.getLoad(upstream.id);
      const isBackInTime = backoffUntil <= request.deadlineAt;
      if (!isBackInTime || !this.health.isAvailable(upstream.id, now)) continue;
      if (this.limiter.checkPermit(upstream, now) === 'unlimited') return undefined;
      limited.push(upstream);
    }
    if (limited.length === 0) return undefined;
    return {
      delayMs: this.limiter.estimateDelay(limited, position, now),
      upstreams: limited.map(({ id }) => id),
    };
  }

  /**
   * Records that an upstream wants no request for a while.
   *
   * @param upstream - Upstream entry
   * @param until - End of the pause in milliseconds
   * @param now - Current time in milliseconds
   */
  pauseUpstream(upstream: UpstreamEntry, until: number, now: number): void {
    this.pauses.pause(upstream, until, now);
  }

  /**
   * Checks whether an upstream wants no request at present.
   *
   * @param upstream - Upstream entry
   * @param now - Current time in milliseconds
   * @returns True until its pause ends
   */
  isPaused(upstream: UpstreamEntry, now: number): boolean {
    return this.pauses.computeRemaining(upstream, now) > 0;
  }

  /**
   * Computes the wait until an upstream takes requests again, if all that a request may use want a pause.
   *
   * @param request - Reservation request
   * @param now - Current time in milliseconds
   * @returns Milliseconds, 0 if one wants none or there is no upstream
   */
  computePause(request: Pick<ReservationRequest, 'service' | 'excluded'>, now: number): number {
    let shortest = Infinity;
    for (const upstream of this.sources.listReady(request.service)) {
      if (request.excluded.has(upstream.id)) continue;
      shortest = Math.min(shortest, this.pauses.computeRemaining(upstream, now));
      if (shortest === 0) return 0;
    }
    return Number.isFinite(shortest) ? shortest : 0;
  }

  /**
   * Checks whether an upstream has as many requests in flight as slots.
   *
   * @param upstream - Upstream entry
   * @param now - Current time in milliseconds
   * @returns True when it may refuse a request for lack of a slot
   */
  isFull(upstream: UpstreamEntry, now: number): boolean {
    return this.countInFlight(upstream.id, now) >= upstream.slots;
  }

  /**
   * Measures the room of a service over its available upstreams.
   *
   * @param service - Service id
   * @param now - Current time in milliseconds
   * @returns Requests that may run and that run, over all gateways
   */
  measureRoom(service: ServiceId, now: number): ServiceRoom {
    const engine = this.sources.getService(service)?.engine;
    const maxGapMs = engine === undefined ? 0 : this.sources.getMaxGapMs(service);
    let limit = 0;
    let listedLimit = 0;
    let running = 0;
    for (const upstream of this.sources.listReady(service)) {
      const load = this.getLoad(upstream.id);
      const upstreamLimit =
        engine === undefined
          ? upstream.slots
          : this.getPace(upstream.id).computeConcurrencyLimit(maxGapMs, engine);
      listedLimit += upstreamLimit;
      if (load.backoffUntil > now || !this.health.isAvailable(upstream.id, now)) continue;
      if (this.pauses.computeRemaining(upstream, now) > 0) continue;
      const inFlight = load.localInFlight + this.peerCounts.getSum(upstream.id, now);
      // An upstream above its limit takes no room from the others.
      limit += Math.max(upstreamLimit, inFlight);
      running += inFlight;
    }
    const gateways = 1 + this.peerCounts.countPeers(now);
    const modelledRunMs = engine === undefined ? undefined : computeTypicalRunMs(maxGapMs, engine);
    const isSharedPace = engine !== undefined;
    return { limit, listedLimit, running, gateways, modelledRunMs, isSharedPace };
  }

  /**
   * Records an attempt that failed because of its upstream, and backs off from the upstream.
   *
   * @param upstream - Faulty upstream
   * @param now - Current time in milliseconds
   */
  recordFault(upstream: UpstreamId, now: number): void {
    const load = this.getLoad(upstream);
    const backoffMs = Math.min(FAULT_BACKOFF_MS * 2 ** load.faults, MAX_FAULT_BACKOFF_MS);
    if (load.faults === 0) load.firstFaultAt = now;
    load.faults += 1;
    load.backoffUntil = Math.max(load.backoffUntil, now + backoffMs);
  }

  /**
   * Records a complete response, which resets the fault count.
   *
   * @param upstream - Upstream that responded
   */
  recordSuccess(upstream: UpstreamId): void {
    this.getLoad(upstream).faults = 0;
  }

  /**
   * Records the time between two events of a stream.
   *
   * @param upstream - Upstream entry
   * @param gapMs - Milliseconds between the events
   * @param now - Current time in milliseconds
   */
  recordEventGap(upstream: UpstreamEntry, gapMs: number, now: number): void {
    const engine = this.sources.getService(upstream.service)?.engine;
    if (engine === undefined) return;
    this.getPace(upstream.id).recordPass(gapMs, this.countInFlight(upstream.id, now), engine);
  }

  /**
   * Replaces the in-flight counts of another gateway.
   *
   * @param peer - Process id of the gateway
   * @param counts - Its requests in flight, by upstream
   * @param now - Current time in milliseconds
   */
  applyPeerCounts(peer: string, counts: ReadonlyMap<string, number>, now: number): void {
    this.peerCounts.apply(peer, counts, now);
  }

  /**
   * Removes the counts of a gateway whose link has closed.
   *
   * @param peer - Process id of the gateway
   */
  removePeer(peer: string): void {
    this.peerCounts.remove(peer);
  }

  /**
   * Lists the requests that this gateway has in flight.
   *
   * @returns Counts by upstream, without zeros
   */
  listInFlight(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const [id, load] of this.loads)
      if (load.localInFlight > 0) counts.set(id, load.localInFlight);
    return counts;
  }

  /**
   * Describes the balancer for the `/dump` endpoint.
   *
   * @param now - Current time in milliseconds
   * @returns Load and pace by upstream
   */
  describe(now: number): Record<string, { running: number; pace: number; pausedMs: number }> {
    const described: Record<string, { running: number; pace: number; pausedMs: number }> = {};
    for (const [id, load] of this.loads) {
      described[id] = {
        running: this.countInFlight(id, now),
        pace: Math.round(this.getPace(id).currentPace * 100) / 100,
        pausedMs: Math.max(0, Math.round(load.backoffUntil - now)),
      };
    }
    return described;
  }

  private chooseUpstream(request: ReservationRequest, now: number): Choice {
    const ready = this.sources.listReady(request.service);
    if (ready.length > MIN_SAMPLED_UPSTREAMS) {
      // Counts of other gateways are late: all would choose the same upstream that is idle by these counts.
      const choice = this.chooseAmong(drawSample(ready), request, now);
      if (choice.chosen !== undefined) return choice;
    }
    return this.chooseAmong(ready, request, now);
  }

  private chooseAmong(
    upstreams: readonly UpstreamEntry[],
    request: ReservationRequest,
    now: number,
  ): Choice {
    let chosen: UpstreamEntry | undefined;
    let lowest = Infinity;
    const withoutPermit: Candidate[] = [];
    const engine = this.sources.getService(request.service)?.engine;
    const maxGapMs = engine === undefined ? 0 : this.sources.getMaxGapMs(request.service);
    for (const upstream of upstreams) {
      if (request.excluded.has(upstream.id)) continue;
      const load = this.getLoad(upstream.id);
      if (load.backoffUntil > now || !this.health.isAvailable(upstream.id, now)) continue;
      if (this.pauses.computeRemaining(upstream, now) > 0) continue;
      const running = load.localInFlight + this.peerCounts.getSum(upstream.id, now);
      const limit =
        engine === undefined
          ? upstream.slots
          : this.getPace(upstream.id).computeConcurrencyLimit(maxGapMs, engine);
      if (running >= limit) continue;
      const isLocalZone = upstream.availabilityZone === this.sources.availabilityZone;
      const cost = running + (isLocalZone ? 0 : CROSS_ZONE_LOAD_PENALTY) + Math.random();
      if (this.limiter.checkPermit(upstream, now) === 'missing') {
        withoutPermit.push({ upstream, cost });
        continue;
      }
      if (cost >= lowest) continue;
      lowest = cost;
      chosen = upstream;
    }
    const passedOver: UpstreamEntry[] = [];
    for (const { upstream, cost } of withoutPermit) if (cost < lowest) passedOver.push(upstream);
    return { chosen, passedOver };
  }

  private countInFlight(id: UpstreamId, now: number): number {
    return this.getLoad(id).localInFlight + this.peerCounts.getSum(id, now);
  }

  /** All ranks of a group make each pass together, so they share one pace. */
  private getPace(id: UpstreamId): PaceEstimator {
    const key = this.health.findGroup(id) ?? id;
    let pace = this.paces.get(key);
    if (pace === undefined) {
      pace = new PaceEstimator();
      this.paces.set(key, pace);
    }
    return pace;
  }

  private getLoad(id: UpstreamId): UpstreamLoad {
    let load = this.loads.get(id);
    if (load === undefined) {
      load = {
        localInFlight: 0,
        faults: 0,
        firstFaultAt: 0,
        backoffUntil: 0,
      };
      this.loads.set(id, load);
    }
    return load;
  }
}

function drawSample(upstreams: readonly UpstreamEntry[]): UpstreamEntry[] {
  const sample: UpstreamEntry[] = [];
  for (let count = 0; count < SAMPLE_SIZE; count += 1) {
    const upstream = upstreams[Math.floor(Math.random() * upstreams.length)];
    if (upstream !== undefined) sample.push(upstream);
  }
  return sample;
}
