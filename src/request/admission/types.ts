import type { ServiceId, UpstreamId, WorkspaceId } from '../../ids.js';
import type { UpstreamEntry } from '../../version/routing/types.js';

/** A request that needs capacity at an upstream. */
export interface ReservationRequest {
  readonly service: ServiceId;
  /** Upstreams that must not be selected, because they have already been tried. */
  readonly excluded: ReadonlySet<UpstreamId>;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAt: number;
  /** Time at which the request is removed from the queue. */
  readonly expiresAt: number;
  /** Maximum estimated wait with which the request is still queued. */
  readonly maxWaitMs: number;
  /** Workspace of the caller; undefined for routes without a key. */
  readonly workspace?: WorkspaceId | undefined;
  /** Target time from arrival to the response, or to the first event of a stream. */
  readonly latencyTargetMs?: number | undefined;
  /** Longest pause between two events that the caller accepts; 0 or undefined for a request that is not a stream. */
  readonly eventGapTargetMs?: number | undefined;
  /** Time after which the caller no longer waits for the complete response. */
  readonly deadlineAt?: number | undefined;
  readonly promptTokens?: number | undefined;
  readonly maxOutputTokens?: number | undefined;
  /** Whether an earlier attempt of the request may have run, so that its priority is raised. */
  readonly isRepeat?: boolean | undefined;
}

/** Capacity reserved for one attempt; further calls of `release` have no effect. */
export interface Reservation {
  readonly upstream: UpstreamEntry;
  /** Less loaded upstreams whose rate limit allowed no request at that time. */
  readonly passedOver: readonly UpstreamId[];
  release(now: number): void;
}

/** Why no capacity was reserved. */
export interface Refusal {
  readonly code: 'no_upstream' | 'overloaded' | 'expired';
  /** Time until capacity is expected, with jitter. */
  readonly retryAfterMs: number;
  /** Length of the queue. */
  readonly waiting: number;
  /** Estimated wait that led to the refusal; 0 when the refusal had another cause. */
  readonly estimatedWaitMs: number;
  /** Upstreams whose rate limits caused the refusal; empty when it had another cause. */
  readonly rateLimited: readonly UpstreamId[];
  /** Line in which the request waited; undefined when it was refused at once. */
  readonly line?: 'first' | 'second' | undefined;
}

/** Room of a service over all its available upstreams and all gateways. */
export interface ServiceRoom {
  /** Requests that may run within the pauses that callers accept; `Infinity` without a known limit. */
  readonly limit: number;
  /** Requests that run. */
  readonly running: number;
}
