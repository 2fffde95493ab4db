import { BoundedClient } from '../../../connection/boundedClient.js';
import type { ResponseHeaders } from '../../../connection/boundedConnection.js';
import { defaults } from '../../../defaults.js';
import type { OrderOutcome } from '../orderMemory.js';

export interface OrderExchange {
  readonly url: string;
  readonly order: string;
  readonly body: Uint8Array;
  /** Host and incarnation of the agent, for upstreams that verify the sender of an order. */
  readonly caller: string;
  /** Claims the only run. Called in the same event loop turn as the write; on false, nothing is written. */
  readonly claim: () => boolean;
  /** Whether this process was paused shortly before. */
  readonly hasPaused: () => boolean;
  /** Aborts the exchange; the outcome is then `unknown` if the claim was granted. */
  readonly signal: AbortSignal;
}

/** `never-sent`: the order was not claimed, so no byte of it was sent. */
export type SendResult =
  { readonly kind: 'never-sent'; readonly reason: string } | ClaimedSendResult;
interface ClaimedSendResult {
  readonly kind: 'ended';
  readonly outcome: OrderOutcome;
}

/** Statuses of intermediaries and overload, which do not indicate whether the order ran. */
const AMBIGUOUS_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);
const EMPTY_BODY = new Uint8Array(0);
const MAX_RESPONSE_BYTES = defaults.maxBodyBytes;

/**
 * Sends one order to the upstream on a dedicated connection. The upstream may close a reused connection just as the
 * order is written, which the agent could not distinguish from a lost response.
 *
 * @param exchange - Order and claim
 * @returns How the exchange ended; the promise never rejects
 */
export async function sendOrder(exchange: OrderExchange): Promise<SendResult> {
  let claimed = false;
  try {
    const { status, headers, body } = await new BoundedClient().send(`${exchange.url}/orders`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        'x-order-id': exchange.order,
        'x-order-caller': exchange.caller,
      },
      body: exchange.body,
      maxBytes: MAX_RESPONSE_BYTES,
      timeoutMs: defaults.maxDeadlineMs,
      signal: exchange.signal,
      hasPaused: exchange.hasPaused,
      isBodyNeeded: (status, headers) => findFixedOutcome(status, headers) === undefined,
      confirmSend: () => {
        if (!claimed && exchange.claim()) claimed = true;
        else return new Error('order may no longer be sent');
        return undefined;
      },
    });
    // The copy is kept with the order; the original may be a part of a larger buffer.
    const done: OrderOutcome = { state: 'done', reason: '', status, body: new Uint8Array(body) };
    return { kind: 'ended', outcome: findFixedOutcome(status, headers) ?? done };
  } catch (error) {
    const isStopped = exchange.signal.aborted;
    const message = isStopped ? 'agent stopped while the order was running' : formatError(error);
    return createNoResponseResult(claimed, message);
  }
}

/** Finds the outcome of a response whose body does not matter. */
function findFixedOutcome(status: number, headers: ResponseHeaders): OrderOutcome | undefined {
  if (status === 503 && headers['x-not-run'] === 'true') {
    const reason = 'upstream refused the order before running it';
    return { state: 'not-run', reason, status, body: EMPTY_BODY };
  }
  if (AMBIGUOUS_STATUSES.has(status))
    return createUnknownOutcome(`upstream responded with status ${status}`);
  return undefined;
}

function createUnknownOutcome(message: string): OrderOutcome {
  const reason = `no response to the order was received: ${message}`;
  return { state: 'unknown', reason, status: 0, body: EMPTY_BODY };
}

function createNoResponseResult(claimed: boolean, message: string): SendResult {
  if (!claimed) return { kind: 'never-sent', reason: message };
  return { kind: 'ended', outcome: createUnknownOutcome(message) };
}

function formatError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
