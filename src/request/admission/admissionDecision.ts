import type { UpstreamId } from '../../ids.js';

/** Callers return after at most this share of the time that they have left. */
export const RETURN_SHARE_OF_TIME_LEFT = 1 / 3;

/** What a request waits for. */
export type WaitCause = 'queue' | 'pause' | 'rate_limit' | 'outage';

/** Refusals name what makes the wait too long, or that the queue does not drain. */
export type RefusalCause = WaitCause | 'standing_queue';

/** Time until a request can be sent, as far as it is known. */
export interface ExpectedWait {
  readonly ms: number;
  readonly cause: WaitCause;
  /** Upstreams whose rate limits it results from. */
  readonly upstreams?: readonly UpstreamId[];
}

/** State of the queue that a request would join. */
export interface QueueState {
  /** Time for which requests had waited without a break when it arrived, in milliseconds. */
  readonly standingMs: number;
  /** Share of the releases that arrivals leave to those who wait; negative while more arrive than can be served. */
  readonly spareShare: number;
  /** Mean duration of a request once it is sent, in milliseconds. */
  readonly meanRunMs: number;
  /** Wait in the shortest queue that leaves no place idle, in milliseconds. */
  readonly shortWaitMs: number;
}

/** What the decision about a request depends on that finds no room, or none that is not kept for others. */
export interface WaitSituation {
  /** Latest time at which it can be sent and still be served. */
  readonly startBy: number;
  readonly wait: ExpectedWait;
  /** Expected wait behind all requests of its priority and workspace, also those that have more time left. */
  readonly lastWaitMs: number;
  readonly queue: QueueState;
}

export interface Refused {
  readonly kind: 'refuse';
  readonly cause: RefusalCause;
  /** Time until room for its caller is expected. */
  readonly returnMs: number;
}

export type WaitDecision = { readonly kind: 'wait' } | Refused;

/**
 * Decides whether a request that finds no room waits or is refused; first sends and repeats alike.
 *
 * A request that cannot be served in the time that its caller has is refused at once. Otherwise it waits as long as its
 * caller can, if the queue drains: requests that have come at once are all served by waiting. In a queue that stands for
 * longer than one request takes, and that arrivals do not let end, waiting serves nobody more and delays each one, so only
 * as many wait as keep the places busy.
 *
 * @param situation - Time left, expected wait and state of the queue
 * @param now - Current time in milliseconds
 * @returns The decision
 */
export function decideWaiting(situation: WaitSituation, now: number): WaitDecision {
  const { startBy, wait, lastWaitMs, queue } = situation;
  const leftMs = startBy - now;
  if (wait.ms > leftMs) return { kind: 'refuse', cause: wait.cause, returnMs: wait.ms };
  // Who has little time left may go first, but lengthens the queue as any other.
  const isShort = lastWaitMs <= queue.shortWaitMs;
  if (isShort || canDrain(queue, lastWaitMs, leftMs)) return { kind: 'wait' };
  // A queue that has stood for some time is expected to do so for as long again.
  const returnMs = Math.max(lastWaitMs, queue.standingMs);
  return { kind: 'refuse', cause: 'standing_queue', returnMs };
}

/**
 * Decides whether a waiting request is refused because what is ahead of it leaves it no time any more.
 *
 * @param startBy - Latest time at which it can be sent and still be served
 * @param leastWait - Shortest wait
 * @param now - Current time in milliseconds
 * @returns True once it cannot be served in time
 */
export function isTooLate(startBy: number, leastWait: ExpectedWait, now: number): boolean {
  const leftMs = startBy - now;
  return leftMs <= 0 || leastWait.ms > leftMs;
}

/** Whether the queue may consist of requests that have come at once, or ends in the time that its caller has. */
function canDrain(
  { standingMs, spareShare, meanRunMs }: QueueState,
  lastWaitMs: number,
  leftMs: number,
): boolean {
  if (standingMs <= Math.min(meanRunMs, leftMs * RETURN_SHARE_OF_TIME_LEFT)) return true;
  return lastWaitMs <= leftMs * spareShare;
}
