import type { ServiceId } from '../../ids.js';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { Metrics } from '../../process/metrics.js';
import type { ExpectedWait, Refused, WaitCause } from './admissionDecision.js';
import { decideWaiting, isTooLate } from './admissionDecision.js';
import { computeStartBy } from './callerTime.js';
import { FairOrder } from './fairOrder.js';
import { RefusalFactory } from './refusalFactory.js';
import { COUNT_DELAY_MS, RoomShare } from './roomShare.js';
import { ServiceLoad } from './serviceLoad.js';
import type { RoomSource } from './serviceRoom.js';
import { addRunning } from './serviceRoom.js';
import type { Reservation, ReservationRequest, Refusal, ServiceRoom } from './types.js';
import type { WaitingRequest } from './waitingRequests.js';
import { WaitingRequests } from './waitingRequests.js';

/** What keeps a request from all upstreams, and for how long; `queue` if nothing but other requests does. */
interface Blockage {
  readonly cause: WaitCause;
  readonly ms: number;
}

/**
 * Admission queue of one service at this gateway.
 *
 * Sheds load above the capacity of the upstreams. `admissionDecision.ts` decides what is sent, waits or is refused. Waiting
 * requests are served by priority, then fairly by workspace, then by the time that they have left. First sends and repeats
 * of a request take the same way; a repeat keeps its arrival and its deadline, and so has less time left.
 */
export class AdmissionQueue {
  private readonly waiting = new WaitingRequests();
  private readonly load = new ServiceLoad();
  private readonly roomShare = new RoomShare();
  private readonly fairOrder = new FairOrder();
  private readonly refusals: RefusalFactory;

  /**
   * @param service - Service whose requests wait
   * @param balancer - Upstreams and their room
   * @param metrics - Counts the outcomes
   * @param random - Uniform values in [0, 1)
   */
  constructor(
    readonly service: ServiceId,
    private readonly balancer: RoomSource,
    private readonly metrics?: Metrics,
    random: () => number = Math.random,
  ) {
    this.refusals = new RefusalFactory(() => this.waiting.length, random);
  }

  get length(): number {
    return this.waiting.length;
  }

  /**
   * Reserves capacity at an upstream, waiting in the queue if necessary.
   *
   * @param request - Reservation request
   * @param now - Milliseconds
   * @param signal - Aborted when the caller disconnects
   * @returns The reservation, or why the request is refused
   */
  acquire(
    request: ReservationRequest,
    now: number,
    signal: AbortSignal,
  ): Promise<Result<Reservation, Refusal>> | Result<Reservation, Refusal> {
    // An aborted signal emits no further event that would remove the request from the queue.
    if (signal.aborted) return Err(this.refusals.createAborted());
    if (!this.balancer.hasUpstream(request))
      return Err(this.refusals.createNoUpstream(request, now));
    const room = this.balancer.measureRoom(this.service, now);
    this.load.recordArrival(request, this.waiting.length === 0, room, now);
    const entry: WaitingRequest = {
      request,
      start: this.fairOrder.assignStart(request.workspace),
      startBy: computeStartBy(request, this.load.estimateWork(request)),
      queuedAt: now,
      settle: () => undefined,
    };
    const aheadOfLast = this.waiting.countAhead(request.priority, entry.start);
    const ahead = this.waiting.add(entry).length;
    const reservation = ahead === 0 ? this.tryAdmit(entry, room, now) : undefined;
    if (reservation !== undefined) {
      this.waiting.take(entry);
      this.countOutcome('admitted', request);
      return Ok(reservation);
    }
    const wait = this.estimateWait(request, ahead + 1, room, now);
    const last = this.estimateWait(request, aheadOfLast + 1, room, now);
    const intervalMs = this.computeInterval(last, aheadOfLast + 1, request);
    const queue = this.load.describeQueue(request, intervalMs, now);
    const situation = { startBy: entry.startBy, wait, lastWaitMs: last.ms, queue };
    const decision = decideWaiting(situation, now);
    if (decision.kind === 'refuse') return this.refuse(entry, wait, decision, now);
    return new Promise((resolve) => {
      entry.settle = resolve;
      signal.addEventListener('abort', () => {
        if (!this.waiting.withdraw(entry)) return;
        this.fairOrder.refund(request.workspace);
        resolve(Err(this.refusals.createAborted()));
      });
    });
  }

  /**
   * Checks whether a request that is sent now may still be served.
   *
   * @param request - Reservation request
   * @param now - Milliseconds
   */
  hasTime(request: ReservationRequest, now: number): boolean {
    return now <= computeStartBy(request, this.load.work.estimateLeast(request));
  }

  /**
   * Records the end of a reservation.
   *
   * @param reservation - Reservation that has been released
   * @param route - Name of the route of its request if it was completed, so that its duration counts
   * @param now - Milliseconds
   */
  recordRelease(
    { reservedAt }: Pick<Reservation, 'reservedAt'>,
    route: string | undefined,
    now: number,
  ): void {
    this.load.recordRelease();
    this.roomShare.recordRelease();
    if (route !== undefined) this.load.work.recordRun(route, now - reservedAt);
  }

  /**
   * Records the time from sending a stream to its first event.
   *
   * @param route - Name of the route
   * @param durationMs - Milliseconds
   */
  recordFirstEvent(route: string, durationMs: number): void {
    this.load.work.recordFirstEvent(route, durationMs);
  }

  /**
   * Grants free capacity to queued requests and refuses those that can no longer be served.
   *
   * @param now - Milliseconds
   */
  dispatchQueued(now: number): void {
    if (this.waiting.length === 0) return;
    let room = this.dispatchStarved(this.balancer.measureRoom(this.service, now), now);
    // Once a request that any upstream may serve finds no capacity, neither do the ones after it.
    let hasCapacity = true;
    let ahead = 0;
    let blockage: Blockage | undefined;
    for (const entry of this.waiting) {
      const { request } = entry;
      entry.startBy = computeStartBy(request, this.load.estimateWork(request));
      const isExpired = now >= entry.startBy;
      const reservation = hasCapacity && !isExpired ? this.tryAdmit(entry, room, now) : undefined;
      if (reservation !== undefined) {
        this.settleAdmitted(entry, reservation, now);
        room = addRunning(room);
        continue;
      }
      if (!this.balancer.hasUpstream(request)) {
        this.withdraw(entry);
        entry.settle(Err(this.refusals.createNoUpstream(request, now)));
        continue;
      }
      const isAny = request.excluded.size === 0;
      const known = isAny
        ? (blockage ??= this.findBlockage(request, now))
        : this.findBlockage(request, now);
      const wait = this.estimateWait(request, ahead + 1, room, now, known);
      if (isTooLate(entry.startBy, this.load.estimateLeastWait(request, wait), now)) {
        entry.settle(this.refuse(entry, wait, { cause: wait.cause, returnMs: wait.ms }, now));
        continue;
      }
      ahead += 1;
      if (isAny && wait.cause !== 'rate_limit') hasCapacity = false;
    }
  }

  /**
   * Counts the waiting requests for the `/dump` endpoint.
   *
   * @returns Requests by priority
   */
  describe(): Record<string, number> {
    return this.waiting.describe();
  }

  /** Lets a priority that receives far less than the others go first once. */
  private dispatchStarved(room: ServiceRoom, now: number): ServiceRoom {
    let left = room;
    for (const priority of this.load.shares.listStarved(now)) {
      const entry = this.waiting.findNext(priority);
      if (entry === undefined || now >= entry.startBy) continue;
      const reservation = this.tryAdmit(entry, left, now);
      if (reservation === undefined) continue;
      this.settleAdmitted(entry, reservation, now);
      left = addRunning(left);
    }
    return left;
  }

  private tryAdmit(
    { request, start }: WaitingRequest,
    room: ServiceRoom,
    now: number,
  ): Reservation | undefined {
    if (this.load.computeFree(request, room, now) <= 0) return undefined;
    const { isSharedPace } = room;
    if (isSharedPace && !this.roomShare.tryTake(room, this.load.running, now)) return undefined;
    const reservation = this.balancer.tryReserve(request, now);
    if (reservation === undefined) {
      if (isSharedPace) this.roomShare.refund();
      return undefined;
    }
    this.fairOrder.advanceTo(start);
    this.load.recordAdmission(request, now);
    return reservation;
  }

  private estimateWait(
    request: ReservationRequest,
    position: number,
    room: ServiceRoom,
    now: number,
    { cause, ms } = this.findBlockage(request, now),
  ): ExpectedWait {
    if (cause === 'queue') {
      const permits = this.balancer.estimatePermitWait(request, position, now);
      if (permits !== undefined && permits.delayMs > 0)
        return { ms: permits.delayMs, cause: 'rate_limit', upstreams: permits.upstreams };
    }
    // This gateway may take a part of the room that is free each time that it learns the counts of the others.
    const isFree = position <= this.load.computeFree(request, room, now);
    const intervalMs = isFree ? COUNT_DELAY_MS : this.load.getIntervalOf(request, now);
    return { ms: ms + position * intervalMs, cause };
  }

  /** Finds what keeps all upstreams of a request from taking any, and for how long it is expected to last. */
  private findBlockage(request: ReservationRequest, now: number): Blockage {
    const pauseMs = this.balancer.computePause(request, now);
    const outageStart = this.balancer.findOutageStart(request, now);
    // An outage whose end is not known is expected to last as long again as it has lasted.
    const outageMs = outageStart === undefined ? 0 : now - outageStart;
    if (pauseMs > 0 && pauseMs >= outageMs) return { cause: 'pause', ms: pauseMs };
    return { cause: outageStart === undefined ? 'queue' : 'outage', ms: outageMs };
  }

  private computeInterval(
    { cause, ms }: ExpectedWait,
    position: number,
    request: ReservationRequest,
  ): number {
    const intervalMs = this.load.getInterval(request);
    return cause === 'rate_limit' ? Math.max(intervalMs, ms / position) : intervalMs;
  }

  private refuse(
    entry: WaitingRequest,
    wait: ExpectedWait,
    { cause, returnMs }: Pick<Refused, 'cause' | 'returnMs'>,
    now: number,
  ): Result<Reservation, Refusal> {
    const { request, queuedAt, startBy } = entry;
    this.withdraw(entry);
    const reason = {
      cause,
      wait,
      returnMs,
      intervalMs: this.load.getInterval(request),
      waitedMs: now - queuedAt,
      isExpired: now >= startBy,
    };
    return Err(this.refusals.createOverloaded(request, reason, now));
  }

  private settleAdmitted(entry: WaitingRequest, reservation: Reservation, now: number): void {
    this.waiting.take(entry);
    this.countOutcome('waited', entry.request);
    this.metrics?.recordLatency('admission_wait', now - entry.queuedAt);
    entry.settle(Ok(reservation));
  }

  /** Removes a request that is not served, whose workspace is not charged for it. */
  private withdraw(entry: WaitingRequest): void {
    this.waiting.withdraw(entry);
    this.fairOrder.refund(entry.request.workspace);
    this.countOutcome('refused', entry.request);
  }

  private countOutcome(outcome: string, { priority }: ReservationRequest): void {
    this.metrics?.addCount(`admission_${outcome}_priority_${priority}`);
  }
}
