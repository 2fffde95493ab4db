import type { ServiceId, UpstreamId } from '../../ids.js';
import type { UpstreamEntry } from '../../version/routing/types.js';

/** A request that wants a place at an upstream. */
export interface PlaceRequest {
  readonly service: ServiceId;
  /** Upstreams that it must not go to again. */
  readonly excluded: ReadonlySet<UpstreamId>;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAt: number;
  /** The request is given up when it still waits then. */
  readonly expiresAt: number;
  /** Longest wait that it accepts on arrival. */
  readonly maxWaitMs: number;
}

/** A place that was taken for one attempt; it is given back exactly once. */
export interface Place {
  readonly upstream: UpstreamEntry;
  release(now: number): void;
}

/** Why no place was given. */
export interface Refusal {
  readonly code: 'no_upstream' | 'overloaded' | 'expired';
  /** When a place is likely, spread over time. */
  readonly retryAfterMs: number;
  /** Requests that waited before this one. */
  readonly waiting: number;
  /** Expected wait that decided the refusal; 0 when it did not depend on one. */
  readonly estimatedWaitMs: number;
}
