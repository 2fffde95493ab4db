import { Client } from 'undici';
import { createWitness } from '../../../connection/processWitness.js';
import type { ProcessWitness } from '../../../connection/processWitness.js';
import { createObservedConnector } from '../../../connection/observedConnector.js';
import { MIN_FINAL_STATUS } from '../../../connection/responseFraming.js';
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
export function sendOrder(exchange: OrderExchange): Promise<SendResult> {
  let hasReset = false;
  const client = new Client(exchange.url, {
    pipelining: 1,
    headersTimeout: defaults.maxDeadlineMs,
    bodyTimeout: defaults.maxDeadlineMs,
    connect: createObservedConnector(() => {
      hasReset = true;
    }),
  });
  return new Promise((resolve) => {
    let claimed = false;
    let abort: ((reason: Error) => void) | undefined;
    const finish = (end: SendResult): void => {
      exchange.signal.removeEventListener('abort', onAbort);
      witness?.close();
      resolve(end);
      client.destroy().catch(() => undefined);
    };
    const onAbort = (): void => {
      abort?.(new Error('drain limit reached'));
      finish(createNoResponseResult(claimed, 'agent stopped while the order was running'));
    };
    exchange.signal.addEventListener('abort', onAbort, { once: true });

    let witness: ProcessWitness | undefined;
    let status = 0;
    let refused = false;
    let size = 0;
    const parts: Buffer[] = [];
    client.dispatch(
      {
        path: '/orders',
        method: 'POST',
        reset: true,
        headers: {
          'content-type': 'application/json',
          'x-order-id': exchange.order,
          'x-order-caller': exchange.caller,
        },
        body: Buffer.from(exchange.body),
      },
      {
        // undici calls this right before the first write, and would call it again before a retry.
        onRequestStart: (controller) => {
          abort = (reason) => {
            controller.abort(reason);
          };
          if (!claimed && !exchange.signal.aborted && exchange.claim()) claimed = true;
          else controller.abort(new Error('order may no longer be sent'));
        },
        onResponseStart: (_controller, statusCode, headers) => {
          if (statusCode < MIN_FINAL_STATUS) return;
          status = statusCode;
          witness = createWitness(exchange, statusCode, headers);
          refused = statusCode === 503 && headers['x-not-run'] === 'true';
        },
        onResponseData: (controller, data) => {
          size += data.length;
          if (size > MAX_RESPONSE_BYTES)
            controller.abort(new Error('response exceeds the size limit'));
          else parts.push(data);
        },
        onResponseEnd: () => {
          if (hasReset) {
            finish(createNoResponseResult(claimed, 'connection was reset within the response'));
            return;
          }
          if (refused) {
            const reason = 'upstream refused the order before running it';
            finish({
              kind: 'ended',
              outcome: { state: 'not-run', reason, status, body: EMPTY_BODY },
            });
            return;
          }
          if (AMBIGUOUS_STATUSES.has(status)) {
            finish(createNoResponseResult(claimed, `upstream responded with status ${status}`));
            return;
          }
          const body = new Uint8Array(Buffer.concat(parts));
          const outcome: OrderOutcome = { state: 'done', reason: '', status, body };
          const settle = (isComplete: boolean): void => {
            if (isComplete) finish({ kind: 'ended', outcome });
            else finish(createNoResponseResult(claimed, 'response ended with its upstream'));
          };
          if (witness === undefined) settle(true);
          else void witness.confirm().then(settle);
        },
        onResponseError: (_controller, error) => {
          finish(createNoResponseResult(claimed, error.message));
        },
      },
    );
  });
}

function createNoResponseResult(claimed: boolean, message: string): SendResult {
  if (!claimed) return { kind: 'never-sent', reason: message };
  const reason = `no response to the order was received: ${message}`;
  return { kind: 'ended', outcome: { state: 'unknown', reason, status: 0, body: EMPTY_BODY } };
}
