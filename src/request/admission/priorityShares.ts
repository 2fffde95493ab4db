import { DecayingCount } from './decayingCount.js';

/** Follows a burst within a second, and a quiet kind of request over several arrivals. */
const TIME_CONSTANT_MS = 1_500;
/** Fewer arrivals say nothing about the share of a priority. */
const MIN_ARRIVALS = 3;
/** No kind of request may be served less than a quarter as often as all requests. */
const PROMISED_RELATIVE_SHARE = 0.25;
/** Standard deviations by which the admissions of a priority have to exceed what it is promised. */
const DEVIATIONS = 2;

interface PriorityLoad {
  readonly arrivals: DecayingCount;
  readonly admissions: DecayingCount;
}

/** Arrivals and admissions of the requests of a service at this gateway, by priority. */
export class PriorityShares {
  private readonly loads = new Map<number, PriorityLoad>();

  /**
   * Records a new request.
   *
   * @param priority - Its priority
   * @param now - Current time in milliseconds
   */
  recordArrival(priority: number, now: number): void {
    this.getLoad(priority).arrivals.add(now);
  }

  /**
   * Records a request that has received room.
   *
   * @param priority - Its priority
   * @param now - Current time in milliseconds
   */
  recordAdmission(priority: number, now: number): void {
    this.getLoad(priority).admissions.add(now);
  }

  /**
   * Estimates the rate of the requests that are more urgent than a priority.
   *
   * @param priority - Priority; `Infinity` for all requests
   * @param now - Current time in milliseconds
   * @returns Arrivals per millisecond
   */
  estimateMoreUrgent(priority: number, now: number): number {
    let rate = 0;
    for (const [other, { arrivals }] of this.loads)
      if (other < priority) rate += arrivals.getRate(now);
    return rate;
  }

  /**
   * Estimates the rate of the requests of a priority.
   *
   * @param priority - Priority
   * @param now - Current time in milliseconds
   * @returns Arrivals per millisecond
   */
  estimateRate(priority: number, now: number): number {
    return this.loads.get(priority)?.arrivals.getRate(now) ?? 0;
  }

  /**
   * Checks whether a priority receives so little room that it would starve.
   *
   * @param priority - Priority
   * @param now - Current time in milliseconds
   * @returns True unless more than the promised part of its requests is admitted, beyond random variation
   */
  isStarved(priority: number, now: number): boolean {
    const load = this.loads.get(priority);
    if (load === undefined || this.loads.size < 2) return false;
    const arrivals = load.arrivals.get(now);
    if (arrivals < MIN_ARRIVALS) return false;
    let allArrivals = 0;
    let allAdmissions = 0;
    for (const other of this.loads.values()) {
      allArrivals += other.arrivals.get(now);
      allAdmissions += other.admissions.get(now);
    }
    const promised = PROMISED_RELATIVE_SHARE * arrivals * (allAdmissions / allArrivals);
    return load.admissions.get(now) < promised + DEVIATIONS * Math.sqrt(promised);
  }

  /**
   * Lists the priorities that would starve.
   *
   * @param now - Current time in milliseconds
   * @returns Priorities
   */
  listStarved(now: number): number[] {
    return [...this.loads.keys()].filter((priority) => this.isStarved(priority, now));
  }

  private getLoad(priority: number): PriorityLoad {
    let load = this.loads.get(priority);
    if (load === undefined) {
      load = {
        arrivals: new DecayingCount(TIME_CONSTANT_MS),
        admissions: new DecayingCount(TIME_CONSTANT_MS),
      };
      this.loads.set(priority, load);
    }
    return load;
  }
}
