import type { RankState } from './groupView.js';

/** A rank below this pace counts as healthy; smaller differences would only move experts back and forth. */
const MIN_SLOW_PACE = 1.25;

/**
 * Lists by how much the load of each rank counts, so that slow ranks get fewer experts.
 *
 * @param states - All ranks, in order
 * @returns Pace by rank; exactly 1 for a healthy rank
 */
export function listPaces(states: readonly Pick<RankState, 'report'>[]): number[] {
  return states.map(({ report: { pace = 1 } }) => (pace < MIN_SLOW_PACE ? 1 : pace));
}
