import { Agent, request } from 'undici';
import { getExampleToken } from './deployment.js';
import type { SentRequest } from './sentRequests.js';
import { createRequestId, takeSentRequest } from './sentRequests.js';

const REFUSED_BACKOFF_MS = 50;
const DEADLINE_MS = 5_000;

/**
 * Outcome of an order that was sent once, as seen by the caller. `refused`: never accepted; `cut`: accepted or
 * possibly accepted, without a final state.
 */
export interface OrderResult {
  readonly intent: string;
  readonly state: 'done' | 'refused' | 'cut';
  /** State or error code of the response, or the error of the connection. */
  readonly detail: string;
  readonly url: string;
  /** Reason of the state, or message of the error. */
  readonly message: string;
  /** 0 without a response. */
  readonly status: number;
  /** The PUT, or the slot request if that failed; undefined if it was not written to a connection. */
  readonly sent: SentRequest | undefined;
  readonly endedAt: number;
}

export interface OrderTarget {
  readonly url: string;
  readonly service: string;
  readonly workspace: string;
}

interface OrderResponse {
  readonly status: number;
  readonly ids?: string[];
  readonly state?: string;
  readonly code: string;
  readonly message: string;
  readonly sent: SentRequest | undefined;
}

/**
 * Takes an order slot and sends the order once. There is no retry that could mask a lost response.
 *
 * @param target - Entry and service
 * @param intent - Identifies the order in the executions recorded by the service
 * @param dispatcher - Connection pool
 * @returns The outcome as seen by the caller
 */
export async function sendOrderOnce(
  target: OrderTarget,
  intent: string,
  dispatcher: Agent,
): Promise<OrderResult> {
  const base = `${target.url}/v1/services/${target.service}/orders`;
  const slot = await sendRequest('POST', base, target, '{"count":1}', dispatcher);
  const id = slot.ids?.[0];
  const describe = (
    state: OrderResult['state'],
    detail: string,
    { message, status, sent }: OrderResponse,
  ): OrderResult => ({
    ...{ intent, state, detail, url: target.url, message, status, sent },
    endedAt: Date.now(),
  });
  // Without an id the order cannot have been sent.
  if (id === undefined) return describe('refused', slot.code, slot);
  const body = JSON.stringify({ intent });
  const reply = await sendRequest('PUT', `${base}/${id}`, target, body, dispatcher);
  if (reply.state === 'done') return describe('done', 'done', reply);
  const isRefused = reply.code === 'ECONNREFUSED' || reply.code === 'draining';
  return describe(isRefused ? 'refused' : 'cut', reply.state ?? reply.code, reply);
}

async function sendRequest(
  method: 'POST' | 'PUT',
  url: string,
  target: OrderTarget,
  body: string,
  dispatcher: Agent,
): Promise<OrderResponse> {
  const requestId = createRequestId();
  try {
    const response = await request(url, {
      method,
      dispatcher,
      headers: {
        authorization: `Bearer ${getExampleToken(target.workspace)}`,
        'content-type': 'application/json',
        'x-request-id': requestId,
        'x-deadline-ms': String(DEADLINE_MS),
      },
      body,
    });
    const value = (await response.body.json()) as {
      ids?: string[];
      state?: string;
      reason?: string;
      error?: { code: string; message: string };
    };
    return {
      ...value,
      status: response.statusCode,
      code: value.error?.code ?? '',
      message: value.error?.message ?? value.reason ?? '',
      sent: takeSentRequest(requestId),
    };
  } catch (error) {
    const { code, name, message } = error as { code?: string; name?: string; message?: string };
    const sent = takeSentRequest(requestId);
    return { status: 0, code: code ?? name ?? 'unknown', message: message ?? '', sent };
  }
}

/** Concurrent callers that send orders in a loop until `stop` is called. */
export class OrderCallers {
  readonly results: OrderResult[] = [];
  private readonly dispatcher = new Agent();
  private readonly tasks: Promise<void>[];
  private stopped = false;

  /**
   * @param count - Number of concurrent callers
   * @param intentPrefix - Prefix of each intent
   * @param selectTarget - Selects the target of a caller
   */
  constructor(count: number, intentPrefix: string, selectTarget: (caller: number) => OrderTarget) {
    let index = 0;
    this.tasks = Array.from({ length: count }, async (_, caller) => {
      while (!this.stopped) {
        index += 1;
        const intent = `${intentPrefix}-${index}`;
        const result = await sendOrderOnce(selectTarget(caller), intent, this.dispatcher);
        this.results.push(result);
        if (result.state !== 'done')
          await new Promise((resolve) => setTimeout(resolve, REFUSED_BACKOFF_MS));
      }
    });
  }

  /** Waits for the orders in flight; resolves with all results. */
  async stop(): Promise<readonly OrderResult[]> {
    this.stopped = true;
    await Promise.all(this.tasks);
    await this.dispatcher.destroy();
    return this.results;
  }
}
