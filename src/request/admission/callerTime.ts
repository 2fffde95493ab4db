import type { Route } from '../../version/routing/types.js';

/** Callers leave a stream after the longest of these times without an event, also before its first one. */
const MIN_PATIENCE_MS = 2_000;
const PATIENCE_PER_LATENCY_TARGET = 4;
const PATIENCE_PER_GAP_TARGET = 8;
/** Time for a refusal to reach the caller before it leaves. */
const REFUSAL_MARGIN_MS = 100;

/** Time that the caller of a request has. */
export interface CallerTime {
  /** Deadline of the complete response. */
  readonly deadlineAt: number;
  /** Time at which the caller leaves a stream without an event; undefined for other requests. */
  readonly leavesAt?: number | undefined;
}

/** Expected duration of a request once it is sent, in milliseconds. */
export interface ExpectedWork {
  /** Until the complete response. */
  readonly runMs: number;
  /** Until the first event of a stream. */
  readonly firstEventMs: number;
}

/**
 * Computes when the caller of a stream leaves unless an event reaches it.
 *
 * @param route - Route of the request
 * @param lastEventAt - When the caller received the last event, or sent the request
 * @returns Milliseconds, undefined if the route is not a stream
 */
export function computeLeavesAt(route: Route, lastEventAt: number): number | undefined {
  if (route.kind !== 'stream') return undefined;
  const patienceMs = Math.max(
    MIN_PATIENCE_MS,
    PATIENCE_PER_LATENCY_TARGET * route.latencyTargetMs,
    PATIENCE_PER_GAP_TARGET * route.eventGapTargetMs,
  );
  return lastEventAt + patienceMs;
}

/**
 * Computes the latest time at which a request can be sent and still be served.
 *
 * @param caller - Time that its caller has
 * @param work - Work that is left
 * @returns Milliseconds
 */
export function computeStartBy(caller: CallerTime, work: ExpectedWork): number {
  const finishBy = caller.deadlineAt - work.runMs;
  if (caller.leavesAt === undefined) return finishBy;
  return Math.min(finishBy, caller.leavesAt - REFUSAL_MARGIN_MS - work.firstEventMs);
}
