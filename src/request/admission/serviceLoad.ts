import type { ExpectedWait, QueueState } from './admissionDecision.js';
import type { ExpectedWork } from './callerTime.js';
import { computeReserve } from './priorityReserve.js';
import { PriorityShares } from './priorityShares.js';
import { QueueAge } from './queueAge.js';
import { estimateShare } from './roomShare.js';
import type { ReservationRequest, ServiceRoom } from './types.js';
import { WorkEstimates } from './workEstimates.js';
import { WorkspaceRates } from './workspaceRates.js';

/** Time for which room is kept: several exchanges of counts, by which the other gateways learn what has been taken. */
const RESERVE_HORIZON_MS = 250;
/** Part of the releases that a priority is expected to receive beside more urgent ones. */
const MIN_RELEASE_PART = 0.1;

/** Rates and durations of the requests of a service at this gateway, as far as decisions of the admission queue need them. */
export class ServiceLoad {
  readonly shares = new PriorityShares();
  readonly work = new WorkEstimates();
  /** Requests of this gateway that run. */
  running = 0;
  private readonly queueAge = new QueueAge();
  private readonly workspaces = new WorkspaceRates();
  /** Places of this gateway. */
  private places = 1;
  /** Places of all gateways. */
  private allPlaces = 1;

  /**
   * Records a request that needs room, first sends and repeats alike.
   *
   * @param request - Reservation request
   * @param isEmpty - Whether no other request waits
   * @param room - Room of the service
   * @param now - Current time in milliseconds
   */
  recordArrival(
    request: ReservationRequest,
    isEmpty: boolean,
    room: ServiceRoom,
    now: number,
  ): void {
    this.shares.recordArrival(request.priority, now);
    this.work.modelledRunMs = room.modelledRunMs;
    // In an outage of all upstreams, requests wait for the places that there will be after it.
    const limit = room.limit > 0 ? room.limit : room.listedLimit;
    this.places = Math.max(1, limit * this.estimateOwnShare(room));
    this.allPlaces = Math.max(this.places, limit);
    this.workspaces.recordArrival(request.workspace, now);
    const arrivals = this.shares.estimateMoreUrgent(Infinity, now);
    this.queueAge.recordArrival(isEmpty && arrivals <= 1 / this.getInterval(request), now);
  }

  /**
   * Records a request that has received room.
   *
   * @param request - Reservation request
   * @param now - Current time in milliseconds
   */
  recordAdmission(request: ReservationRequest, now: number): void {
    this.running += 1;
    this.shares.recordAdmission(request.priority, now);
  }

  /** Records the end of a request that had room. */
  recordRelease(): void {
    this.running = Math.max(0, this.running - 1);
  }

  /**
   * Estimates the work of a request.
   *
   * @param request - Reservation request
   * @returns Times within which nearly all such requests end and have their first event
   */
  estimateWork(request: ReservationRequest): ExpectedWork {
    return this.work.estimate(request);
  }

  /**
   * Returns the time between two releases at this gateway while all its places are taken.
   *
   * @param request - Request whose target stands in until a duration has been measured
   * @returns Milliseconds
   */
  getInterval(request: ReservationRequest): number {
    return this.work.estimateMeanRun(request) / this.places;
  }

  /**
   * Returns the time between two releases that a request can expect: all of them in a queue that has just formed, and
   * those that more urgent arrivals and other workspaces leave in one that stands.
   *
   * @param request - Reservation request
   * @param now - Current time in milliseconds
   * @returns Milliseconds
   */
  getIntervalOf(request: ReservationRequest, now: number): number {
    // Until a duration is known, nothing shows that a request cannot be served in time.
    if (!this.work.isKnown) return 0;
    const intervalMs = this.getInterval(request);
    if (this.queueAge.getStandingMs(now) <= this.work.estimateMeanRun(request)) return intervalMs;
    const releases = 1 / intervalMs;
    const left = releases - this.shares.estimateMoreUrgent(request.priority, now);
    const ofPriority = Math.max(left, releases * MIN_RELEASE_PART);
    return 1 / this.workspaces.computeLeft(request.workspace, ofPriority, now);
  }

  /**
   * Estimates the shortest wait of a request that waits: those ahead may be shorter than on average, and all places may be
   * released at the same moment.
   *
   * @param request - Reservation request
   * @param wait - Expected wait
   * @returns Shortest wait
   */
  estimateLeastWait(request: ReservationRequest, wait: ExpectedWait): ExpectedWait {
    if (wait.cause !== 'queue') return wait;
    const leastRunMs = this.work.estimateLeastRun(request);
    const share = leastRunMs / this.work.estimateMeanRun(request);
    return { ...wait, ms: Math.max(0, wait.ms * share - leastRunMs) };
  }

  /**
   * Describes the queue for the decision about a request.
   *
   * @param request - Reservation request
   * @param intervalMs - Time between two requests that are sent while the queue stands
   * @param now - Current time in milliseconds
   * @returns State of the queue
   */
  describeQueue(request: ReservationRequest, intervalMs: number, now: number): QueueState {
    const meanRunMs = this.work.estimateMeanRun(request);
    const runningOfAll = Math.max(1, (meanRunMs / intervalMs) * (this.allPlaces / this.places));
    return {
      // A repeat belongs to the arrivals among which its first send was.
      standingMs: this.queueAge.getStandingMs(request.arrivedAt),
      spareShare: this.estimateSpareShare(request, 1 / intervalMs, now),
      meanRunMs,
      // The number of requests that end within the duration of one varies by about the square root of those that run. The
      // gateways share the places, so that many wait at all of them together; at each at least one.
      shortWaitMs: Math.max(intervalMs, meanRunMs / Math.sqrt(runningOfAll)),
    };
  }

  /**
   * Computes the free room that a request may use.
   *
   * @param request - Reservation request
   * @param room - Room of the service
   * @param now - Current time in milliseconds
   * @returns Number of requests, without the room that is kept for more urgent ones
   */
  computeFree(request: ReservationRequest, room: ServiceRoom, now: number): number {
    return room.limit - room.running - this.computeReserve(request, room, now);
  }

  /** Estimates the share of the releases that the arrivals before a request, and beside it, leave to those who wait. */
  private estimateSpareShare(
    { priority, workspace }: ReservationRequest,
    releasesPerMs: number,
    now: number,
  ): number {
    const left = releasesPerMs - this.shares.estimateMoreUrgent(priority, now);
    if (this.workspaces.isWithinShare(workspace, left, now)) return 1;
    return (left - this.shares.estimateRate(priority, now)) / releasesPerMs;
  }

  private estimateOwnShare(room: ServiceRoom): number {
    // A gateway that has just started runs little, and would take long to reach its share.
    return Math.max(estimateShare(room, this.running), 1 / room.gateways);
  }

  private computeReserve(request: ReservationRequest, room: ServiceRoom, now: number): number {
    // An upstream that refuses a request too many has it sent elsewhere, and the urgent ones go first in the queue.
    if (!room.isSharedPace) return 0;
    const arrivals = this.shares.estimateMoreUrgent(request.priority, now);
    if (arrivals === 0 || this.shares.isStarved(request.priority, now)) return 0;
    const share = estimateShare(room, this.running);
    return computeReserve({
      limit: room.limit,
      arrivalsPerMs: arrivals / share,
      releasesPerMs: 1 / this.getInterval(request) / share,
      horizonMs: RESERVE_HORIZON_MS,
    });
  }
}
