import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { BoundedClient } from '../connection/boundedClient.js';
import { ChatStream, ChatStreamEnd, parseChatAnswer } from './chatStream.js';
import type { ExchangeResponse, ExchangeRequest } from './entryExchange.js';
import {
  createConnectionError,
  parseError,
  sendExchange,
  sendStreamExchange,
} from './entryExchange.js';
import type { OrderExchange } from './orderDelivery.js';
import { deliveryLimits, settleOrder } from './orderDelivery.js';
import { parseOutcome, parseSlots } from './orderWire.js';
import { SlotStore } from './slotStore.js';
import type {
  CallerClientOptions,
  CallerError,
  ChatAnswer,
  ChatRequest,
  OrderOutcome,
} from './types.js';

const HTTP_OK = 200;
const CHAT_PATH = '/v1/chat/completions';
/** Slots are not used for new orders this close to their expiry; at most a quarter of the slot's lifetime. */
const SLOT_EXPIRY_MARGIN_MS = 10_000;
const SLOT_EXPIRY_MARGIN_RATIO = 0.25;
const DEFAULT_RESPONSE_TIMEOUT_MS = 10_000;

type Exchange = Pick<ExchangeRequest, 'method' | 'body' | 'deadlineMs'> & { readonly path: string };

/**
 * Client for chats, calls and orders through any of several entries.
 *
 * Of the requests that execute work, only the PUT of an order is retried, always under the same id.
 */
export class CallerClient {
  private readonly client = new BoundedClient();
  private readonly slots = new SlotStore();
  private readonly random: () => number;
  private nextEntry = 0;

  /**
   * @param options - Entries, token and limits
   * @throws Error if no entry is given
   */
  constructor(private readonly options: CallerClientOptions) {
    if (options.entries.length === 0) throw new Error('CallerClient requires at least one entry');
    this.random = options.random ?? Math.random;
  }

  /**
   * Sends a chat and waits for the complete response.
   *
   * @param chat - Model, messages and token limit
   * @param deadlineMs - Remaining time; the service's default without it
   * @returns The answer or the error
   */
  async sendChat(chat: ChatRequest, deadlineMs?: number): Promise<Result<ChatAnswer, CallerError>> {
    const body = JSON.stringify({ ...chat, stream: false });
    const answer = await this.send({ method: 'POST', path: CHAT_PATH, body, deadlineMs });
    return answer.andThen(({ text }) => parseChatAnswer(text));
  }

  /**
   * Sends a chat and streams the text to a callback.
   *
   * @param chat - Model, messages and token limit
   * @param onText - Called with each part in order
   * @param deadlineMs - Remaining time; the service's default without it
   * @returns The complete response, or an error, also for a stream without its end marker
   */
  async sendStreamedChat(
    chat: ChatRequest,
    onText: (text: string) => void,
    deadlineMs?: number,
  ): Promise<Result<ChatAnswer, CallerError>> {
    const body = JSON.stringify({ ...chat, stream: true });
    const exchange: Exchange = { method: 'POST', path: CHAT_PATH, body, deadlineMs };
    const stream = new ChatStream(onText);
    const head = { status: 0 };
    try {
      const { status, body: errorBody } = await sendStreamExchange(
        this.assignEntry(exchange),
        (data) => {
          stream.add(data);
        },
        (headStatus) => {
          head.status = headStatus;
        },
      );
      if (status !== HTTP_OK) return Err(parseError(status, errorBody.toString('utf8')));
      return stream.end('the stream ended without its end marker');
    } catch (error) {
      if (error instanceof ChatStreamEnd) return error.answer;
      const failure = createConnectionError(error);
      return head.status === HTTP_OK ? stream.end(failure.message) : Err(failure);
    }
  }

  /**
   * Sends one call to a plain service.
   *
   * @param service - Service id
   * @param value - JSON body
   * @param deadlineMs - Remaining time; the service's default without it
   * @returns Status and body of the upstream's response, or the error
   */
  sendCall(
    service: string,
    value: unknown,
    deadlineMs?: number,
  ): Promise<Result<ExchangeResponse, CallerError>> {
    const path = `/v1/services/${service}/calls`;
    return this.send({ method: 'POST', path, body: JSON.stringify(value), deadlineMs });
  }

  /**
   * Requests order slots and keeps them for later orders. Executes nothing.
   *
   * @param service - Service id
   * @param count - Number of slots
   * @returns Number of slots received, or the error
   */
  async reserveSlots(service: string, count: number): Promise<Result<number, CallerError>> {
    const path = `/v1/services/${service}/orders`;
    const requestedAt = Date.now();
    let answer = await this.send({ method: 'POST', path, body: JSON.stringify({ count }) });
    for (
      let attempts = 1;
      answer.isErr() && attempts < this.options.entries.length;
      attempts += 1
    ) {
      answer = await this.send({ method: 'POST', path, body: JSON.stringify({ count }) });
    }
    const issued = answer.andThen(({ text }) => parseSlots(text));
    if (issued.isErr()) return issued;
    const { orders, expiresInMs } = issued.value;
    const marginMs = Math.min(SLOT_EXPIRY_MARGIN_MS, expiresInMs * SLOT_EXPIRY_MARGIN_RATIO);
    this.slots.addSlots(service, orders, requestedAt + expiresInMs - marginMs);
    return Ok(orders.length);
  }

  /**
   * Takes a reserved slot, or requests one. A caller that must recover from its own restart stores the id before it
   * delivers the order.
   *
   * @param service - Service id
   * @returns The order id, or why there is none; nothing is executed in either case
   */
  async takeSlot(service: string): Promise<Result<string, CallerError>> {
    const ready = this.slots.takeSlot(service, Date.now());
    const targetCount = this.options.readySlots ?? 0;
    if (ready !== undefined) {
      if (this.slots.countSlots(service, Date.now()) * 2 < targetCount) {
        void this.reserveSlots(service, targetCount);
      }
      return Ok(ready);
    }
    const reserved = await this.reserveSlots(service, targetCount + 1);
    if (reserved.isErr()) return reserved;
    const taken = this.slots.takeSlot(service, Date.now());
    if (taken !== undefined) return Ok(taken);
    return Err({
      code: 'order_expired',
      message: 'the issued slots expire too soon to be used',
      status: 0,
    });
  }

  /**
   * Delivers an order under an id and determines its outcome; may be called again with the same id and body.
   *
   * A broken connection is not an error: the PUT is retried under the same id, and the outcome is `unknown` if it
   * cannot be determined.
   *
   * @param service - Service id
   * @param order - Order id
   * @param value - JSON body
   * @returns The outcome, or an error when no PUT can have reached an executor
   */
  deliverOrder(
    service: string,
    order: string,
    value: unknown,
  ): Promise<Result<OrderOutcome, CallerError>> {
    return settleOrder({
      order,
      exchange: this.createOrderExchange(service, order, JSON.stringify(value)),
      limits: { ...deliveryLimits, ...this.collectLimits() },
      random: this.random,
    });
  }

  /**
   * Places an order: takes a slot and delivers the order under its id.
   *
   * @param service - Service id
   * @param value - JSON body
   * @returns The outcome, or why no order was placed
   */
  async sendOrder(service: string, value: unknown): Promise<Result<OrderOutcome, CallerError>> {
    const slot = await this.takeSlot(service);
    if (slot.isErr()) return slot;
    return this.deliverOrder(service, slot.value, value);
  }

  /**
   * Reads the state of an order.
   *
   * @param service - Service id
   * @param order - Order id
   * @returns The outcome or the error
   */
  readOrder(service: string, order: string): Promise<Result<OrderOutcome, CallerError>> {
    return this.createOrderExchange(service, order, '')('GET');
  }

  /**
   * Marks an order that has not run as not-run, so that it never runs.
   *
   * @param service - Service id
   * @param order - Order id
   * @returns The outcome, `not-run` if the cancellation took effect, or the error
   */
  cancelOrder(service: string, order: string): Promise<Result<OrderOutcome, CallerError>> {
    return this.createOrderExchange(service, order, '')('DELETE');
  }

  /** Closes all connections. */
  close(): Promise<void> {
    this.client.close();
    return Promise.resolve();
  }

  private createOrderExchange(service: string, order: string, body: string): OrderExchange {
    const path = `/v1/services/${service}/orders/${order}`;
    return async (method) => {
      const exchange: Exchange = method === 'PUT' ? { method, path, body } : { method, path };
      return (await this.send(exchange)).andThen(({ text }) => parseOutcome(text, order));
    };
  }

  private collectLimits(): Partial<typeof deliveryLimits> {
    const { settleLimitMs, retryMinMs, retryMaxMs } = this.options;
    return {
      ...(settleLimitMs === undefined ? {} : { settleLimitMs }),
      ...(retryMinMs === undefined ? {} : { retryMinMs }),
      ...(retryMaxMs === undefined ? {} : { retryMaxMs }),
    };
  }

  private send(exchange: Exchange): Promise<Result<ExchangeResponse, CallerError>> {
    return sendExchange(this.assignEntry(exchange));
  }

  /** Assigns entries round-robin, so that a retry reaches another entry. */
  private assignEntry(exchange: Exchange): ExchangeRequest {
    const { entries, token } = this.options;
    const entry = entries[this.nextEntry % entries.length] ?? '';
    this.nextEntry += 1;
    return {
      ...exchange,
      url: entry + exchange.path,
      token,
      client: this.client,
      answerTimeoutMs: this.options.answerTimeoutMs ?? DEFAULT_RESPONSE_TIMEOUT_MS,
    };
  }
}
