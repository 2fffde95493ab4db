import { computeLeavesAt } from '../admission/callerTime.js';
import type { ReservationRequest } from '../admission/types.js';
import type { Forwarding } from './forwarding.js';

/** What a reservation depends on. */
export type ReservationState = Pick<
  Forwarding,
  'admitted' | 'arrivedAt' | 'deadlineAt' | 'tried' | 'deliveredAt'
>;

/**
 * Describes a request for the admission queue. A repeat differs from a first send only in the upstreams that it has tried
 * and in the time that is left.
 *
 * @param state - State of the request
 * @param remainingMs - Time until a stopping process ends all requests, `Infinity` if it does not stop
 * @param now - Current time in milliseconds
 * @returns Reservation request
 */
export function createReservationRequest(
  { admitted, arrivedAt, deadlineAt, tried, deliveredAt }: ReservationState,
  remainingMs: number,
  now: number,
): ReservationRequest {
  const { route, service, workspace } = admitted;
  return {
    service,
    route: route.name,
    excluded: tried,
    priority: workspace?.priority ?? route.priority,
    arrivedAt,
    deadlineAt: Math.min(deadlineAt, now + remainingMs),
    leavesAt: computeLeavesAt(route, deliveredAt ?? arrivedAt),
    isResumed: deliveredAt !== undefined,
    workspace: workspace?.id,
    latencyTargetMs: route.latencyTargetMs,
  };
}
