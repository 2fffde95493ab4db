import type { ReservationRequest } from './types.js';

/** `first` for requests that can meet their latency target, `second` for those that can still be served. */
export type Line = 'first' | 'second';

/** Callers leave a stream after the longest of these times without an event. */
const MIN_PATIENCE_MS = 2_000;
const PATIENCE_PER_LATENCY_TARGET = 4;
const PATIENCE_PER_GAP_TARGET = 8;
/** Time for a refusal to reach the caller before it leaves. */
const PATIENCE_MARGIN_MS = 100;

/** How long admitted requests take at present, in milliseconds. */
export interface ServiceTimes {
  /** From admission to the first event, for nearly all requests; undefined before the first observation. */
  readonly firstEventMs: number | undefined;
  /** From admission to the end. */
  readonly totalMs: number;
}

/** Expected waits of a request in either line, in milliseconds. */
export interface ExpectedWaits {
  readonly first: number;
  readonly second: number;
}

/**
 * Computes how long a request may wait and still meet its latency target.
 *
 * @param request - Reservation request
 * @param times - Present service times
 * @param now - Current time in milliseconds
 * @returns Milliseconds from now, at most the limit of the request
 */
export function computeFirstBudget(
  request: ReservationRequest,
  { firstEventMs }: ServiceTimes,
  now: number,
): number {
  const { latencyTargetMs, isRepeat, maxWaitMs } = request;
  if (!isPatientStream(request) || isRepeat === true || firstEventMs === undefined) {
    return maxWaitMs;
  }
  const leftMs = request.arrivedAt + (latencyTargetMs ?? 0) - firstEventMs - now;
  return Math.max(0, Math.min(maxWaitMs, leftMs));
}

/**
 * Computes how long a request may wait and still be served before its caller leaves.
 *
 * @param request - Reservation request
 * @param times - Present service times
 * @param now - Current time in milliseconds
 * @returns Milliseconds from now; 0 for requests that are not streams, whose callers do not wait longer
 */
export function computeSecondBudget(
  request: ReservationRequest,
  { firstEventMs, totalMs }: ServiceTimes,
  now: number,
): number {
  if (!isPatientStream(request) || request.isRepeat === true) return 0;
  const { latencyTargetMs = 0, eventGapTargetMs = 0, deadlineAt = Infinity } = request;
  const patienceMs = Math.max(
    MIN_PATIENCE_MS,
    PATIENCE_PER_LATENCY_TARGET * latencyTargetMs,
    PATIENCE_PER_GAP_TARGET * eventGapTargetMs,
  );
  const leaveAt = request.arrivedAt + patienceMs - PATIENCE_MARGIN_MS;
  const startBy = Math.min(leaveAt - (firstEventMs ?? latencyTargetMs), deadlineAt - totalMs);
  return Math.max(0, startBy - now);
}

/**
 * Chooses the line in which a request waits.
 *
 * @param request - Reservation request
 * @param waits - Expected waits
 * @param times - Present service times
 * @param now - Current time in milliseconds
 * @returns The line, or undefined when the request cannot be served in time in either
 */
export function chooseLine(
  request: ReservationRequest,
  waits: ExpectedWaits,
  times: ServiceTimes,
  now: number,
): Line | undefined {
  if (waits.first <= computeFirstBudget(request, times, now)) return 'first';
  if (waits.second <= computeSecondBudget(request, times, now)) return 'second';
  return undefined;
}

function isPatientStream({ latencyTargetMs, eventGapTargetMs }: ReservationRequest): boolean {
  return latencyTargetMs !== undefined && (eventGapTargetMs ?? 0) > 0;
}
