import type { GroupLoad, GroupPlacement } from '../../version/placement/types.js';

/**
 * Computes how unevenly a map distributes the demand over the ranks.
 *
 * @param load - Demand by layer and expert
 * @param placement - Experts by layer and rank
 * @param paces - Factor on the load of each rank; 1 for a rank without one
 * @returns Sum of the highest rank loads over all layers, divided by the sum of the mean rank loads; 1 is even
 */
export function computeSkew(
  load: GroupLoad,
  placement: GroupPlacement,
  paces: readonly number[] = [],
): number {
  let highest = 0;
  let mean = 0;
  for (const [layer, ranks] of placement.entries()) {
    const demand = load[layer] ?? [];
    const replicas = new Uint16Array(demand.length);
    for (const experts of ranks) {
      for (const expert of experts) replicas[expert] = (replicas[expert] ?? 0) + 1;
    }
    let highestInLayer = 0;
    for (const [rank, experts] of ranks.entries()) {
      let rankLoad = 0;
      for (const expert of experts) rankLoad += (demand[expert] ?? 0) / (replicas[expert] ?? 1);
      highestInLayer = Math.max(highestInLayer, rankLoad * (paces[rank] ?? 1));
    }
    highest += highestInLayer;
    for (const share of demand) mean += share / ranks.length;
  }
  return mean === 0 ? 1 : highest / mean;
}
