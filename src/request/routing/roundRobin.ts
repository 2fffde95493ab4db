import type { RoutingPolicy } from './types.js';

/**
 * Rotates through the candidates, regardless of load.
 *
 * @param candidates - Eligible candidates
 * @param request - Request to route
 * @returns Candidates, best first
 */
export const selectByRoundRobin: RoutingPolicy = (candidates, request) => {
  const start = candidates.length === 0 ? 0 : request.turn % candidates.length;
  return [...candidates.slice(start), ...candidates.slice(0, start)];
};
