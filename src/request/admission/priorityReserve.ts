/** Standard deviations of the number of arrivals that the reserve covers. */
const DEVIATIONS = 2;
/** Leaves most of the room to every priority, whatever the urgent ones ask for. */
const MAX_RESERVE_SHARE = 0.25;

/** What is expected of the room of a service, over all gateways. */
export interface RoomForecast {
  /** Requests that may run. */
  readonly limit: number;
  /** Arrivals of requests that go before the one in question, per millisecond. */
  readonly arrivalsPerMs: number;
  /** Requests that end, per millisecond. */
  readonly releasesPerMs: number;
  /** Time for which room is kept, in milliseconds. */
  readonly horizonMs: number;
}

/**
 * Computes the room that is kept free for the requests that go before another one.
 *
 * Handles a burst of less urgent requests: room is given to them only while the more urgent ones that arrive next find
 * some, either because it is free or because it is released in time.
 *
 * @param forecast - Expected arrivals and releases
 * @returns Number of requests, 0 when none that go before are expected
 */
export function computeReserve(forecast: RoomForecast): number {
  const { limit, arrivalsPerMs, releasesPerMs, horizonMs } = forecast;
  if (arrivalsPerMs <= 0) return 0;
  const arrivals = arrivalsPerMs * horizonMs;
  const growth = Math.max(0, arrivals - releasesPerMs * horizonMs);
  const reserve = growth + DEVIATIONS * Math.sqrt(arrivals);
  return Math.min(reserve, limit * MAX_RESERVE_SHARE);
}
