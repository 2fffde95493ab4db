import type { Line } from './lineChoice.js';
import { ReturnSchedule } from './returnSchedule.js';
import type { ServiceLoad } from './serviceLoad.js';
import type { PermitWait } from './upstreamBalancer.js';
import type { Refusal, ReservationRequest } from './types.js';

/** Bounds of the retry-after time that a refused caller receives, before jitter. */
const MIN_RETRY_AFTER_MS = 80;
const MAX_RETRY_AFTER_MS = 2_500;
/** The lowest rate limit that is applied allows one request in this time. */
const MAX_PERMIT_RETRY_AFTER_MS = 20_000;
/** Share of the retry-after time added as random jitter, so that callers refused together do not retry together. */
const RETRY_JITTER = 0.5;
/** Callers wait for at most this share of the time that they have left. */
const MAX_SHARE_OF_TIME_LEFT = 1 / 3;

/** Creates the refusals of an admission queue, with the times at which callers return. */
export class RefusalFactory {
  /** Whether callers return one after the other, as room is released; otherwise at times of their own. */
  isSpread = false;
  private readonly returns = new ReturnSchedule();

  constructor(
    private readonly load: ServiceLoad,
    private readonly countWaiting: () => number,
  ) {}

  /** Creates the refusal of a request whose caller has left. */
  createAborted(): Refusal {
    return this.create('expired', 0, 0);
  }

  /** Creates the refusal of a request that no upstream may serve. */
  createNoUpstream(): Refusal {
    return this.create('no_upstream', 0, MIN_RETRY_AFTER_MS * 2);
  }

  /**
   * Creates the refusal of a request that waited as long as its caller can.
   *
   * @param request - Refused request
   * @param line - Line in which it waited
   * @param now - Current time in milliseconds
   * @returns Refusal
   */
  createExpired(request: ReservationRequest, line: Line | undefined, now: number): Refusal {
    return { ...this.create('expired', 0, this.assignReturn(request, 0, now)), line };
  }

  /**
   * Creates the refusal of a request that cannot be served in time.
   *
   * @param request - Refused request
   * @param waitMs - Expected wait
   * @param now - Current time in milliseconds
   * @returns Refusal
   */
  createOverloaded(request: ReservationRequest, waitMs: number, now: number): Refusal {
    return this.create('overloaded', waitMs, this.assignReturn(request, waitMs, now));
  }

  /**
   * Creates the refusal of a request whose upstreams all want a pause.
   *
   * @param pauseMs - Time until one takes requests again
   * @returns Refusal
   */
  createPaused(pauseMs: number): Refusal {
    return this.create('overloaded', pauseMs, addJitter(pauseMs, MAX_PERMIT_RETRY_AFTER_MS));
  }

  /**
   * Creates the refusal of a request that waits for a permit.
   *
   * @param wait - Expected wait and the upstreams with rate limits
   * @returns Refusal
   */
  createLimited({ delayMs, upstreams }: PermitWait): Refusal {
    const refusal = this.create(
      'overloaded',
      delayMs,
      addJitter(delayMs, MAX_PERMIT_RETRY_AFTER_MS),
    );
    return { ...refusal, rateLimited: upstreams };
  }

  private create(code: Refusal['code'], estimatedWaitMs: number, retryAfterMs: number): Refusal {
    return { code, retryAfterMs, waiting: this.countWaiting(), estimatedWaitMs, rateLimited: [] };
  }

  private assignReturn(request: ReservationRequest, waitMs: number, now: number): number {
    if (!this.isSpread) return addJitter(waitMs, MAX_RETRY_AFTER_MS);
    const leftMs = ((request.deadlineAt ?? Infinity) - now) * MAX_SHARE_OF_TIME_LEFT;
    const earliestMs = Math.min(Math.max(waitMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS);
    const latestMs = Math.max(
      MIN_RETRY_AFTER_MS,
      Math.min(leftMs, MAX_RETRY_AFTER_MS * (1 + RETRY_JITTER)),
    );
    const intervalMs = this.load.getReleaseInterval(now);
    return this.returns.assignReturn({ earliestMs, latestMs, intervalMs }, now);
  }
}

function addJitter(waitMs: number, maxMs: number): number {
  const base = Math.min(Math.max(waitMs, MIN_RETRY_AFTER_MS), maxMs);
  return base * (1 + RETRY_JITTER * Math.random());
}
