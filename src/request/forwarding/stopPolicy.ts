import type { RouteKind } from '../../version/routing/types.js';
import type { DurationEstimate } from './requestDurations.js';

/** What a stopping gateway knows of a request when it decides whether to begin work for it. */
export interface StopSituation {
  readonly kind: RouteKind;
  /** Time until the gateway ends all requests, `Infinity` unless it is stopping. */
  readonly remainingMs: number;
  /** Time between the start of the stop and the end of all requests. */
  readonly stopMs: number;
  /** Time until the request ends by its own time limit. */
  readonly limitMs: number;
  /** Durations of such requests, undefined if not known. */
  readonly durations: DurationEstimate | undefined;
  /** Time for which the load balancer may still open connections to this gateway. */
  readonly listeningMs: number;
  /** Whether its response has to wait for that to an earlier request on the connection. */
  readonly isBehindOther: boolean;
}

/** A request is certain to finish in this multiple of the longest duration of such requests. */
const CERTAIN_FACTOR = 4;
/** Completed requests without which no duration is certain. */
const CERTAIN_SAMPLES = 8;
/** Share of the stop that a request which may run only once needs while no duration is known. */
const UNKNOWN_SHARE = 0.5;

/**
 * Decides whether a gateway takes a request.
 *
 * While the load balancer still opens connections to a stopping gateway, a refused caller would probably come back to
 * it, so requests are taken that are expected to finish. After that, a refusal costs one round trip to another gateway,
 * and only a request is taken that is certain not to be cut.
 *
 * @param situation - Remaining times
 * @returns False if it is refused; it has not run
 */
export function decideTaking(situation: StopSituation): boolean {
  if (!decideSending(situation)) return false;
  return isCertain(situation) || situation.listeningMs > 0;
}

/**
 * Decides whether a request that was taken, and that has not run, is sent to an upstream. The limit may cut the earlier
 * response on a connection, and with it the responses that wait for it.
 *
 * @param situation - Remaining times
 * @returns False if it is expected to be cut
 */
export function decideSending(situation: StopSituation): boolean {
  const { remainingMs, isBehindOther } = situation;
  if (remainingMs === Infinity) return true;
  if (isBehindOther) return false;
  if (isCertain(situation)) return true;
  return remainingMs > 0 && computeExpectedMs(situation) <= remainingMs;
}

/** Whether the request ends before the stop by its own time limit, or by far more time than such requests take. */
function isCertain({ remainingMs, limitMs, durations }: StopSituation): boolean {
  if (limitMs <= remainingMs) return true;
  if (durations === undefined || durations.samples < CERTAIN_SAMPLES) return false;
  return durations.longestMs * CERTAIN_FACTOR <= remainingMs;
}

function computeExpectedMs({ kind, durations, stopMs }: StopSituation): number {
  if (durations !== undefined) return durations.expectedMs;
  return kind === 'once' ? stopMs * UNKNOWN_SHARE : 0;
}
