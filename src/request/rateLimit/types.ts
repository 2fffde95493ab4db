import type { UpstreamId, UpstreamIncarnation } from '../../ids.js';
import { toId } from '../../ids.js';
import type { UpstreamEntry } from '../../version/routing/types.js';

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

/** Whether a request may be sent to an upstream. */
export type PermitState = 'unlimited' | 'held' | 'missing';

/** Decides which requests may be sent to upstreams with a rate limit. */
export interface SendLimiter {
  checkPermit(upstream: UpstreamEntry, now: number): PermitState;
  /** Records that a request would have been sent to the upstream if a permit were held. */
  requestPermit(upstream: UpstreamEntry, now: number): void;
  takePermit(upstream: UpstreamEntry, now: number): void;
  /**
   * Estimates when a permit for any of the upstreams will be available.
   *
   * @param upstreams - Upstreams that all have a rate limit
   * @param position - Requests that take a permit up to and including this one
   * @param now - Current time in milliseconds
   * @returns Milliseconds
   */
  estimateDelay(upstreams: readonly UpstreamEntry[], position: number, now: number): number;
}

/** Permits that an issuer has assigned to one gateway. */
export interface IssuedPermits {
  readonly upstream: UpstreamIncarnation;
  /** Requests that the gateway may send; 0 only informs about the rate. */
  readonly count: number;
  /** Rate at which the gateway can expect permits while it wants them. */
  readonly perSecond: number;
}

/** What a gateway tells the issuer of its permits for one upstream. */
export interface PermitDemand {
  readonly isWanted: boolean;
  /** Permits of this issuer that expired since the last message. */
  readonly unused: number;
}
