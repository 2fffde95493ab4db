import { selectByAffinity } from './affinity.js';
import { selectByRoundRobin } from './roundRobin.js';
import type { RoutingPolicy } from './types.js';

/** Routing policies by the name used in settings. */
export const routingPolicies: Readonly<Record<string, RoutingPolicy>> = {
  affinity: selectByAffinity,
  roundRobin: selectByRoundRobin,
};
