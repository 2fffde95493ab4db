/** A request that an upstream with a rate limit received. */
export interface LimitedArrival {
  readonly at: number;
  /** Gateway that sent it. */
  readonly gateway: string;
}

/** What an upstream stated and received while it had one limit, all times in milliseconds. */
export interface LimitedPeriod {
  readonly perSecond: number;
  /** When the upstream first stated the limit. */
  readonly statedAt: number;
  /** When the upstream stopped stating it. */
  readonly endedAt: number;
  /** When each gateway first forwarded a response that states the limit. */
  readonly toldAt: ReadonlyMap<string, number>;
  readonly arrivals: readonly LimitedArrival[];
}

export interface BusiestWindow {
  readonly count: number;
  readonly allowed: number;
  readonly startsAt: number;
}

/** Time after the first statement from which the limit is enforced; the shortest of the deployments. */
const GRACE_MS = 3_000;
/** A gateway counts from this long after it forwarded the limit. */
const TOLD_MS = 500;
const WINDOW_MS = 4_000;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;

/**
 * Finds the window with the most requests of gateways that know the limit.
 *
 * @param period - Limit, arrivals and when each gateway was told
 * @returns Requests in the busiest window of 4 s, and how many the upstream accepts
 */
export function findBusiestWindow(period: LimitedPeriod): BusiestWindow {
  const { perSecond, statedAt, endedAt, toldAt, arrivals } = period;
  const times: number[] = [];
  for (const { at, gateway } of arrivals) {
    const isEnforced = at >= statedAt + GRACE_MS && at < endedAt;
    if (isEnforced && at >= (toldAt.get(gateway) ?? Infinity) + TOLD_MS) times.push(at);
  }
  times.sort((a, b) => a - b);
  const allowed = perSecond * (WINDOW_MS / 1_000) * ALLOWED_FACTOR + ALLOWED_EXTRA;
  let busiest: BusiestWindow = { count: 0, allowed, startsAt: statedAt };
  let first = 0;
  for (const [index, at] of times.entries()) {
    while ((times[first] ?? at) <= at - WINDOW_MS) first += 1;
    const count = index - first + 1;
    if (count > busiest.count) busiest = { count, allowed, startsAt: times[first] ?? at };
  }
  return busiest;
}
