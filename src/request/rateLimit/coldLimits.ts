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
/** Starts of upstreams that are remembered; one that is listed again after an outage of the store is not new. */
const MAX_KNOWN_STARTS = 4_000;

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
}

/**
 * Upstreams that are cold, and the requests per second that they take meanwhile.
 *
 * An upstream states in its entry for how long it stays cold. One that was not listed before counts as cold for the time
 * that its service states, in case its entry says nothing yet. The end is never brought forward: a statement may be old,
 * repeated by a store that is behind, or contradict an earlier one.
 */
export class ColdLimits {
  private readonly cold = new Map<UpstreamIncarnation, ColdUpstream>();
  /** Heartbeat of the last applied statement of each known start. */
  private readonly known = new Map<UpstreamIncarnation, number | undefined>();
  private observed: readonly UpstreamEntry[] | undefined;
  private hasBaseline = false;

  constructor(private readonly options: ColdLimitsOptions) {}

  /**
   * Applies the statements of a listing.
   *
   * @param entries - Current listing; a new array whenever it was read again
   * @param readStartedAt - When the read was sent, milliseconds
   */
  observeListing(entries: readonly UpstreamEntry[], readStartedAt: number): void {
    if (entries === this.observed) return;
    this.observed = entries;
    const extended: UpstreamIncarnation[] = [];
    for (const entry of entries) {
      const incarnation = toIncarnation(entry);
      const { coldMs, isStated } = this.computeColdTime(entry, incarnation);
      this.known.delete(incarnation);
      this.known.set(incarnation, entry.heartbeat);
      if (coldMs === 0) continue;
      const isLater = this.extend(incarnation, entry.service, readStartedAt + coldMs, 'entry');
      // The others learn a new start from the same list.
      if (isLater && isStated) extended.push(incarnation);
    }
    this.hasBaseline ||= entries.length > 0;
    for (const oldest of this.known.keys()) {
      if (this.known.size <= MAX_KNOWN_STARTS) break;
      this.known.delete(oldest);
    }
    if (extended.length > 0) this.options.broadcast(this.createMessage(extended, readStartedAt));
  }

  /**
   * Applies what another gateway knows.
   *
   * @param message - Cold upstreams with the time that remains
   * @param sender - Process id of the other gateway
   * @param now - Current time in milliseconds
   */
  receive(message: MessageOf<'coldUpstreams'>, sender: string, now: number): void {
    for (const { upstream, service, remainingMs } of message.upstreams) {
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
    return this.cold.size === 0 ? [] : [this.createMessage([...this.cold.keys()], now)];
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
    return { coldMs: Math.max(statedMs, startMs), isStated: statedMs > 0 };
  }

  /** Returns whether the other gateways should be told. */
  private extend(
    upstream: UpstreamIncarnation,
    service: ServiceId,
    endsAt: number,
    source: string,
  ): boolean {
    const limit = this.options.getService(service)?.coldRequestsPerSecond ?? 0;
    if (limit <= 0) return false;
    const known = this.cold.get(upstream);
    const knownEndsAt = known?.endsAt ?? -Infinity;
    if (endsAt <= knownEndsAt || !Number.isFinite(endsAt)) return false;
    this.cold.set(upstream, { service, endsAt });
    if (known === undefined) {
      this.options.metrics.addCount('upstreams_cold');
      this.options.logger.info({ upstream, source, perSecond: limit }, 'upstream is cold');
    }
    return endsAt > knownEndsAt + END_TOLERANCE_MS;
  }

  private createMessage(upstreams: readonly UpstreamIncarnation[], now: number): Message {
    const entries: MessageOf<'coldUpstreams'>['upstreams'] = [];
    for (const upstream of upstreams) {
      const cold = this.cold.get(upstream);
      if (cold === undefined) continue;
      const { service, endsAt } = cold;
      entries.push({ upstream, service, remainingMs: Math.max(0, endsAt - now) });
    }
    return { type: 'coldUpstreams', upstreams: entries };
  }
}
