import type { ErrorCode } from '../../errors.js';
import { errorTraits } from '../../errors.js';

const MAX_FREE_RETRIES = 2;
/**
 * Refusals caused by overload. Other upstreams are likely to refuse for the same reason, so these
 * retries are charged to the budget; free retries tripled the load of an overloaded fleet.
 */
const overloadCodes: ReadonlySet<ErrorCode> = new Set([
  'overloaded',
  'queue_full',
  'deadline_unreachable',
]);

/** An attempt that ended without a complete response. */
export interface FailedAttempt {
  readonly code: ErrorCode;
  /** False when nothing reached the upstream. */
  readonly started: boolean;
}

export interface RetryState {
  /** Whether the work may run twice, as chats and calls of repeatable services may. */
  readonly repeatable: boolean;
  /** Retries so far that were not charged to the budget, because nothing had run. */
  readonly freeRetries: number;
}

/** `free` and `budgeted` allow another attempt, the latter only if the budget has a token. */
export type RetryDecision = 'free' | 'budgeted' | 'give-up';

/**
 * Decides whether a failed attempt may be retried.
 *
 * @param state - Retry state of the request
 * @param failed - The failed attempt
 * @returns The decision
 */
export function decideRetry(state: RetryState, failed: FailedAttempt): RetryDecision {
  if (!errorTraits[failed.code].retryElsewhere) return 'give-up';
  if (overloadCodes.has(failed.code)) return 'budgeted';
  if (!failed.started) return state.freeRetries < MAX_FREE_RETRIES ? 'free' : 'give-up';
  return state.repeatable ? 'budgeted' : 'give-up';
}
