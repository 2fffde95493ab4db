import { createDecision } from './groupPlacement.js';
import type {
  LayerPlacement,
  PlacementDecision,
  PlacementInput,
  PlacementLimits,
} from './types.js';

/**
 * Repacks every layer for the current load: extra replicas go to the experts with the highest
 * load per replica, replicas are packed longest first, and the new bins are assigned to the ranks
 * that already hold most of their experts. Baseline for comparison.
 *
 * @param input - Load and placement
 * @returns The decision
 */
export function decideGreedy(input: PlacementInput): PlacementDecision {
  const placement = input.placement.map((layer, index) =>
    assignBinsToRanks(layer, packReplicas(input.load[index] ?? [], input.limits)),
  );
  return createDecision(input, placement);
}

function chooseReplicas(load: readonly number[], limits: PlacementLimits): number[] {
  const replicas = load.map(() => 1);
  for (let spare = limits.ranks * limits.slotsPerRank - load.length; spare > 0; spare -= 1) {
    let best = -1;
    let bestLoad = -1;
    for (const [expert, value] of load.entries()) {
      const count = replicas[expert] ?? 1;
      if (count >= limits.ranks || value / count <= bestLoad) continue;
      best = expert;
      bestLoad = value / count;
    }
    if (best < 0) break;
    replicas[best] = (replicas[best] ?? 1) + 1;
  }
  return replicas;
}

function packReplicas(load: readonly number[], limits: PlacementLimits): number[][] {
  const replicas = chooseReplicas(load, limits);
  const items = replicas.flatMap((count, expert) =>
    Array.from({ length: count }, () => ({ expert, load: (load[expert] ?? 0) / count })),
  );
  items.sort((left, right) => right.load - left.load || left.expert - right.expert);
  const bins = Array.from({ length: limits.ranks }, () => ({ held: [] as number[], load: 0 }));
  for (const item of items) {
    let target: (typeof bins)[number] | undefined;
    for (const bin of bins) {
      if (bin.held.length >= limits.slotsPerRank || bin.held.includes(item.expert)) continue;
      if (target === undefined || bin.load < target.load) target = bin;
    }
    // A surplus replica that fits on no rank is omitted.
    if (target === undefined) continue;
    target.held.push(item.expert);
    target.load += item.load;
  }
  return bins.map((bin) => bin.held);
}

function assignBinsToRanks(current: LayerPlacement, packed: readonly number[][]): LayerPlacement {
  const pairs = packed.flatMap((bin, index) =>
    current.map((held, rank) => ({
      index,
      rank,
      overlap: bin.filter((expert) => held.includes(expert)).length,
    })),
  );
  pairs.sort((left, right) => right.overlap - left.overlap);
  const result: (readonly number[])[] = new Array<readonly number[]>(current.length);
  const used = new Set<number>();
  for (const { index, rank } of pairs) {
    if (used.has(index) || rank in result) continue;
    used.add(index);
    result[rank] = packed[index] ?? [];
  }
  return result;
}
