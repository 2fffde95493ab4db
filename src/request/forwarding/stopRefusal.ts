import type { Route } from '../../version/routing/types.js';
import { endWithError } from './attemptHandlers.js';
import type { FinalOutcome, Forwarding } from './forwarding.js';
import type { StopSituation } from './stopPolicy.js';
import { decideSending } from './stopPolicy.js';
import type { CallerExchange, ForwardingContext } from './types.js';

/**
 * Refuses a request that has no time left before the process stops.
 *
 * @param forwarding - State of the request
 * @param now - Current time in milliseconds
 * @returns Outcome of the request, undefined if it goes on
 */
export function findStopRefusal(forwarding: Forwarding, now: number): FinalOutcome | undefined {
  if (hasTimeToSend(forwarding, now)) return undefined;
  return endWithError(forwarding, 'draining', forwarding.context.stop.computeReturningMs(now));
}

/**
 * Checks whether a request is worth sending before the process stops. One that may have run goes on: a stream that broke
 * off may need only its rest, and without another attempt all of it is lost.
 *
 * @param forwarding - State of the request
 * @param now - Current time in milliseconds
 */
export function hasTimeToSend(forwarding: Forwarding, now: number): boolean {
  const { context, exchange, admitted, deadlineAt, mayHaveRun } = forwarding;
  return (
    mayHaveRun || decideSending(describeStop(context, exchange, admitted.route, deadlineAt, now))
  );
}

/**
 * Describes what the decisions of a stopping gateway depend on.
 *
 * @param context - Shared state of the gateway
 * @param exchange - Request and response
 * @param route - Route of the request
 * @param deadlineAt - Deadline of the final response
 * @param now - Current time in milliseconds
 * @returns Remaining times
 */
export function describeStop(
  context: ForwardingContext,
  exchange: CallerExchange,
  route: Route,
  deadlineAt: number,
  now: number,
): StopSituation {
  const { stop, durations } = context;
  return {
    kind: route.kind,
    remainingMs: stop.computeRemainingMs(now),
    stopMs: stop.limitMs,
    limitMs: deadlineAt - now,
    durations: stop.isDraining ? durations.estimate(route.name, now) : undefined,
    listeningMs: stop.computeReturningMs(now),
    isBehindOther: context.isBehindOther(exchange),
  };
}
