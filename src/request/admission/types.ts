import type { ServiceId, UpstreamId, WorkspaceId } from '../../ids.js';
import type { RefusalCause } from './admissionDecision.js';
import type { UpstreamEntry } from '../../version/routing/types.js';

/** A request that needs capacity at an upstream, for its first send or for a repeat. */
export interface ReservationRequest {
  readonly service: ServiceId;
  /** Name of its route, whose measured durations tell the work that is left. */
  readonly route: string;
  /** Upstreams that must not be selected, because they have already been tried. */
  readonly excluded: ReadonlySet<UpstreamId>;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Arrival of the request of the caller, also for a repeat. */
  readonly arrivedAt: number;
  /** Time after which the caller no longer waits for the complete response. */
  readonly deadlineAt: number;
  /** Time at which the caller leaves a stream without an event; undefined for other requests. */
  readonly leavesAt?: number | undefined;
  /** Whether its caller has received events of an earlier attempt, so that only an unknown rest is missing. */
  readonly isResumed?: boolean | undefined;
  /** Workspace of the caller; undefined for routes without a key. */
  readonly workspace?: WorkspaceId | undefined;
  /** Target of the route, which stands in for durations until some have been measured. */
  readonly latencyTargetMs: number;
}

/** Capacity reserved for one attempt; further calls of `release` have no effect. */
export interface Reservation {
  readonly upstream: UpstreamEntry;
  readonly reservedAt: number;
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
  /** What made the wait too long; undefined when nothing did. */
  readonly cause?: RefusalCause | undefined;
  /** Time for which the request waited; 0 when it was refused at once. */
  readonly waitedMs: number;
}

/** Room of a service over all its available upstreams and all gateways. */
export interface ServiceRoom {
  /** Requests that may run: within the pauses that callers accept, or in the slots of the upstreams. */
  readonly limit: number;
  /** Requests that might run if all listed upstreams were available. */
  readonly listedLimit: number;
  /** Requests that run. */
  readonly running: number;
  /** Gateways that share the room, with this one. */
  readonly gateways: number;
  /** Duration of a typical request by the model of the engines, in milliseconds; undefined for other upstreams. */
  readonly modelledRunMs?: number | undefined;
  /** Whether a request too many slows the others down, instead of being refused by its upstream. */
  readonly isSharedPace: boolean;
}
