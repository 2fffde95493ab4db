import type { ServiceId, UpstreamIncarnation } from '../../ids.js';
import { toId } from '../../ids.js';
import type { Logger } from '../../process/logging.js';
import type { Metrics } from '../../process/metrics.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { ServiceDefinition, UpstreamEntry } from '../../version/routing/types.js';
import { defaults } from '../../defaults.js';
import { toIncarnation } from './types.js';

/** A later end within this time is not told to the other gateways: reads of one statement differ by their age. */
const END_TOLERANCE_MS = 500;
/** Starts that are remembered beyond those listed; one that is listed again after an outage of the store is not new. */
const MAX_UNLISTED_STARTS = 1_000;
/** Bounds what other gateways can add. */
const MAX_COLD_UPSTREAMS = 10_000;

export interface ColdLimitsOptions {
  readonly getService: (service: ServiceId) => ServiceDefinition | undefined;
  /** Sends a message to all gateways that know its type. */
  readonly broadcast: (message: Message) => void;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'addCount'>;
}

interface ColdUpstream {
  readonly service: ServiceId;
  readonly endsAt: number;
  /** End as last told to the other gateways. */
  readonly toldEndsAt: number;
}

type ToldUpstreams = MessageOf<'coldUpstreams'>['upstreams'];

/**
 * Upstreams that are cold, and the requests per second that they take meanwhile.
 *
 * An upstream states in its entry for how long it stays cold. One that was not listed before counts as cold for the
 * time that its service states, in case its entry says nothing yet. The end is never brought forward: a statement may
 * be old, repeated by a store that is behind, or contradict an earlier one. All times are monotonic: a step of the wall
 * clock must not end a cold time early.
 */
export class ColdLimits {
  private readonly cold = new Map<UpstreamIncarnation, ColdUpstream>();
  /** Heartbeat of the last applied statement of each known start. */
  private readonly known = new Map<UpstreamIncarnation, number | undefined>();
  private hasBaseline = false;

  constructor(private readonly options: ColdLimitsOptions) {}

  /**
   * Applies the statements of a listing, before any request can be sent on the strength of it.
   *
   * @param entries - Listing
   * @param now - Current time in milliseconds; statements count from then, as they may be as young as that
   */
  observeListing(entries: readonly UpstreamEntry[], now: number): void {
    const extended: UpstreamIncarnation[] = [];
    for (const entry of entries) {
      const incarnation = toIncarnation(entry);
      const { coldMs, isStated } = this.computeColdTime(entry, incarnation);
      this.known.delete(incarnation);
      this.known.set(incarnation, entry.heartbeat);
      if (coldMs === 0) continue;
      const isLater = this.extend(incarnation, entry.service, now + coldMs, 'entry');
      // The others learn a new start from the same list.
      if (isLater && isStated) extended.push(incarnation);
    }
    this.hasBaseline ||= entries.length > 0;
    for (const oldest of this.known.keys()) {
      if (this.known.size <= entries.length + MAX_UNLISTED_STARTS) break;
      this.known.delete(oldest);
    }
    if (extended.length > 0) this.notifyGateways(extended, now);
  }

  /**
   * Treats upstreams as cold that return to service, for the time that their service states: they may have become cold
   * since their entries were read.
   *
   * @param entries - Upstreams
   * @param now - Current time in milliseconds
   */
  markCold(entries: readonly UpstreamEntry[], now: number): void {
    for (const entry of entries) {
      const coldMs = this.options.getService(entry.service)?.coldStartMs ?? 0;
      if (coldMs > 0) this.extend(toIncarnation(entry), entry.service, now + coldMs, 'return');
    }
  }

  /**
   * Applies what another gateway knows.
   *
   * @param upstreams - Cold upstreams with the time that remained when it was sent
   * @param sender - Process id of the other gateway
   * @param now - Current time in milliseconds
   */
  receive(upstreams: ToldUpstreams, sender: string, now: number): void {
    for (const { upstream, service, remainingMs } of upstreams) {
      const endsAt = now + Math.min(remainingMs, defaults.maxColdMs);
      this.extend(toId<UpstreamIncarnation>(upstream), toId<ServiceId>(service), endsAt, sender);
    }
  }

  /**
   * Creates the messages for a gateway that has just been linked.
   *
   * @param now - Current time in milliseconds
   * @returns A message with all cold upstreams, none while all are warm
   */
  createMessages(now: number): Message[] {
    return this.cold.size === 0 ? [] : [{ type: 'coldUpstreams', upstreams: this.encode(now) }];
  }

  /**
   * Encodes the cold upstreams for other gateways.
   *
   * @param now - Current time in milliseconds
   * @param upstreams - Those to encode, all by default
   * @returns Upstreams with the time that remains
   */
  encode(now: number, upstreams: Iterable<UpstreamIncarnation> = this.cold.keys()): ToldUpstreams {
    const encoded: ToldUpstreams = [];
    for (const upstream of upstreams) {
      const cold = this.cold.get(upstream);
      if (cold === undefined) continue;
      const { service, endsAt } = cold;
      encoded.push({ upstream, service, remainingMs: Math.max(0, endsAt - now) });
    }
    return encoded;
  }

  /**
   * Removes the upstreams whose cold time has ended.
   *
   * @param now - Current time in milliseconds
   */
  expire(now: number): void {
    for (const [upstream, { endsAt }] of this.cold) {
      if (endsAt > now) continue;
      this.cold.delete(upstream);
      this.options.logger.info({ upstream }, 'upstream is warm');
    }
  }

  /**
   * Finds the limit of a cold upstream.
   *
   * @param upstream - Start of the upstream
   * @returns Requests per second from all gateways together, or undefined if it is warm or its service states no limit
   */
  find(upstream: UpstreamIncarnation): number | undefined {
    const service = this.cold.get(upstream)?.service;
    if (service === undefined) return undefined;
    const perSecond = this.options.getService(service)?.coldRequestsPerSecond ?? 0;
    return perSecond > 0 ? perSecond : undefined;
  }

  /**
   * Lists the cold upstreams.
   *
   * @returns Upstreams whose cold time had not ended at the last call of `expire`
   */
  list(): ReadonlyMap<UpstreamIncarnation, unknown> {
    return this.cold;
  }

  /** False while all upstreams are warm, which spares the look-up for each request. */
  get hasCold(): boolean {
    return this.cold.size > 0;
  }

  /**
   * Describes the cold upstreams for the `/dump` endpoint.
   *
   * @param now - Current time in milliseconds
   * @returns Remaining time and limit by upstream
   */
  describe(now: number): Record<string, { remainingMs: number; perSecond: number | null }> {
    const described: Record<string, { remainingMs: number; perSecond: number | null }> = {};
    for (const [upstream, { endsAt }] of this.cold) {
      const perSecond = this.find(upstream) ?? null;
      described[upstream] = { remainingMs: Math.round(endsAt - now), perSecond };
    }
    return described;
  }

  /** A statement that has already been applied counts as 0, because its time has run since. */
  private computeColdTime(
    entry: UpstreamEntry,
    incarnation: UpstreamIncarnation,
  ): { readonly coldMs: number; readonly isStated: boolean } {
    const isKnown = this.known.has(incarnation);
    const isRepeated = isKnown && this.known.get(incarnation) === entry.heartbeat;
    const statedMs = isRepeated ? 0 : Math.min(entry.coldRemainingMs ?? 0, defaults.maxColdMs);
    const isNewStart = this.hasBaseline && !isKnown;
    const startMs = isNewStart ? (this.options.getService(entry.service)?.coldStartMs ?? 0) : 0;
    const coldMs = Math.min(Math.max(statedMs, startMs), defaults.maxColdMs);
    return { coldMs, isStated: statedMs > 0 };
  }

  /** Returns whether the other gateways should be told. */
  private extend(
    upstream: UpstreamIncarnation,
    service: ServiceId,
    endsAt: number,
    source: string,
  ): boolean {
    const known = this.cold.get(upstream);
    if (endsAt <= (known?.endsAt ?? -Infinity)) return false;
    if (known === undefined && this.cold.size >= MAX_COLD_UPSTREAMS) return false;
    const toldEndsAt = known?.toldEndsAt ?? -Infinity;
    this.cold.set(upstream, { service, endsAt, toldEndsAt });
    if (known === undefined) {
      this.options.metrics.addCount('upstreams_cold');
      const perSecond = this.find(upstream);
      const limit = perSecond === undefined ? {} : { perSecond };
      this.options.logger.info({ upstream, source, ...limit }, 'upstream is cold');
    }
    return endsAt > toldEndsAt + END_TOLERANCE_MS;
  }

  private notifyGateways(upstreams: readonly UpstreamIncarnation[], now: number): void {
    for (const upstream of upstreams) {
      const cold = this.cold.get(upstream);
      if (cold !== undefined) this.cold.set(upstream, { ...cold, toldEndsAt: cold.endsAt });
    }
    this.options.broadcast({ type: 'coldUpstreams', upstreams: this.encode(now, upstreams) });
  }
}
