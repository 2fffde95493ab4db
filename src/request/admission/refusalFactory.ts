import type { ExpectedWait, RefusalCause } from './admissionDecision.js';
import { RETURN_SHARE_OF_TIME_LEFT } from './admissionDecision.js';
import { ReturnSchedule } from './returnSchedule.js';
import type { Refusal, ReservationRequest } from './types.js';

/** Longest time to return that an upstream's own statement leads to. */
const MAX_STATED_RETURN_MS = 20_000;
/** Share of a time added or subtracted as random jitter, so that callers refused together do not return together. */
const RETURN_JITTER = 0.5;

/** Why a request is refused. */
export interface RefusalReason {
  readonly cause: RefusalCause;
  readonly wait: ExpectedWait;
  /** Time until room for its caller is expected. */
  readonly returnMs: number;
  /** Expected time between two requests that find room. */
  readonly intervalMs: number;
  /** Time for which it has waited. */
  readonly waitedMs: number;
  /** Whether it has waited as long as it can. */
  readonly isExpired: boolean;
}

type ComputeReturn = (request: ReservationRequest, reason: RefusalReason, now: number) => number;

/** Creates the refusals of an admission queue, with the times at which callers return. */
export class RefusalFactory {
  private readonly returns: ReturnSchedule;
  private readonly computeReturn: Readonly<Record<RefusalCause, ComputeReturn>>;

  /**
   * @param countWaiting - Counts the requests that wait
   * @param random - Uniform values in [0, 1)
   */
  constructor(
    private readonly countWaiting: () => number,
    private readonly random: () => number,
  ) {
    this.returns = new ReturnSchedule(random);
    const assignReturn: ComputeReturn = (request, { returnMs, intervalMs }, now) =>
      this.returns.assignReturn(
        { earliestMs: returnMs, latestMs: computeLatestReturn(request, now), intervalMs },
        now,
      );
    // The end of a pause and the next permit are known, and an earlier return would be refused again.
    const addJitter: ComputeReturn = (_request, { returnMs }) =>
      Math.min(returnMs, MAX_STATED_RETURN_MS) * (1 + RETURN_JITTER * random());
    this.computeReturn = {
      queue: assignReturn,
      // Turns at the rate of the releases would make a second queue of the callers who return, before new ones.
      standing_queue: (request, { wait, returnMs }, now) => {
        const latestMs = Math.min(returnMs, computeLatestReturn(request, now));
        return this.returns.spreadReturn({ earliestMs: wait.ms, latestMs });
      },
      outage: assignReturn,
      pause: addJitter,
      rate_limit: addJitter,
    };
  }

  /** Creates the refusal of a request whose caller has left. */
  createAborted(): Refusal {
    return this.create('expired', 0, 0);
  }

  /**
   * Creates the refusal of a request that no upstream may serve. When there is one again is not known.
   *
   * @param request - Refused request
   * @param now - Current time in milliseconds
   * @returns Refusal
   */
  createNoUpstream(request: ReservationRequest, now: number): Refusal {
    const latestMs = computeLatestReturn(request, now);
    return this.create('no_upstream', 0, latestMs * (1 - RETURN_JITTER * this.random()));
  }

  /**
   * Creates the refusal of a request that cannot be served in time, or whose queue does not drain.
   *
   * @param request - Refused request
   * @param reason - Expected wait and time to return
   * @param now - Current time in milliseconds
   * @returns Refusal
   */
  createOverloaded(request: ReservationRequest, reason: RefusalReason, now: number): Refusal {
    const { cause, wait, waitedMs, isExpired } = reason;
    const retryAfterMs = this.computeReturn[cause](request, reason, now);
    const refusal = this.create(isExpired ? 'expired' : 'overloaded', wait.ms, retryAfterMs);
    return { ...refusal, cause, waitedMs, rateLimited: wait.upstreams ?? [] };
  }

  private create(code: Refusal['code'], estimatedWaitMs: number, retryAfterMs: number): Refusal {
    const waiting = this.countWaiting();
    return { code, retryAfterMs, waiting, estimatedWaitMs, rateLimited: [], waitedMs: 0 };
  }
}

function computeLatestReturn({ deadlineAt }: ReservationRequest, now: number): number {
  return Math.max(0, deadlineAt - now) * RETURN_SHARE_OF_TIME_LEFT;
}
