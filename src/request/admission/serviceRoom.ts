import type { ServiceRoom } from './types.js';
import type { UpstreamBalancer } from './upstreamBalancer.js';

/** What the admission queue needs of the balancer. */
export type RoomSource = Pick<
  UpstreamBalancer,
  | 'computePause'
  | 'estimatePermitWait'
  | 'findOutageStart'
  | 'hasUpstream'
  | 'measureRoom'
  | 'tryReserve'
>;

/**
 * Adds a request that has been admitted since the room was measured.
 *
 * @param room - Room of the service
 * @returns The room that is left
 */
export function addRunning(room: ServiceRoom): ServiceRoom {
  return { ...room, running: room.running + 1 };
}
