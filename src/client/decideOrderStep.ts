import type { CallerError, OrderOutcome } from './types.js';

/** Next action of the client after an exchange about an order. */
export type OrderStep = 'finish' | 'fail' | 'put' | 'get';

const HTTP_REQUEST_TIMEOUT = 408;
const HTTP_TOO_MANY_REQUESTS = 429;
const MIN_SERVER_ERROR_STATUS = 500;

/** Next step by reported state. An `open` slot has not been executed, so its PUT may be sent again. */
const stepsByState: Readonly<Record<OrderOutcome['state'], OrderStep>> = {
  open: 'put',
  running: 'get',
  done: 'finish',
  'not-run': 'finish',
  unknown: 'get',
};

/**
 * Chooses the next step after an order state was reported.
 *
 * @param outcome - Outcome reported by the entry
 * @returns The next step
 */
export function decideAfterOutcome(outcome: OrderOutcome): OrderStep {
  return stepsByState[outcome.state];
}

/**
 * Chooses the next step after a failed exchange.
 *
 * The PUT is retried under the same id after lost replies and temporary errors. Other errors are permanent:
 * the same PUT would be rejected again.
 *
 * @param error - Error of the exchange
 * @returns The next step
 */
export function decideAfterError(error: CallerError): OrderStep {
  const isTemporary =
    error.status === 0 ||
    error.status === HTTP_REQUEST_TIMEOUT ||
    error.status === HTTP_TOO_MANY_REQUESTS ||
    error.status >= MIN_SERVER_ERROR_STATUS;
  return isTemporary ? 'put' : 'fail';
}
