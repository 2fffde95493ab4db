import type { ServiceId, UpstreamId } from '../../ids.js';
import type { EngineModel, UpstreamEntry } from '../../version/routing/types.js';
import type { GroupHealth } from './groupHealth.js';
import type { GroupLimit, GroupUse } from './groupRoom.js';
import { computeGroupLimit, computePassLimitMs, GroupAllotment } from './groupRoom.js';
import type { PassLoad } from './passForecast.js';
import { PassForecast } from './passForecast.js';
import type { GroupPassObserver, ServiceRoom } from './types.js';
import { computeReadMs, UnreadPrompts } from './unreadPrompts.js';

/** Age at which the ranks and counts of the groups are read again, unless counts of another gateway arrive before. */
const REFRESH_INTERVAL_MS = 25;
/** Age at which they are read again after counts have arrived, which are far older than this. */
const MIN_REFRESH_INTERVAL_MS = 5;
/** A group whose room falls below this part of its slots is logged, and again when it is back. */
const LOW_ROOM_SHARE = 0.5;

/** What the balancer knows of upstreams and gateways. */
export interface GroupPassSources {
  readonly health: GroupHealth;
  listReady(service: ServiceId): readonly UpstreamEntry[];
  countOwn(id: UpstreamId): number;
  countOthers(id: UpstreamId, now: number): number;
  countGateways(): number;
  /** Shortest pause that the callers of a service accept. */
  getMaxGapMs(service: ServiceId): number;
}

interface GroupState {
  readonly service: ServiceId;
  readonly forecast: PassForecast;
  readonly allotment: GroupAllotment;
  readonly prompts: UnreadPrompts;
  /** A rank of the group; all of them are available or none. */
  member: UpstreamId;
  ranks: number;
  own: number;
  others: number;
  limit: GroupLimit;
  maxGapMs: number;
  isLow: boolean;
  isAvailable: boolean;
  /** Number and result of the last decision on the group. */
  decision: number;
  hasRoom: boolean;
}

/** Room of the groups of ranks, for which all ranks of a group count together. An upstream without a group is its own. */
export class GroupPasses {
  private readonly groups = new Map<string, GroupState>();
  private readonly refreshedAt = new Map<ServiceId, number>();
  private readonly stateOf = new Map<UpstreamId, GroupState>();
  private groupRevision = -1;
  private hasNewCounts = false;
  private decision = 0;

  constructor(
    private readonly sources: GroupPassSources,
    private readonly observer: GroupPassObserver | undefined,
  ) {}

  /** Notes that counts of another gateway have arrived or expired. */
  invalidate(): void {
    this.hasNewCounts = true;
  }

  /**
   * Prepares a decision: reads ranks, counts and limits of the groups of a service, if they are not recent.
   *
   * @param service - Service with an engine model
   * @param engine - Speed of a rank
   * @param now - Current time in milliseconds
   * @param ready - Upstreams of the service, if the caller has listed them
   */
  refresh(
    service: ServiceId,
    engine: EngineModel,
    now: number,
    ready?: readonly UpstreamEntry[],
  ): void {
    this.decision += 1;
    const { health } = this.sources;
    if (health.revision !== this.groupRevision) {
      this.refreshedAt.clear();
      this.stateOf.clear();
    }
    this.groupRevision = health.revision;
    const intervalMs = this.hasNewCounts ? MIN_REFRESH_INTERVAL_MS : REFRESH_INTERVAL_MS;
    if (now - (this.refreshedAt.get(service) ?? -Infinity) < intervalMs) return;
    this.hasNewCounts = false;
    this.refreshedAt.set(service, now);
    for (const state of this.groups.values()) {
      if (state.service !== service) continue;
      state.ranks = 0;
      state.own = 0;
      state.others = 0;
    }
    for (const { id } of ready ?? this.sources.listReady(service)) {
      const state = this.getState(id, service);
      state.member = id;
      state.ranks += 1;
      state.own += this.sources.countOwn(id);
      state.others += this.sources.countOthers(id, now);
    }
    const maxGapMs = this.sources.getMaxGapMs(service);
    for (const [group, state] of this.groups) {
      if (state.service !== service) continue;
      if (state.ranks === 0) {
        this.groups.delete(group);
        this.stateOf.clear();
      } else this.updateGroup(group, state, { maxGapMs, engine, now });
    }
  }

  /**
   * Checks whether a group may take one more request now. All ranks of a group get the same answer in one decision.
   *
   * @param upstream - Upstream of the group
   * @param promptTokens - Length of the prompt of the request
   * @param engine - Speed of a rank
   * @param now - Current time in milliseconds
   * @returns Whether its next passes are expected to stay within the accepted pause
   */
  hasRoom(
    upstream: UpstreamEntry,
    promptTokens: number,
    engine: EngineModel,
    now: number,
  ): boolean {
    const state = this.getState(upstream.id, upstream.service);
    if (state.decision === this.decision) return state.hasRoom;
    state.decision = this.decision;
    state.hasRoom =
      state.allotment.hasRoom(this.describeUse(state), now) &&
      (promptTokens === 0 || this.hasTimeToRead(state, promptTokens, engine, now));
    return state.hasRoom;
  }

  /**
   * Computes how much of its room a group uses, for the choice between groups.
   *
   * @param upstream - Upstream of the group
   * @returns 1 for a full group, more than 1 for one whose pauses are too long in any case
   */
  computeFill(upstream: UpstreamEntry): number {
    const { own, others, limit } = this.getState(upstream.id, upstream.service);
    return (own + others) / limit.requests + (limit.isSlow ? 1 : 0);
  }

  /**
   * Records the start of a request.
   *
   * @param upstream - Upstream that was chosen
   * @param promptTokens - Length of its prompt
   * @param now - Current time in milliseconds
   * @returns Records its end
   */
  recordStart(upstream: UpstreamEntry, promptTokens: number, now: number): () => void {
    const state = this.getState(upstream.id, upstream.service);
    state.own += 1;
    state.allotment.recordStart();
    state.prompts.add(promptTokens, now);
    return () => {
      state.own -= 1;
      state.allotment.recordEnd(this.describeUse(state));
    };
  }

  /**
   * Records the time between two events of a stream.
   *
   * @param upstream - Upstream of the stream
   * @param gapMs - Milliseconds between the events
   * @param engine - Speed of a rank
   * @param now - Current time in milliseconds
   */
  recordGap(upstream: UpstreamEntry, gapMs: number, engine: EngineModel, now: number): void {
    this.refresh(upstream.service, engine, now);
    const state = this.getState(upstream.id, upstream.service);
    const pass = state.forecast.recordGap(gapMs, describeLoad(state), engine, now);
    if (pass !== undefined) this.observer?.onPass(this.findGroup(upstream.id), pass);
  }

  /**
   * Sums the room of the groups of a service that take work.
   *
   * @param service - Service with an engine model
   * @param engine - Speed of a rank
   * @param now - Current time in milliseconds
   * @returns Requests that may run and that run, over all gateways
   */
  measureRoom(service: ServiceId, engine: EngineModel, now: number): ServiceRoom {
    this.refresh(service, engine, now);
    let limit = 0;
    let running = 0;
    for (const state of this.groups.values()) {
      if (state.service !== service || !this.sources.health.isAvailable(state.member, now))
        continue;
      limit += state.limit.requests;
      running += state.own + state.others;
    }
    return { limit, running };
  }

  /** Describes the groups for the `/dump` endpoint. */
  describe(): Record<string, GroupDescription> {
    const described: Record<string, GroupDescription> = {};
    for (const [group, { forecast, ranks, own, others, limit }] of this.groups) {
      described[group] = {
        ranks,
        running: own + others,
        room: limit.requests,
        factor: Math.round(forecast.currentFactor * 100) / 100,
        cautiousFactor: Math.round(forecast.cautiousFactor * 100) / 100,
        lastPassMs: Math.round(forecast.lastPassMs),
      };
    }
    return described;
  }

  private hasTimeToRead(
    state: GroupState,
    promptTokens: number,
    engine: EngineModel,
    now: number,
  ): boolean {
    const { forecast, prompts, own, others } = state;
    const load = describeLoad(state);
    const passMs = forecast.forecastPassMs(load, engine);
    const sentTokens = prompts.sumTokens(passMs, now);
    // Without this, a prompt that takes longer to read than a pause may last would never be sent.
    if (sentTokens === 0) return true;
    const ownShare = own / (own + others);
    const tokens = (sentTokens + promptTokens) / Math.max(ownShare, 1 / this.countGateways());
    const readMs = computeReadMs(tokens, load, forecast.cautiousFactor, engine);
    return passMs + readMs <= computePassLimitMs(state.maxGapMs);
  }

  private updateGroup(
    group: string,
    state: GroupState,
    { maxGapMs, engine, now }: { maxGapMs: number; engine: EngineModel; now: number },
  ): void {
    const isAvailable = this.sources.health.isAvailable(state.member, now);
    // A group that has re-formed has its initial map again.
    if (isAvailable && !state.isAvailable) state.forecast.reset();
    state.isAvailable = isAvailable;
    state.maxGapMs = maxGapMs;
    state.limit = computeGroupLimit(state.forecast, state.ranks, maxGapMs, engine);
    const isLow = state.limit.requests < state.ranks * engine.slots * LOW_ROOM_SHARE;
    if (isLow === state.isLow) return;
    state.isLow = isLow;
    const { cautiousFactor: factor } = state.forecast;
    this.observer?.onRoom(group, { isLow, room: state.limit.requests, factor });
  }

  private describeUse({ own, others, limit }: GroupState): GroupUse {
    const running = own + others;
    return { limit: limit.requests, running, own, gateways: this.countGateways() };
  }

  private countGateways(): number {
    return this.sources.countGateways();
  }

  private findGroup(id: UpstreamId): string {
    return this.sources.health.findGroup(id) ?? id;
  }

  private getState(id: UpstreamId, service: ServiceId): GroupState {
    const known = this.stateOf.get(id);
    if (known !== undefined) return known;
    const state = this.findOrCreateState(id, service);
    this.stateOf.set(id, state);
    return state;
  }

  private findOrCreateState(id: UpstreamId, service: ServiceId): GroupState {
    const group = this.findGroup(id);
    let state = this.groups.get(group);
    if (state === undefined) {
      state = {
        service,
        forecast: new PassForecast(),
        allotment: new GroupAllotment(),
        prompts: new UnreadPrompts(),
        member: id,
        ranks: 0,
        own: 0,
        others: 0,
        limit: { requests: 0, isSlow: false },
        maxGapMs: Infinity,
        isLow: false,
        isAvailable: true,
        decision: -1,
        hasRoom: false,
      };
      this.groups.set(group, state);
    }
    return state;
  }
}

/** State of a group for operators. */
export interface GroupDescription {
  readonly ranks: number;
  readonly running: number;
  readonly room: number;
  readonly factor: number;
  readonly cautiousFactor: number;
  readonly lastPassMs: number;
}

function describeLoad({ own, others, ranks }: GroupState): PassLoad {
  return { running: own + others, ranks: Math.max(ranks, 1) };
}
