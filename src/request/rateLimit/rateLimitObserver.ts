import type { UpstreamId, UpstreamIncarnation } from '../../ids.js';
import type { ResponseHead } from '../../process/gateway/types.js';
import type { Logger } from '../../process/logging.js';
import type { Metrics } from '../../process/metrics.js';
import type { UpstreamEntry } from '../../version/routing/types.js';
import type { RateLimitRecords } from './rateLimitRecords.js';
import type { RateLimitChange, RateLimitObservation, RateLimitStatement } from './types.js';
import { toIncarnation } from './types.js';

/** All gateways together send one upstream far fewer requests, so a limit from here on is none. */
const MAX_LIMIT_PER_SECOND = 1_000;

/** Log messages by change; other outcomes of an observation are not logged. */
const changeMessages: Readonly<Partial<Record<RateLimitChange, string>>> = {
  started: 'upstream has a rate limit',
  changed: 'rate limit of an upstream changed',
  ended: 'rate limit of an upstream ended',
};

export interface RateLimitObserverOptions {
  readonly records: RateLimitRecords;
  /** Whether an upstream has a limit because it is cold. */
  readonly isCold?: (upstream: UpstreamIncarnation) => boolean;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called when a response has changed a record, to notify the other gateways. */
  readonly onResponseChange: (upstream: UpstreamIncarnation, now: number) => void;
}

/** A response whose head has been received. */
export interface ObservedResponse {
  readonly upstream: UpstreamEntry;
  readonly head: ResponseHead;
  /** Id of the request that was sent. */
  readonly requestId: string | undefined;
  readonly sentAt: number;
}

/** Records, logs and counts what upstreams state about their rate limits. */
export class RateLimitObserver {
  private readonly invalidUpstreams = new Set<UpstreamIncarnation>();

  constructor(private readonly options: RateLimitObserverOptions) {}

  /**
   * Applies the statement in the head of a response.
   *
   * @param response - The response and the request that it answers
   * @param now - Current time in milliseconds
   * @returns Effect of the statement
   */
  observeResponse(response: ObservedResponse, now: number): RateLimitChange {
    const { upstream, head, requestId, sentAt } = response;
    const incarnation = toIncarnation(upstream);
    const isOwn = head.requestId === requestId && !head.isEncoded;
    if (head.isInstanceMismatch || (!isOwn && !head.isNotExecuted)) return 'unchanged';
    if (head.rateLimit.kind === 'invalid') {
      this.logInvalid(incarnation, upstream, head.rateLimit.text);
      return 'unchanged';
    }
    const perSecond = findEffectiveLimit(head.rateLimit);
    // An unsigned response may come from an intermediary, which does not know the limit.
    if (perSecond === undefined && !(isOwn && head.isSigned)) return 'unchanged';
    const observation = { perSecond, sentAt, receivedAt: now };
    const change = this.observe(incarnation, observation, 'response');
    if (changeMessages[change] !== undefined) this.options.onResponseChange(incarnation, now);
    return change;
  }

  /**
   * Applies a statement and logs the change.
   *
   * @param upstream - Upstream that made the statement
   * @param observation - The statement and its times
   * @param source - `response`, or the process id of the gateway that received it
   * @returns Effect of the statement
   */
  observe(
    upstream: UpstreamIncarnation,
    observation: RateLimitObservation,
    source: string,
  ): RateLimitChange {
    const { records, logger, metrics } = this.options;
    const previous = records.find(upstream)?.perSecond;
    const change = records.observe(upstream, observation);
    const message = changeMessages[change];
    if (message === undefined) return change;
    metrics.addCount(`rate_limit_${change}`);
    const { perSecond } = observation;
    logger.info(
      {
        upstream,
        source,
        ...(perSecond === undefined ? {} : { perSecond }),
        ...(previous === undefined ? {} : { previous }),
      },
      message,
    );
    return change;
  }

  /**
   * Counts a request that is sent to an upstream, if the upstream has a rate limit.
   *
   * @param upstream - Upstream entry
   */
  countSend(upstream: UpstreamEntry): void {
    const { records, isCold } = this.options;
    const incarnation = toIncarnation(upstream);
    const isLimited = records.find(incarnation)?.perSecond !== undefined;
    if (!isLimited && isCold?.(incarnation) !== true) return;
    this.countUses('sends', [upstream.id]);
  }

  /**
   * Counts what became of requests because of rate limits.
   *
   * @param use - Requests that were sent, went to another upstream instead, or were refused
   * @param upstreams - Upstreams with a rate limit
   */
  countUses(use: 'sends' | 'skips' | 'refusals', upstreams: readonly UpstreamId[]): void {
    for (const id of upstreams) {
      this.options.metrics.addCount(`rate_limited_${use}`);
      this.options.metrics.addCount(`rate_limited_${use}_of_${toMetricName(id)}`);
    }
  }

  private logInvalid(
    incarnation: UpstreamIncarnation,
    { id, service }: UpstreamEntry,
    value: string,
  ): void {
    this.options.metrics.addCount('rate_limit_invalid');
    if (this.invalidUpstreams.has(incarnation)) return;
    this.invalidUpstreams.add(incarnation);
    this.options.logger.warn({ upstream: id, service, value }, 'ignored an invalid rate limit');
  }
}

function findEffectiveLimit(statement: RateLimitStatement): number | undefined {
  const isEffective = statement.kind === 'stated' && statement.perSecond < MAX_LIMIT_PER_SECOND;
  return isEffective ? statement.perSecond : undefined;
}

function toMetricName(id: string): string {
  return id.replace(/[^a-zA-Z0-9]/g, '_');
}
