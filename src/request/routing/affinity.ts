import { computeLoad } from './eligibility.js';
import { sortByRendezvousHash } from './rendezvous.js';
import type { Candidate, RoutingPolicy } from './types.js';

/** Fraction of the mean load by which an upstream may exceed it before requests go to the next candidate. */
export const LOAD_BOUND_SLACK = 0.25;

/**
 * Orders candidates by rendezvous hash of the prompt prefix, those above the load bound last, and
 * full ones by the slots that the workspace uses there.
 *
 * @param candidates - Eligible candidates
 * @param request - Request to route
 * @returns Candidates, best first
 */
export const selectByAffinity: RoutingPolicy = (candidates, request) => {
  const ordered = sortByRendezvousHash(request.prefix, candidates, ({ upstream }) => upstream);
  const total = ordered.reduce((sum, candidate) => sum + computeLoad(candidate), 0);
  const bound = (1 + LOAD_BOUND_SLACK) * (total / Math.max(1, ordered.length));
  // Up to one such request per slot nothing queues, so another upstream would only cost prefix cache hits.
  const limit = Math.max(bound, request.cost);
  const withinLimit = ordered.filter((candidate) => computeLoad(candidate) <= limit);
  const aboveLimit = ordered.filter((candidate) => computeLoad(candidate) > limit);
  return [...sortByWorkspaceUse(withinLimit), ...sortByWorkspaceUse(aboveLimit)];
};

/**
 * Sorts full upstreams by the requests of the workspace in flight there, fewest first, because a
 * workspace is guaranteed only a few slots at each. Upstreams with free slots stay in hash order.
 */
function sortByWorkspaceUse(candidates: readonly Candidate[]): Candidate[] {
  const computeUse = ({ full, workspaceInFlight }: Candidate): number =>
    full ? workspaceInFlight : 0;
  return [...candidates].sort((left, right) => computeUse(left) - computeUse(right));
}
