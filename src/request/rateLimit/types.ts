import type { UpstreamId, UpstreamIncarnation } from '../../ids.js';
import { toId } from '../../ids.js';

/** What the head of a response says about the rate limit of its upstream. */
export type RateLimitStatement =
  | { readonly kind: 'none' }
  /** Requests per second that the upstream takes from all gateways together. */
  | { readonly kind: 'stated'; readonly perSecond: number }
  | { readonly kind: 'invalid'; readonly text: string };

/** One statement of an upstream about its rate limit. */
export interface RateLimitObservation {
  /** Undefined when the response stated no limit. */
  readonly perSecond: number | undefined;
  /** When the request of the response was sent, milliseconds. */
  readonly sentAt: number;
  /** When the head of the response was received, milliseconds. */
  readonly receivedAt: number;
}

/** Effect of an observation on what is known about an upstream. */
export type RateLimitChange =
  | 'started'
  | 'changed'
  | 'ended'
  | 'unchanged'
  /** The observation may be older than what is known. */
  | 'outdated';

/**
 * Identifies one start of an upstream.
 *
 * @param upstream - Id and start time; an upstream that does not report the latter counts as never restarted
 * @returns The identifier
 */
export function toIncarnation(upstream: {
  readonly id: UpstreamId;
  readonly startedAt?: number | undefined;
}): UpstreamIncarnation {
  return toId<UpstreamIncarnation>(`${upstream.id}@${upstream.startedAt ?? 0}`);
}
