import type { ServiceId } from '../../ids.js';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { PlaceBoard } from './placeBoard.js';
import type { Place, PlaceRequest, Refusal } from './types.js';

interface Waiting {
  readonly request: PlaceRequest;
  readonly settle: (result: Result<Place, Refusal>) => void;
}

/** Rate at which places come free, averaged over about two seconds. */
const RATE_WINDOW_MS = 2_000;
/** Before any place came free, one in this time is assumed. */
const FIRST_FREE_MS = 100;
/** Bounds of the time that a refused caller is told to wait. */
const MIN_RETRY_AFTER_MS = 80;
const MAX_RETRY_AFTER_MS = 2_500;
/**
 * Groups that lost power with everything else open 1.2 s after the gateway is back; a rank that crashed alone takes
 * seconds. Callers wait only as long as the first is likely, also because they come back only once.
 */
const OUTAGE_HOLD_MS = 2_000;
/** Callers refused in a longer outage come back after a group has had the time to form, 0.6 s, and to be tried. */
const OUTAGE_RETRY_MS = 1_200;
/** Callers that are refused together come back spread over this part of the stated time. */
const RETRY_SPREAD = 0.5;

/**
 * Requests of one service that wait at this gateway for a place.
 *
 * Answers load above what the engines carry: who would wait too long is refused at once with the time at which a
 * place is likely, the others are served by rank, then in order of arrival. Answers also the short outage in which all
 * groups form anew after a loss of power: callers wait for the first group to open.
 */
export class WaitingLine {
  private readonly waiting: Waiting[] = [];
  private freedAt: number[] = [];

  constructor(
    readonly service: ServiceId,
    private readonly board: PlaceBoard,
  ) {}

  get length(): number {
    return this.waiting.length;
  }

  /**
   * Asks for a place.
   *
   * @param request - What asks
   * @param now - Milliseconds
   * @param signal - Aborted when the caller has left
   * @returns A place, or why the request is refused
   */
  requestPlace(
    request: PlaceRequest,
    now: number,
    signal: AbortSignal,
  ): Promise<Result<Place, Refusal>> | Result<Place, Refusal> {
    if (!this.board.hasUpstream(request)) {
      return Err(this.refuse('no_upstream', 0, MIN_RETRY_AFTER_MS * 2));
    }
    const isFirst = !this.waiting.some((other) => other.request.priority <= request.priority);
    const place = isFirst ? this.board.takePlace(request, now) : undefined;
    if (place !== undefined) return Ok(place);
    const outageStart = this.board.findOutageStart(request, now);
    const waitMs = outageStart === undefined ? this.estimateWait(request, now) : OUTAGE_RETRY_MS;
    const isTooLong =
      outageStart === undefined ? waitMs > request.maxWaitMs : now - outageStart > OUTAGE_HOLD_MS;
    if (isTooLong) return Err(this.refuse('overloaded', waitMs, this.computeRetryAfter(waitMs)));
    return new Promise((resolve) => {
      const entry: Waiting = { request, settle: resolve };
      const position = this.waiting.findIndex((other) => other.request.priority > request.priority);
      this.waiting.splice(position === -1 ? this.waiting.length : position, 0, entry);
      signal.addEventListener('abort', () => {
        const index = this.waiting.indexOf(entry);
        if (index === -1) return;
        this.waiting.splice(index, 1);
        resolve(Err(this.refuse('expired', 0, 0)));
      });
    });
  }

  /**
   * Notes that a place of this gateway came free.
   *
   * @param now - Milliseconds
   */
  noteFreed(now: number): void {
    this.freedAt.push(now);
  }

  /**
   * Gives free places to those who wait, and ends waits that have expired.
   *
   * @param now - Milliseconds
   */
  dispatchWaiting(now: number): void {
    for (const entry of [...this.waiting]) {
      const { request, settle } = entry;
      if (now >= request.expiresAt) {
        this.remove(entry);
        settle(Err(this.refuse('expired', 0, this.computeRetryAfter(0))));
        continue;
      }
      const place = this.board.takePlace(request, now);
      if (place !== undefined) {
        this.remove(entry);
        settle(Ok(place));
      } else if (!this.board.hasUpstream(request)) {
        this.remove(entry);
        settle(Err(this.refuse('no_upstream', 0, MIN_RETRY_AFTER_MS * 2)));
      }
    }
  }

  private refuse(code: Refusal['code'], estimatedWaitMs: number, retryAfterMs: number): Refusal {
    return { code, retryAfterMs, waiting: this.waiting.length, estimatedWaitMs };
  }

  private remove(entry: Waiting): void {
    this.waiting.splice(this.waiting.indexOf(entry), 1);
  }

  private estimateWait(request: PlaceRequest, now: number): number {
    this.freedAt = this.freedAt.filter((at) => now - at < RATE_WINDOW_MS);
    const perPlaceMs =
      this.freedAt.length === 0 ? FIRST_FREE_MS : RATE_WINDOW_MS / this.freedAt.length;
    const ahead = this.waiting.filter((other) => other.request.priority <= request.priority);
    return (ahead.length + 1) * perPlaceMs;
  }

  private computeRetryAfter(waitMs: number): number {
    const base = Math.min(Math.max(waitMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS);
    return base * (1 + RETRY_SPREAD * Math.random());
  }
}
