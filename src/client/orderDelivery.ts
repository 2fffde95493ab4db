import { setTimeout as sleep } from 'node:timers/promises';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { decideAfterError, decideAfterOutcome } from './decideOrderStep.js';
import type { CallerError, OrderOutcome } from './types.js';

/** Performs one HTTP exchange about an order, through any entry. */
export type OrderExchange = (
  method: 'PUT' | 'GET' | 'DELETE',
) => Promise<Result<OrderOutcome, CallerError>>;

/** Limits of one delivery. */
export const deliveryLimits = {
  settleLimitMs: 30_000,
  retryMinMs: 50,
  retryMaxMs: 2_000,
  /**
   * Number of `unknown` responses marked as final after which `unknown` is accepted as the outcome. An `unknown`
   * without that mark is caused by an unreachable executor, for example a paused one, and is polled until the settle
   * limit.
   */
  minFinalResponses: 4,
};

/** Parameters of `settleOrder`. */
export interface OrderDelivery {
  readonly order: string;
  readonly exchange: OrderExchange;
  readonly limits: typeof deliveryLimits;
  /** Source of jitter, 0 to 1. */
  readonly random: () => number;
}

/**
 * Sends an order's PUT and retries or polls under the same id until its outcome is known.
 *
 * @param delivery - Order id, exchange, limits and jitter
 * @returns The outcome, `unknown` after the settle limit; an error only if no PUT can have reached an executor
 */
export async function settleOrder(
  delivery: OrderDelivery,
): Promise<Result<OrderOutcome, CallerError>> {
  const { exchange, limits } = delivery;
  const deadlineAt = performance.now() + limits.settleLimitMs;
  let method: 'PUT' | 'GET' = 'PUT';
  let mayHaveRun = false;
  let finalResponses = 0;
  let lastReason = '';
  for (let attempt = 0; attempt === 0 || performance.now() < deadlineAt; attempt += 1) {
    if (attempt > 0) await sleep(computeRetryDelay(attempt, limits, delivery.random()));
    const reply: Result<OrderOutcome, CallerError> = await exchange(method);
    if (reply.isOk()) {
      const step = decideAfterOutcome(reply.value);
      if (step === 'finish') return reply;
      mayHaveRun = true;
      lastReason = reply.value.reason;
      if (reply.value.state === 'unknown' && reply.value.final) finalResponses += 1;
      if (finalResponses >= limits.minFinalResponses) return reply;
      method = step === 'put' ? 'PUT' : 'GET';
      continue;
    }
    lastReason = `${reply.error.code}: ${reply.error.message}`;
    if (decideAfterError(reply.error) === 'fail') {
      return mayHaveRun ? Ok(createUnknownOutcome(delivery.order, lastReason)) : Err(reply.error);
    }
    mayHaveRun = true;
  }
  return Ok(createUnknownOutcome(delivery.order, lastReason));
}

/**
 * Computes the delay before the next exchange: exponential backoff, half of it random.
 *
 * @param attempt - Exchanges so far, at least 1
 * @param limits - Minimum and maximum delay, milliseconds
 * @param random - 0 to 1
 * @returns Milliseconds
 */
export function computeRetryDelay(
  attempt: number,
  limits: { readonly retryMinMs: number; readonly retryMaxMs: number },
  random: number,
): number {
  const ceiling = Math.min(limits.retryMaxMs, limits.retryMinMs * 2 ** (attempt - 1));
  return ceiling / 2 + (ceiling / 2) * random;
}

function createUnknownOutcome(order: string, reason: string): OrderOutcome {
  return { order, state: 'unknown', reason, status: 0, answer: '', final: false };
}
