import type { AvailabilityZoneId, ServiceId, UpstreamId } from '../../ids.js';
import type { ServiceDefinition, UpstreamEntry } from '../../version/routing/types.js';
import { GroupHealth } from './groupHealth.js';
import { GroupPace } from './groupPace.js';
import type { Place, PlaceRequest } from './types.js';

/** A fault keeps new work away for this long; doubled for each further fault in a row. */
const FAULT_PAUSE_MS = 400;
const MAX_FAULT_PAUSE_MS = 3_200;
/** Gateways learn of each other's sends about 60 ms late; older counts of a silent gateway are dropped. */
const PEER_COUNT_TTL_MS = 3_000;
/** Between equally loaded upstreams the own zone goes first; worth less than one request. */
const OTHER_ZONE_COST = 0.4;

interface UpstreamLoad {
  ownRunning: number;
  faults: number;
  /** When the first fault since the last whole answer was noted. */
  faultyAt: number;
  pausedUntil: number;
  readonly pace: GroupPace;
}

interface PeerCounts {
  readonly at: number;
  readonly counts: ReadonlyMap<string, number>;
}

/** What the board needs to know of the fleet. */
export interface PlaceSources {
  readonly availabilityZone: AvailabilityZoneId;
  listReady(service: ServiceId): readonly UpstreamEntry[];
  getService(service: ServiceId): ServiceDefinition | undefined;
  /** Longest pause between events that the streams of a service allow. */
  getMaxGapMs(service: ServiceId): number;
}

/** Counts who runs where and chooses the upstream of the next attempt. */
export class PlaceBoard {
  readonly health = new GroupHealth();
  private readonly loads = new Map<UpstreamId, UpstreamLoad>();
  private readonly peers = new Map<string, PeerCounts>();

  constructor(private readonly sources: PlaceSources) {}

  /**
   * Takes a place at the least loaded upstream that has one free.
   *
   * @param request - What asks for the place
   * @param now - Milliseconds
   * @returns The place, or undefined when none is free
   */
  takePlace(request: PlaceRequest, now: number): Place | undefined {
    const chosen = this.chooseUpstream(request, now);
    if (chosen === undefined) return undefined;
    const load = this.getLoad(chosen.id);
    load.ownRunning += 1;
    const noteEnd = this.health.noteStart(chosen.id, now);
    let isReleased = false;
    return {
      upstream: chosen,
      release: (endedAt) => {
        if (isReleased) return;
        isReleased = true;
        load.ownRunning -= 1;
        noteEnd(endedAt);
      },
    };
  }

  /**
   * Checks whether any upstream of the service may be used at all.
   *
   * @param request - What asks for a place
   * @returns False when every upstream is gone, draining or excluded
   */
  hasUpstream(request: Pick<PlaceRequest, 'service' | 'excluded'>): boolean {
    for (const upstream of this.sources.listReady(request.service)) {
      if (!request.excluded.has(upstream.id)) return true;
    }
    return false;
  }

  /**
   * Finds since when no upstream of a service has taken work.
   *
   * @param request - What asks for a place
   * @param now - Milliseconds
   * @returns When the last of them went, or undefined while one goes on
   */
  findOutageStart(
    request: Pick<PlaceRequest, 'service' | 'excluded'>,
    now: number,
  ): number | undefined {
    let latest: number | undefined;
    for (const { id } of this.sources.listReady(request.service)) {
      if (request.excluded.has(id)) continue;
      const { pausedUntil, faultyAt } = this.getLoad(id);
      const startedAt =
        this.health.findOutageStart(id, now) ?? (pausedUntil > now ? faultyAt : undefined);
      if (startedAt === undefined) return undefined;
      latest = Math.max(latest ?? -Infinity, startedAt);
    }
    return latest;
  }

  /**
   * Checks whether an upstream holds as many requests as it has slots.
   *
   * @param upstream - Upstream entry
   * @param now - Milliseconds
   * @returns True when it may refuse for want of a slot
   */
  isFull(upstream: UpstreamEntry, now: number): boolean {
    return this.countRunning(upstream.id, now) >= upstream.slots;
  }

  /**
   * Notes that an attempt failed because of its upstream.
   *
   * @param upstream - Upstream at fault
   * @param now - Milliseconds
   */
  noteFault(upstream: UpstreamId, now: number): void {
    const load = this.getLoad(upstream);
    const pause = Math.min(FAULT_PAUSE_MS * 2 ** load.faults, MAX_FAULT_PAUSE_MS);
    if (load.faults === 0) load.faultyAt = now;
    load.faults += 1;
    load.pausedUntil = Math.max(load.pausedUntil, now + pause);
  }

  /**
   * Notes a whole answer.
   *
   * @param upstream - Upstream that answered
   */
  noteSuccess(upstream: UpstreamId): void {
    this.getLoad(upstream).faults = 0;
  }

  /**
   * Notes the time between two events of a stream.
   *
   * @param upstream - Upstream entry
   * @param gapMs - Milliseconds
   * @param now - Milliseconds
   */
  notePass(upstream: UpstreamEntry, gapMs: number, now: number): void {
    const engine = this.sources.getService(upstream.service)?.engine;
    if (engine === undefined) return;
    this.getLoad(upstream.id).pace.notePass(gapMs, this.countRunning(upstream.id, now), engine);
  }

  /**
   * Takes over the counts that another gateway sent.
   *
   * @param peer - Process id of the gateway
   * @param counts - Requests that it has running, by upstream
   * @param now - Milliseconds
   */
  applyPeerCounts(peer: string, counts: ReadonlyMap<string, number>, now: number): void {
    this.peers.set(peer, { at: now, counts });
  }

  /**
   * Forgets a gateway whose link has ended.
   *
   * @param peer - Process id of the gateway
   */
  forgetPeer(peer: string): void {
    this.peers.delete(peer);
  }

  /**
   * Lists the requests that this gateway has running.
   *
   * @returns Counts by upstream, without zeros
   */
  listOwnCounts(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const [id, load] of this.loads) if (load.ownRunning > 0) counts.set(id, load.ownRunning);
    return counts;
  }

  /**
   * Describes the board for the dump.
   *
   * @param now - Milliseconds
   * @returns Load and pace by upstream
   */
  describe(now: number): Record<string, { running: number; pace: number; pausedMs: number }> {
    const described: Record<string, { running: number; pace: number; pausedMs: number }> = {};
    for (const [id, load] of this.loads) {
      described[id] = {
        running: this.countRunning(id, now),
        pace: Math.round(load.pace.currentPace * 100) / 100,
        pausedMs: Math.max(0, Math.round(load.pausedUntil - now)),
      };
    }
    return described;
  }

  private chooseUpstream(request: PlaceRequest, now: number): UpstreamEntry | undefined {
    let chosen: UpstreamEntry | undefined;
    let lowest = Infinity;
    for (const upstream of this.sources.listReady(request.service)) {
      if (request.excluded.has(upstream.id)) continue;
      const load = this.getLoad(upstream.id);
      if (load.pausedUntil > now || !this.health.isUsable(upstream.id, now)) continue;
      const running = this.countRunning(upstream.id, now);
      if (running >= this.computePlaces(upstream)) continue;
      const isOwnZone = upstream.availabilityZone === this.sources.availabilityZone;
      const cost = running + (isOwnZone ? 0 : OTHER_ZONE_COST) + Math.random();
      if (cost >= lowest) continue;
      lowest = cost;
      chosen = upstream;
    }
    return chosen;
  }

  private computePlaces(upstream: UpstreamEntry): number {
    const engine = this.sources.getService(upstream.service)?.engine;
    if (engine === undefined) return upstream.slots;
    const maxGapMs = this.sources.getMaxGapMs(upstream.service);
    return this.getLoad(upstream.id).pace.computePlaces(maxGapMs, engine);
  }

  private countRunning(id: UpstreamId, now: number): number {
    let running = this.getLoad(id).ownRunning;
    for (const [peer, { at, counts }] of this.peers) {
      if (now - at > PEER_COUNT_TTL_MS) this.peers.delete(peer);
      else running += counts.get(id) ?? 0;
    }
    return running;
  }

  private getLoad(id: UpstreamId): UpstreamLoad {
    let load = this.loads.get(id);
    if (load === undefined) {
      load = { ownRunning: 0, faults: 0, faultyAt: 0, pausedUntil: 0, pace: new GroupPace() };
      this.loads.set(id, load);
    }
    return load;
  }
}
