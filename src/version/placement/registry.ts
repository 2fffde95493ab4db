import { decideGreedy } from './greedy.js';
import { decideNever } from './never.js';
import type { PlacementPolicy } from './types.js';
import { decideWeighed } from './weighed.js';

/** Placement policies by name. */
export const placementPolicies = {
  never: decideNever,
  greedy: decideGreedy,
  weighed: decideWeighed,
} as const satisfies Record<string, PlacementPolicy>;

export type PlacementPolicyName = keyof typeof placementPolicies;
