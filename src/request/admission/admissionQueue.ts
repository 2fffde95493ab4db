import type { ServiceId } from '../../ids.js';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { PermitWait, UpstreamBalancer } from './upstreamBalancer.js';
import type { Reservation, ReservationRequest, Refusal } from './types.js';

interface QueuedRequest {
  readonly request: ReservationRequest;
  readonly queuedAt: number;
  readonly settle: (result: Result<Reservation, Refusal>) => void;
}

/** Sliding window over which the release rate is averaged. */
const RATE_WINDOW_MS = 2_000;
/** Assumed interval between releases before the window holds any. */
const DEFAULT_RELEASE_INTERVAL_MS = 100;
/** Bounds of the retry-after time that a refused caller receives, before jitter. */
const MIN_RETRY_AFTER_MS = 80;
const MAX_RETRY_AFTER_MS = 2_500;
/** The lowest rate limit that is applied allows one request in this time. */
const MAX_PERMIT_RETRY_AFTER_MS = 20_000;
/**
 * After a site-wide power loss, groups accept work 1.2 s after the gateway restarts, whereas a single crashed rank needs
 * several seconds. Requests are queued only while the former is likely, instead of refused, because callers retry once.
 */
const OUTAGE_MAX_QUEUE_MS = 2_000;
/** In a longer outage, leaves a group time to re-form, which takes 0.6 s, and to be probed before callers retry. */
const OUTAGE_RETRY_AFTER_MS = 1_200;
/** Share of the retry-after time added as random jitter, so that callers refused together do not retry together. */
const RETRY_JITTER = 0.5;

/**
 * Admission queue of one service at this gateway.
 *
 * Sheds load above the capacity of the engines: a request whose estimated wait is too long is refused at once with the
 * time at which capacity is expected; the others are served by priority, then in order of arrival. During the short
 * outage in which all groups re-form after a power loss, requests wait for the first group to accept work.
 */
export class AdmissionQueue {
  private readonly waiting: QueuedRequest[] = [];
  private releaseTimes: number[] = [];

  constructor(
    readonly service: ServiceId,
    private readonly balancer: UpstreamBalancer,
  ) {}

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
    if (signal.aborted) return Err(this.createRefusal('expired', 0, 0));
    if (!this.balancer.hasUpstream(request)) {
      return Err(this.createRefusal('no_upstream', 0, MIN_RETRY_AFTER_MS * 2));
    }
    const isFirst = !this.waiting.some((other) => other.request.priority <= request.priority);
    const reservation = isFirst ? this.balancer.tryReserve(request, now) : undefined;
    if (reservation !== undefined) return Ok(reservation);
    const pauseMs = this.balancer.computePause(request, now);
    if (pauseMs > request.maxWaitMs) return Err(this.createPauseRefusal(pauseMs));
    const permitWait = this.findPermitWait(request, this.waiting, now);
    if (permitWait !== undefined && permitWait.delayMs > request.maxWaitMs) {
      return Err(this.createLimitRefusal(permitWait));
    }
    const outageStart = this.balancer.findOutageStart(request, now);
    const waitMs =
      outageStart === undefined ? this.estimateWait(request, now) : OUTAGE_RETRY_AFTER_MS;
    const isTooLong =
      outageStart === undefined
        ? waitMs > request.maxWaitMs
        : now - outageStart > OUTAGE_MAX_QUEUE_MS;
    if (isTooLong)
      return Err(this.createRefusal('overloaded', waitMs, this.computeRetryAfter(waitMs)));
    return new Promise((resolve) => {
      const entry: QueuedRequest = { request, queuedAt: now, settle: resolve };
      const position = this.waiting.findIndex((other) => other.request.priority > request.priority);
      this.waiting.splice(position === -1 ? this.waiting.length : position, 0, entry);
      signal.addEventListener('abort', () => {
        const index = this.waiting.indexOf(entry);
        if (index === -1) return;
        this.waiting.splice(index, 1);
        resolve(Err(this.createRefusal('expired', 0, 0)));
      });
    });
  }

  /**
   * Records the release of a reservation, for the wait estimate.
   *
   * @param now - Milliseconds
   */
  recordRelease(now: number): void {
    this.releaseTimes.push(now);
  }

  /**
   * Grants free capacity to queued requests and removes those that have expired or have no upstream left.
   *
   * @param now - Milliseconds
   */
  dispatchQueued(now: number): void {
    // Once a request that any upstream may serve finds no capacity, neither do the ones after it.
    let hasCapacity = true;
    for (const entry of [...this.waiting]) {
      const { request, settle } = entry;
      if (now >= request.expiresAt) {
        this.remove(entry);
        settle(Err(this.createRefusal('expired', 0, this.computeRetryAfter(0))));
        continue;
      }
      const reservation = hasCapacity ? this.balancer.tryReserve(request, now) : undefined;
      if (reservation !== undefined) {
        this.remove(entry);
        settle(Ok(reservation));
      } else if (!this.balancer.hasUpstream(request)) {
        this.remove(entry);
        settle(Err(this.createRefusal('no_upstream', 0, MIN_RETRY_AFTER_MS * 2)));
      } else if (this.isPausedTooLong(entry, now)) {
        this.remove(entry);
        settle(Err(this.createPauseRefusal(this.balancer.computePause(request, now))));
      } else {
        const isLimited = this.refuseBeyondLimit(entry, now);
        if (!isLimited && request.excluded.size === 0) hasCapacity = false;
      }
    }
  }

  /**
   * Refuses a queued request once the permits that it waits for are known to come too late.
   *
   * @returns Whether it waits for permits only
   */
  private refuseBeyondLimit(entry: QueuedRequest, now: number): boolean {
    const { request, queuedAt, settle } = entry;
    const ahead = this.waiting.slice(0, this.waiting.indexOf(entry));
    const permitWait = this.findPermitWait(request, ahead, now);
    if (permitWait === undefined) return false;
    if (now - queuedAt + permitWait.delayMs <= request.maxWaitMs) return true;
    this.remove(entry);
    settle(Err(this.createLimitRefusal(permitWait)));
    return true;
  }

  /** Returns undefined unless the request can only wait for a permit. */
  private findPermitWait(
    request: ReservationRequest,
    queued: readonly QueuedRequest[],
    now: number,
  ): PermitWait | undefined {
    const ahead = queued.filter((other) => other.request.priority <= request.priority);
    const wait = this.balancer.estimatePermitWait(request, ahead.length + 1, now);
    return wait === undefined || wait.delayMs === 0 ? undefined : wait;
  }

  private isPausedTooLong({ request, queuedAt }: QueuedRequest, now: number): boolean {
    const pauseMs = this.balancer.computePause(request, now);
    return pauseMs > 0 && now - queuedAt + pauseMs > request.maxWaitMs;
  }

  private createPauseRefusal(pauseMs: number): Refusal {
    const retryAfterMs = this.computeRetryAfter(pauseMs, MAX_PERMIT_RETRY_AFTER_MS);
    return this.createRefusal('overloaded', pauseMs, retryAfterMs);
  }

  private createLimitRefusal({ delayMs, upstreams }: PermitWait): Refusal {
    const retryAfterMs = this.computeRetryAfter(delayMs, MAX_PERMIT_RETRY_AFTER_MS);
    return { ...this.createRefusal('overloaded', delayMs, retryAfterMs), rateLimited: upstreams };
  }

  private createRefusal(
    code: Refusal['code'],
    estimatedWaitMs: number,
    retryAfterMs: number,
  ): Refusal {
    const waiting = this.waiting.length;
    return { code, retryAfterMs, waiting, estimatedWaitMs, rateLimited: [] };
  }

  private remove(entry: QueuedRequest): void {
    this.waiting.splice(this.waiting.indexOf(entry), 1);
  }

  private estimateWait(request: ReservationRequest, now: number): number {
    this.releaseTimes = this.releaseTimes.filter((at) => now - at < RATE_WINDOW_MS);
    const releaseIntervalMs =
      this.releaseTimes.length === 0
        ? DEFAULT_RELEASE_INTERVAL_MS
        : RATE_WINDOW_MS / this.releaseTimes.length;
    const ahead = this.waiting.filter((other) => other.request.priority <= request.priority);
    return (ahead.length + 1) * releaseIntervalMs;
  }

  private computeRetryAfter(waitMs: number, maxMs = MAX_RETRY_AFTER_MS): number {
    const base = Math.min(Math.max(waitMs, MIN_RETRY_AFTER_MS), maxMs);
    return base * (1 + RETRY_JITTER * Math.random());
  }
}
