import { createDecision } from './groupPlacement.js';
import type { PlacementDecision, PlacementInput } from './types.js';

/**
 * Keeps the current placement.
 *
 * @param input - Load and placement
 * @returns A decision without moves
 */
export function decideNever(input: PlacementInput): PlacementDecision {
  return createDecision(input, input.placement);
}
