import type { ServiceId, UpstreamId, WorkspaceId } from '../../ids.js';
import type { UpstreamEntry } from '../../version/routing/types.js';
import type { ObservedPass } from './passForecast.js';

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
}

/** Room of the available upstreams of a service, over all gateways. */
export interface ServiceRoom {
  /** Requests that may run within the pauses that callers accept; `Infinity` without a known limit. */
  readonly limit: number;
  readonly running: number;
}

/** Told about the passes of groups, for metrics and logs. */
export interface GroupPassObserver {
  onPass(group: string, pass: ObservedPass): void;
  /** Called when the room of a group falls below half of its slots, and when it is back. */
  onRoom(group: string, room: { isLow: boolean; room: number; factor: number }): void;
}
