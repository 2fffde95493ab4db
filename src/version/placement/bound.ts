import type { GroupLoad, PlacementLimits } from './types.js';

const BISECTION_STEPS = 40;

/**
 * Computes a lower bound on the skew that any placement can reach for a load. Replicas of one
 * expert are on different ranks, so with a maximum rank load T an expert needs at least
 * ceil(load / T) replicas, and all replicas have to fit into the slots.
 *
 * @param load - Load by layer and expert
 * @param limits - Ranks and slots
 * @returns Lower bound of the skew, averaged over layers
 */
export function computeSkewBound(load: GroupLoad, limits: PlacementLimits): number {
  let sum = 0;
  for (const layer of load) sum += computeLayerBound(layer, limits);
  return sum / load.length;
}

function computeLayerBound(load: readonly number[], limits: PlacementLimits): number {
  const total = load.reduce((sum, value) => sum + value, 0);
  if (total === 0) return 1;
  const mean = total / limits.ranks;
  if (isFeasible(load, mean, limits)) return 1;
  let low = mean;
  let high = total;
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const middle = (low + high) / 2;
    if (isFeasible(load, middle, limits)) high = middle;
    else low = middle;
  }
  return low / mean;
}

function isFeasible(load: readonly number[], limit: number, limits: PlacementLimits): boolean {
  let slots = limits.ranks * limits.slotsPerRank;
  for (const value of load) {
    const replicas = Math.max(1, Math.ceil(value / limit));
    if (replicas > limits.ranks) return false;
    slots -= replicas;
    if (slots < 0) return false;
  }
  return true;
}
