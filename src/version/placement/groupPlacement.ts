import type {
  GroupLoad,
  GroupPlacement,
  LayerPlacement,
  Move,
  PlacementDecision,
  PlacementInput,
  PlacementLimits,
} from './types.js';

const MS_PER_SECOND = 1000;

/**
 * Builds a placement with one replica per expert, assigned to the ranks round-robin.
 *
 * @param layers - Number of layers
 * @param experts - Experts per layer
 * @param ranks - Ranks of the group
 * @returns The placement
 */
export function createPlacement(layers: number, experts: number, ranks: number): GroupPlacement {
  return Array.from({ length: layers }, () => {
    const layer: number[][] = Array.from({ length: ranks }, () => []);
    for (let expert = 0; expert < experts; expert += 1) layer[expert % ranks]?.push(expert);
    return layer;
  });
}

/**
 * Counts the replicas of each expert in a layer.
 *
 * @param layer - Placement of the layer
 * @param experts - Experts per layer
 * @returns Replicas by expert
 */
export function countReplicas(layer: LayerPlacement, experts: number): number[] {
  const replicas = new Array<number>(experts).fill(0);
  for (const held of layer) {
    for (const expert of held) replicas[expert] = (replicas[expert] ?? 0) + 1;
  }
  return replicas;
}

/**
 * Measures the load of each rank; an expert's load is split evenly over its replicas.
 *
 * @param layer - Placement of the layer
 * @param load - Load by expert
 * @returns Load by rank
 */
export function measureRankLoad(layer: LayerPlacement, load: readonly number[]): number[] {
  const replicas = countReplicas(layer, load.length);
  return layer.map((held) => {
    let sum = 0;
    for (const expert of held) sum += (load[expert] ?? 0) / (replicas[expert] ?? 1);
    return sum;
  });
}

/**
 * Measures the skew of one layer.
 *
 * @param layer - Placement of the layer
 * @param load - Load by expert
 * @returns Maximum over mean of the ranks' load; 1 without load
 */
export function measureLayerSkew(layer: LayerPlacement, load: readonly number[]): number {
  const ranks = measureRankLoad(layer, load);
  const total = ranks.reduce((sum, value) => sum + value, 0);
  return total === 0 ? 1 : (Math.max(...ranks) * ranks.length) / total;
}

/**
 * Measures the skew of a group: the step time relative to a perfectly balanced step.
 *
 * @param placement - Placement by layer
 * @param load - Load by layer and expert
 * @returns Average of the layers' skew
 */
export function measureSkew(placement: GroupPlacement, load: GroupLoad): number {
  const skews = placement.map((layer, index) => measureLayerSkew(layer, load[index] ?? []));
  return skews.reduce((sum, value) => sum + value, 0) / skews.length;
}

/**
 * Lists the moves that turn one placement into another, drops first.
 *
 * @param from - Current placement
 * @param to - Target placement
 * @returns Moves by layer and rank
 */
export function listMoves(from: GroupPlacement, to: GroupPlacement): Move[] {
  const drops: Move[] = [];
  const adds: Move[] = [];
  for (const [layer, ranks] of to.entries()) {
    for (const [rank, target] of ranks.entries()) {
      const current = from[layer]?.[rank] ?? [];
      for (const expert of current) {
        if (!target.includes(expert)) drops.push({ kind: 'drop', layer, expert, rank });
      }
      for (const expert of target) {
        if (!current.includes(expert)) adds.push({ kind: 'add', layer, expert, rank });
      }
    }
  }
  return [...drops, ...adds];
}

/**
 * Estimates the time that the weight store needs for a number of replicas.
 *
 * @param adds - Replicas to load
 * @param limits - Expert size and store bandwidth
 * @returns Seconds
 */
export function estimateTransferSeconds(adds: number, limits: PlacementLimits): number {
  return (adds * limits.bytesPerExpert) / limits.storeBytesPerSecond;
}

/**
 * Builds the decision to change to a placement.
 *
 * @param input - Input of the policy
 * @param placement - Target placement
 * @returns Moves, skew and cost of the change
 */
export function createDecision(
  input: PlacementInput,
  placement: GroupPlacement,
): PlacementDecision {
  const moves = listMoves(input.placement, placement);
  const adds = moves.filter((move) => move.kind === 'add').length;
  return {
    moves,
    placement,
    skewBefore: measureSkew(input.placement, input.load),
    skewAfter: measureSkew(placement, input.load),
    bytes: adds * input.limits.bytesPerExpert,
    transferSeconds: estimateTransferSeconds(adds, input.limits),
  };
}

/**
 * Converts a horizon to seconds.
 *
 * @param limits - Limits with the horizon
 * @returns Seconds
 */
export function getHorizonSeconds(limits: PlacementLimits): number {
  return limits.horizonMs / MS_PER_SECOND;
}
