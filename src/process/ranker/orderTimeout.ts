/** Covers a link round trip and one call to the engine. */
const MIN_TIMEOUT_MS = 100;
/** A link that is silent for a little longer is closed. */
const MAX_TIMEOUT_MS = 1_500;
/** Assumed share of each rank in the round trip until one is measured; the orders to all ranks leave together. */
const INITIAL_MS_PER_RANK = 3;
const ROUND_TRIP_MARGIN = 2;
/** Weight of the latest round trip when it is shorter than the estimate; a longer one replaces the estimate. */
const ROUND_TRIP_WEIGHT = 0.05;

/**
 * Time after which an order to another rank counts as unanswered, from the round trips of the group. Orders to all ranks
 * share the coordinator's processor and link, so an order that is resent too early delays all others.
 */
export class OrderTimeout {
  private roundTripMs: number;

  /** @param ranks - Size of the group */
  constructor(ranks: number) {
    this.roundTripMs = ranks * INITIAL_MS_PER_RANK;
  }

  get durationMs(): number {
    const durationMs = this.roundTripMs * ROUND_TRIP_MARGIN;
    return Math.min(Math.max(durationMs, MIN_TIMEOUT_MS), MAX_TIMEOUT_MS);
  }

  /**
   * Records a reply.
   *
   * @param roundTripMs - Time since its order was sent
   */
  recordReply(roundTripMs: number): void {
    const difference = roundTripMs - this.roundTripMs;
    this.roundTripMs += difference > 0 ? difference : difference * ROUND_TRIP_WEIGHT;
  }
}
