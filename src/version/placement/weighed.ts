import { createDecision, estimateTransferSeconds, getHorizonSeconds } from './groupPlacement.js';
import { LayerSearch } from './layerSearch.js';
import type { LayerPlacement, PlacementDecision, PlacementInput } from './types.js';

/** Bounds the steps of one decision; a layer that needs more continues at the next interval. */
const MAX_STEPS_PER_LAYER = 48;
/** Ends the search of a layer after this many steps without a higher net value. */
const MAX_STEPS_WITHOUT_GAIN = 10;
/** Smaller savings are within the noise of the smoothed load and would cause needless moves. */
const MIN_SKEW_SAVING = 0.01;

/**
 * Moves few experts: per layer it applies the steps with the highest gain per transferred replica, and
 * keeps the number of steps with the highest net value, which is
 * `skewWeight` × step time saved over the horizon − `moveWeight` × transfer time.
 *
 * @param input - Load, placement, weights and the moves of the last hour
 * @returns The decision; without moves when no batch has a positive net value
 */
export function decideWeighed(input: PlacementInput): PlacementDecision {
  const placement = input.placement.map((_, index) => planLayer(input, index));
  return createDecision(input, placement);
}

function planLayer(input: PlacementInput, layer: number): LayerPlacement {
  const current = input.placement[layer] ?? [];
  const { limits, now, load } = input;
  const search = new LayerSearch(current, load[layer] ?? [], limits.slotsPerRank, (move) =>
    input.moveFilter.isBlocked({ ...move, layer }, now, load),
  );
  const skewBefore = search.skew;
  const savedPerSkew = (limits.skewWeight * getHorizonSeconds(limits)) / input.placement.length;
  let best = current;
  let bestValue = 0;
  let adds = 0;
  let stepsWithoutGain = 0;
  for (let count = 0; count < MAX_STEPS_PER_LAYER; count += 1) {
    const step = search.findStep();
    if (step === undefined) break;
    search.apply(step);
    adds += step.adds.length;
    stepsWithoutGain += 1;
    if (stepsWithoutGain > MAX_STEPS_WITHOUT_GAIN) break;
    const saving = skewBefore - search.skew;
    if (saving < MIN_SKEW_SAVING) continue;
    const cost = limits.moveWeight * estimateTransferSeconds(adds, limits);
    const value = savedPerSkew * saving - cost;
    if (value <= bestValue) continue;
    best = search.placement;
    bestValue = value;
    stepsWithoutGain = 0;
  }
  return best;
}
