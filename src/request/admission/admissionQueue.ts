import type { ServiceId } from '../../ids.js';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { Metrics } from '../../process/metrics.js';
import { FairOrder } from './fairOrder.js';
import type { Line } from './lineChoice.js';
import { chooseLine, computeFirstBudget, computeSecondBudget } from './lineChoice.js';
import { RefusalFactory } from './refusalFactory.js';
import { RoomShare } from './roomShare.js';
import { ServiceLoad } from './serviceLoad.js';
import type { RoomSource } from './serviceRoom.js';
import { addRunning, isBounded } from './serviceRoom.js';
import type { PermitWait } from './upstreamBalancer.js';
import type { Reservation, ReservationRequest, Refusal, ServiceRoom } from './types.js';
import type { Place, WaitingRequest } from './waitingLines.js';
import { WaitingLines } from './waitingLines.js';

/**
 * After a site-wide power loss, groups accept work soon after the gateway restarts, whereas a single crashed rank needs
 * several seconds. Requests are queued only while the former is likely, instead of refused, because callers retry once.
 */
const OUTAGE_MAX_QUEUE_MS = 2_000;
/** In a longer outage, leaves a group time to re-form and to be probed before callers retry. */
const OUTAGE_RETRY_AFTER_MS = 1_200;

/**
 * Admission queue of one service at this gateway.
 *
 * Sheds load above the capacity of the engines. Requests that can meet their latency target wait in the first line, streams
 * that can only be served later wait in the second one for room that the first leaves, and the others are refused at once
 * with the time at which capacity is expected. Within a line, requests are served by priority, then fairly by workspace.
 * During the short outage in which all groups re-form after a power loss, requests wait for the first group to accept work.
 */
export class AdmissionQueue {
  private readonly lines = new WaitingLines();
  private readonly load = new ServiceLoad();
  private readonly roomShare = new RoomShare();
  private readonly fairOrder = new FairOrder();
  private readonly refusals = new RefusalFactory(this.load, () => this.lines.length);

  constructor(
    readonly service: ServiceId,
    private readonly balancer: RoomSource,
    private readonly metrics?: Metrics,
  ) {}

  get length(): number {
    return this.lines.length;
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
    if (!this.balancer.hasUpstream(request)) return Err(this.refusals.createNoUpstream());
    this.load.recordArrival(request, now);
    const room = this.measureRoom(now);
    // Without a known room, requests of one priority are served in order of arrival.
    const start = isBounded(room) ? this.fairOrder.assignStart(request.workspace) : 0;
    const place: Place = { line: 'first', request, start };
    const isFirst = this.lines.listAhead(place).length === 0;
    const reservation = isFirst ? this.tryAdmit(place, room, now) : undefined;
    if (reservation !== undefined) {
      this.countOutcome('admitted', place);
      return Ok(reservation);
    }
    const refusal = this.findRefusal(place, now);
    if (refusal !== undefined) return this.refuse(place, refusal);
    const line =
      this.balancer.findOutageStart(request, now) === undefined
        ? this.chooseLine(place, room, now)
        : 'first';
    if (line === undefined) {
      const waitMs = this.estimateWait(place, room, now);
      return this.refuse(place, this.refusals.createOverloaded(request, waitMs, now));
    }
    return new Promise((resolve) => {
      const times = this.load.getTimes(now);
      const secondBudgetMs = computeSecondBudget(request, times, now);
      const entry: WaitingRequest = {
        line,
        request,
        start,
        expiresAt: line === 'first' ? request.expiresAt : now + secondBudgetMs,
        firstUntil: now + computeFirstBudget(request, times, now),
        queuedAt: now,
        settle: resolve,
      };
      this.lines.add(entry);
      signal.addEventListener('abort', () => {
        if (!this.lines.remove(entry)) return;
        this.fairOrder.refund(request.workspace);
        resolve(Err(this.refusals.createAborted()));
      });
    });
  }

  /**
   * Records the release of a reservation, for the wait estimate.
   *
   * @param now - Milliseconds
   */
  recordRelease(now: number): void {
    this.load.recordRelease(now);
    this.roomShare.recordRelease();
  }

  /**
   * Records the time from admission to the first event of a stream.
   *
   * @param durationMs - Milliseconds
   */
  recordFirstEvent(durationMs: number): void {
    this.load.recordFirstEvent(durationMs);
  }

  /**
   * Grants free capacity to queued requests and removes those that have expired or have no upstream left.
   *
   * @param now - Milliseconds
   */
  dispatchQueued(now: number): void {
    if (this.lines.length === 0) return;
    let room = this.dispatchStarved(this.measureRoom(now), now);
    // Once a request that any upstream may serve finds no capacity, neither do the ones after it.
    let hasCapacity = true;
    for (const entry of this.lines) {
      const { request } = entry;
      if (now >= entry.expiresAt) {
        this.settleRefused(entry, this.refusals.createExpired(request, entry.line, now));
        continue;
      }
      const reservation = hasCapacity ? this.tryAdmit(entry, room, now) : undefined;
      if (reservation !== undefined) {
        this.settleAdmitted(entry, reservation, now);
        room = addRunning(room);
      } else if (!this.balancer.hasUpstream(request)) {
        this.settleRefused(entry, this.refusals.createNoUpstream());
      } else if (this.isPausedTooLong(entry, now)) {
        const pauseMs = this.balancer.computePause(request, now);
        this.settleRefused(entry, this.refusals.createPaused(pauseMs));
      } else {
        const isLimited = this.refuseBeyondLimit(entry, now);
        if (!isLimited && request.excluded.size === 0) hasCapacity = false;
        if (!isLimited) this.deferLate(entry, room, now);
      }
    }
  }

  /**
   * Counts the waiting requests for the `/dump` endpoint.
   *
   * @returns Requests by line and priority
   */
  describe(): Record<string, number> {
    return this.lines.describe();
  }

  /** Lets a priority that receives far less than the others go first once. */
  private dispatchStarved(room: ServiceRoom, now: number): ServiceRoom {
    let left = room;
    for (const priority of this.load.shares.listStarved(now)) {
      const entry = this.lines.findNext(priority);
      if (entry === undefined || now >= entry.expiresAt) continue;
      const reservation = this.tryAdmit({ ...entry, line: 'first' }, left, now);
      if (reservation === undefined) continue;
      this.settleAdmitted(entry, reservation, now);
      left = addRunning(left);
    }
    return left;
  }

  private measureRoom(now: number): ServiceRoom {
    const room = this.balancer.measureRoom(this.service, now);
    this.refusals.isSpread = isBounded(room);
    return room;
  }

  private tryAdmit(place: Place, room: ServiceRoom, now: number): Reservation | undefined {
    const { request, line } = place;
    const isLimited = isBounded(room);
    if (isLimited && !this.load.isRoomLeft(request, line, room, now)) return undefined;
    if (isLimited && !this.roomShare.tryTake(room, this.load.running, now)) return undefined;
    const reservation = this.balancer.tryReserve(request, now);
    if (reservation === undefined) {
      if (isLimited) this.roomShare.refund();
      return undefined;
    }
    this.fairOrder.advanceTo(place.start);
    this.load.recordAdmission(request, line, now);
    return reservation;
  }

  /** Finds why a request cannot be admitted in time whatever the load. */
  private findRefusal({ request }: Place, now: number): Refusal | undefined {
    const pauseMs = this.balancer.computePause(request, now);
    if (pauseMs > request.maxWaitMs) return this.refusals.createPaused(pauseMs);
    const permitWait = this.findPermitWait(request, [...this.lines], now);
    if (permitWait !== undefined && permitWait.delayMs > request.maxWaitMs) {
      return this.refusals.createLimited(permitWait);
    }
    const outageStart = this.balancer.findOutageStart(request, now);
    if (outageStart === undefined || now - outageStart <= OUTAGE_MAX_QUEUE_MS) return undefined;
    return this.refusals.createOverloaded(request, OUTAGE_RETRY_AFTER_MS, now);
  }

  private chooseLine(place: Place, room: ServiceRoom, now: number): Line | undefined {
    const first = this.estimateWait(place, room, now);
    if (!isBounded(room)) return first <= place.request.maxWaitMs ? 'first' : undefined;
    const ahead = this.lines.listAhead({ ...place, line: 'second' });
    const second = (ahead.length + 1) * this.load.getSecondLineInterval(now);
    return chooseLine(place.request, { first, second }, this.load.getTimes(now), now);
  }

  private estimateWait(place: Place, room: ServiceRoom, now: number): number {
    const intervalMs = isBounded(room)
      ? this.load.getIntervalOf(place.request.priority, now)
      : this.load.getReleaseInterval(now);
    return (this.lines.listAhead(place).length + 1) * intervalMs;
  }

  /** Moves a request that has missed its target behind those that can still meet theirs. */
  private deferLate(entry: WaitingRequest, room: ServiceRoom, now: number): void {
    if (entry.line === 'second' || now < entry.firstUntil || !isBounded(room)) return;
    const { request } = entry;
    if (this.balancer.findOutageStart(request, now) !== undefined) return;
    const budgetMs = computeSecondBudget(request, this.load.getTimes(now), now);
    if (budgetMs > 0) this.lines.defer(entry, now + budgetMs);
  }

  /**
   * Refuses a queued request once the permits that it waits for are known to come too late.
   *
   * @returns Whether it waits for permits only
   */
  private refuseBeyondLimit(entry: WaitingRequest, now: number): boolean {
    const { request, queuedAt } = entry;
    const permitWait = this.findPermitWait(request, this.lines.listBefore(entry), now);
    if (permitWait === undefined) return false;
    if (now - queuedAt + permitWait.delayMs <= request.maxWaitMs) return true;
    this.settleRefused(entry, this.refusals.createLimited(permitWait));
    return true;
  }

  /** Returns undefined unless the request can only wait for a permit. */
  private findPermitWait(
    request: ReservationRequest,
    queued: readonly WaitingRequest[],
    now: number,
  ): PermitWait | undefined {
    const ahead = queued.filter((other) => other.request.priority <= request.priority);
    const wait = this.balancer.estimatePermitWait(request, ahead.length + 1, now);
    return wait === undefined || wait.delayMs === 0 ? undefined : wait;
  }

  private isPausedTooLong({ request, queuedAt }: WaitingRequest, now: number): boolean {
    const pauseMs = this.balancer.computePause(request, now);
    return pauseMs > 0 && now - queuedAt + pauseMs > request.maxWaitMs;
  }

  private refuse(place: Place, refusal: Refusal): Result<Reservation, Refusal> {
    this.fairOrder.refund(place.request.workspace);
    this.countOutcome('refused', place);
    return Err(refusal);
  }

  private settleRefused(entry: WaitingRequest, refusal: Refusal): void {
    this.lines.remove(entry);
    const refused = this.refuse(entry, { ...refusal, line: entry.line });
    entry.settle(refused);
  }

  private settleAdmitted(entry: WaitingRequest, reservation: Reservation, now: number): void {
    this.lines.remove(entry);
    this.countOutcome('waited', entry);
    this.metrics?.recordLatency(`admission_wait_${entry.line}_line`, now - entry.queuedAt);
    entry.settle(Ok(reservation));
  }

  private countOutcome(outcome: string, { line, request }: Place): void {
    this.metrics?.addCount(`admission_${outcome}_${line}_line_priority_${request.priority}`);
  }
}
