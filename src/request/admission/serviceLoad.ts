import { DecayingCount } from './decayingCount.js';
import type { Line, ServiceTimes } from './lineChoice.js';
import { computeReserve } from './priorityReserve.js';
import { PriorityShares } from './priorityShares.js';
import { estimateShare } from './roomShare.js';
import type { ReservationRequest, ServiceRoom } from './types.js';

/** Sliding window over which the release rate is averaged. */
const RATE_WINDOW_MS = 2_000;
/** Assumed interval between releases before the window holds any. */
const DEFAULT_RELEASE_INTERVAL_MS = 100;
/** Time for which room is kept: several exchanges of counts, within a fraction of the usual targets. */
const FIRST_LINE_HORIZON_MS = 250;
/** Longer than for the first line, since who waits in the second one is late already. */
const SECOND_LINE_HORIZON_MS = 500;
/** Part of the releases that a priority is expected to receive beside more urgent ones. */
const MIN_RELEASE_PART = 0.1;
/** Weight of a new observation in the moving averages. */
const SMOOTHING_FACTOR = 0.05;
/** Mean deviations above the mean within which nearly all first events are. */
const FIRST_EVENT_DEVIATIONS = 2;
const SECOND_LINE_TIME_CONSTANT_MS = 2_000;

/** Rates and times of the requests of a service at this gateway, as far as decisions of the admission queue need them. */
export class ServiceLoad {
  readonly shares = new PriorityShares();
  /** Requests of this gateway that run. */
  running = 0;
  private readonly secondLineAdmissions = new DecayingCount(SECOND_LINE_TIME_CONSTANT_MS);
  private releaseTimes: number[] = [];
  private firstAdmissionAt: number | undefined;
  private firstEventMs: number | undefined;
  private firstEventDeviationMs = 0;

  /**
   * Records a new request. Repeats within the gateway are no demand of their own.
   *
   * @param request - Reservation request
   * @param now - Current time in milliseconds
   */
  recordArrival(request: ReservationRequest, now: number): void {
    if (request.isRepeat !== true) this.shares.recordArrival(request.priority, now);
  }

  /**
   * Records a request that has received room.
   *
   * @param request - Reservation request
   * @param line - Line in which it received room
   * @param now - Current time in milliseconds
   */
  recordAdmission(request: ReservationRequest, line: Line, now: number): void {
    this.running += 1;
    this.firstAdmissionAt ??= now;
    if (request.isRepeat !== true) this.shares.recordAdmission(request.priority, now);
    if (line === 'second') this.secondLineAdmissions.add(now);
  }

  /**
   * Records the end of a request that had room.
   *
   * @param now - Current time in milliseconds
   */
  recordRelease(now: number): void {
    this.running = Math.max(0, this.running - 1);
    this.releaseTimes.push(now);
  }

  /**
   * Records the time from admission to the first event of a stream.
   *
   * @param durationMs - Milliseconds
   */
  recordFirstEvent(durationMs: number): void {
    if (this.firstEventMs === undefined) {
      this.firstEventMs = durationMs;
      return;
    }
    const difference = durationMs - this.firstEventMs;
    this.firstEventMs += SMOOTHING_FACTOR * difference;
    this.firstEventDeviationMs +=
      SMOOTHING_FACTOR * (Math.abs(difference) - this.firstEventDeviationMs);
  }

  /**
   * Estimates how long admitted requests take.
   *
   * @param now - Current time in milliseconds
   * @returns Present service times
   */
  getTimes(now: number): ServiceTimes {
    const firstEventMs =
      this.firstEventMs === undefined
        ? undefined
        : this.firstEventMs + FIRST_EVENT_DEVIATIONS * this.firstEventDeviationMs;
    return { firstEventMs, totalMs: this.running * this.getReleaseInterval(now) };
  }

  /**
   * Returns the time between two releases at this gateway.
   *
   * @param now - Current time in milliseconds
   * @returns Milliseconds
   */
  getReleaseInterval(now: number): number {
    this.releaseTimes = this.releaseTimes.filter((at) => now - at < RATE_WINDOW_MS);
    if (this.releaseTimes.length === 0) return DEFAULT_RELEASE_INTERVAL_MS;
    // A gateway that has just started has seen few releases, though many requests run.
    const observedMs = Math.min(RATE_WINDOW_MS, now - (this.firstAdmissionAt ?? -Infinity));
    return observedMs / this.releaseTimes.length;
  }

  /**
   * Returns the time between two releases that more urgent arrivals leave to a priority.
   *
   * @param priority - Priority
   * @param now - Current time in milliseconds
   * @returns Milliseconds
   */
  getIntervalOf(priority: number, now: number): number {
    const releases = 1 / this.getReleaseInterval(now);
    const left = releases - this.shares.estimateMoreUrgent(priority, now);
    return 1 / Math.max(left, releases * MIN_RELEASE_PART);
  }

  /**
   * Returns the time between two releases that the first line leaves to the second.
   *
   * @param now - Current time in milliseconds
   * @returns Milliseconds, `Infinity` when it leaves none
   */
  getSecondLineInterval(now: number): number {
    const releases = 1 / this.getReleaseInterval(now);
    const left = releases - this.shares.estimateMoreUrgent(Infinity, now);
    const rate = Math.max(left, this.secondLineAdmissions.getRate(now));
    return rate > 0 ? 1 / rate : Infinity;
  }

  /**
   * Checks whether a request leaves enough room to those that go before it.
   *
   * @param request - Reservation request
   * @param line - Its line
   * @param room - Room of the service
   * @param now - Current time in milliseconds
   * @returns False when the rest of the room is kept for others
   */
  isRoomLeft(request: ReservationRequest, line: Line, room: ServiceRoom, now: number): boolean {
    const priority = line === 'second' ? Infinity : request.priority;
    const arrivals = this.shares.estimateMoreUrgent(priority, now);
    if (arrivals === 0) return true;
    if (line === 'first' && this.shares.isStarved(request.priority, now)) return true;
    const share = estimateShare(room, this.running);
    const reserve = computeReserve({
      limit: room.limit,
      arrivalsPerMs: arrivals / share,
      releasesPerMs: 1 / this.getReleaseInterval(now) / share,
      horizonMs: line === 'second' ? SECOND_LINE_HORIZON_MS : FIRST_LINE_HORIZON_MS,
    });
    return room.running + reserve < room.limit;
  }
}
