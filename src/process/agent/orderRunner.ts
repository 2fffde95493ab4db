import { createHash } from 'node:crypto';
import type { PeerLink } from '../../connection/peerLink.js';
import type { RequestError } from '../../errors.js';
import type { MessageOf } from '../../protocol/messages.js';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';
import type { Dispatcher, Job } from './dispatcher.js';
import type { OrderMemory, OrderOutcome } from './orderMemory.js';
import { sendOrder } from './upstreams/orderExchange.js';

export interface OrderContext {
  readonly memory: OrderMemory;
  readonly dispatcher: Dispatcher;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly readClock: () => number;
  readonly upstreamUrl: string;
  /** Whether this process was paused shortly before. */
  readonly hasPaused: () => boolean;
  readonly caller: string;
  readonly getMaxOrderSlots: (workspace: string) => number;
  /** Returns an error when no slots may be issued for the service. */
  readonly checkAdmission: (service: string) => RequestError | undefined;
  /** Returns an error when the upstream accepts no work. */
  readonly checkAccepting: () => RequestError | undefined;
}

const ORDER_COST = 1;
const EMPTY_BODY = new Uint8Array(0);
const createRejectedReply = (call: string, error: RequestError): MessageOf<'orderReply'> => {
  const { code, message, retryAfterMs } = error;
  const retryFields = retryAfterMs === undefined ? {} : { retryAfterMs };
  const errorFields = { code, message, ...retryFields };
  return {
    type: 'orderReply',
    call,
    state: 'rejected',
    reason: message,
    status: 0,
    body: EMPTY_BODY,
    error: errorFields,
  };
};

/** Handles slot requests and order messages, and sends each order to the upstream at most once. */
export class OrderRunner {
  /** Time of the last `orderPut` message, in milliseconds. */
  lastPutAt = 0;
  private readonly running = new Map<string, AbortController>();
  private queuedCount = 0;

  constructor(private readonly context: OrderContext) {}

  /** Number of queued and running orders. */
  get pending(): number {
    return this.queuedCount + this.running.size;
  }

  /**
   * Issues order slots. On failure no slot exists, so no order can run.
   *
   * @param message - Slot request
   * @param link - Link for the reply
   */
  issue(message: MessageOf<'slotRequest'>, link: PeerLink): void {
    const { memory, readClock, checkAdmission, getMaxOrderSlots, metrics } = this.context;
    const { call, workspace, service, count } = message;
    const sendRefusal = (error: RequestError): void => {
      const { code, message: text, retryAfterMs } = error;
      const retryFields = retryAfterMs === undefined ? {} : { retryAfterMs };
      const errorFields = { code, message: text, ...retryFields };
      link.send({ type: 'slotReply', call, ids: [], expiresInMs: 0, error: errorFields });
    };
    const refusal = checkAdmission(service);
    if (refusal !== undefined) {
      sendRefusal(refusal);
      return;
    }
    const limit = getMaxOrderSlots(workspace);
    const issued = memory.issue({ workspace, service }, count, limit, readClock());
    if (issued.isErr()) {
      sendRefusal(issued.error);
      return;
    }
    metrics.addCount('orders.issued', count);
    const expiresInMs = memory.ttlMs;
    link.send({ type: 'slotReply', call, ids: issued.value, expiresInMs });
  }

  /**
   * Accepts the body of an order. Repeats share the same run or receive its outcome.
   *
   * @param message - Order and body
   * @param link - Link for the reply
   */
  put(message: MessageOf<'orderPut'>, link: PeerLink): void {
    const { memory, dispatcher, readClock } = this.context;
    const { call, order, body, remainingMs } = message;
    const now = readClock();
    this.lastPutAt = now;
    // Refused before the slot is modified, so that the caller can send the same order again.
    const current = memory.get(message, now);
    const isNew = current.isOk() && current.value.state === 'open' && !dispatcher.isQueued(order);
    const refusal = isNew ? this.context.checkAccepting() : undefined;
    if (refusal !== undefined) {
      link.send(createRejectedReply(call, refusal));
      return;
    }
    const digest = createHash('sha256').update(body).digest('hex');
    const put = memory.put(message, digest, now);
    if (put.isErr()) {
      link.send(createRejectedReply(call, put.error));
      return;
    }
    const decision = put.value;
    if (decision.kind === 'settled') {
      link.send({ type: 'orderReply', call, ...decision.outcome });
      return;
    }
    this.replyWhenSettled(message, link);
    if (decision.kind === 'shared') return;
    const expiresAt = Math.min(decision.expiresAt, now + remainingMs);
    const accepted = dispatcher.accept(this.createJob(message, expiresAt), now);
    if (accepted.isOk()) return;
    this.queuedCount -= 1;
    memory.markNotRun(order, `order was not run: ${accepted.error.message}`);
  }

  /**
   * Replies with the state of an order.
   *
   * @param message - Order
   * @param link - Link for the reply
   */
  get(message: MessageOf<'orderGet'>, link: PeerLink): void {
    const found = this.context.memory.get(message, this.context.readClock());
    if (found.isErr()) link.send(createRejectedReply(message.call, found.error));
    else link.send({ type: 'orderReply', call: message.call, ...found.value });
  }

  /**
   * Marks an order that has not run as `not-run`; a running or settled order keeps its state.
   *
   * @param message - Order
   * @param link - Link for the reply
   */
  cancel(message: MessageOf<'orderCancel'>, link: PeerLink): void {
    const { memory, readClock } = this.context;
    const found = memory.get(message, readClock());
    if (found.isOk() && found.value.state === 'open') {
      memory.markNotRun(message.order, 'cancelled by the caller');
      if (this.context.dispatcher.remove(message.order)) this.queuedCount -= 1;
    }
    this.get({ ...message, type: 'orderGet' }, link);
  }

  /** Aborts all exchanges and settles every unsettled order. */
  settleAll(): void {
    for (const abort of [...this.running.values()]) abort.abort();
    this.context.memory.settleAll('agent stopped');
  }

  /** Replies with the outcome once the order is settled, or with its current state at the caller's deadline. */
  private replyWhenSettled(message: MessageOf<'orderPut'>, link: PeerLink): void {
    const { memory, readClock } = this.context;
    const { call, order, remainingMs } = message;
    let answered = false;
    const answer = (outcome: OrderOutcome): void => {
      if (answered) return;
      answered = true;
      clearTimeout(timer);
      link.send({ type: 'orderReply', call, ...outcome });
    };
    const timer = setTimeout(
      () => {
        const found = memory.get(message, readClock());
        if (found.isOk()) answer(found.value);
      },
      Math.max(0, remainingMs),
    );
    memory.addOutcomeListener(order, answer);
  }

  private createJob(message: MessageOf<'orderPut'>, expiresAt: number): Job {
    const { memory } = this.context;
    this.queuedCount += 1;
    return {
      id: message.order,
      workspace: message.workspace,
      cost: ORDER_COST,
      expiresAt,
      exclusive: false,
      preemptible: false,
      run: () => this.run(message, expiresAt),
      refuseInDrain: ({ message: reason }) => {
        this.queuedCount -= 1;
        memory.markNotRun(message.order, `order was not run: ${reason}`);
      },
      expire: () => {
        this.queuedCount -= 1;
        memory.markNotRun(
          message.order,
          'deadline passed before the order was sent to the upstream',
        );
      },
      preempt: () => {
        throw new Error('orders cannot be preempted');
      },
    };
  }

  private async run(message: MessageOf<'orderPut'>, expiresAt: number): Promise<'finished'> {
    const { memory, dispatcher, readClock, upstreamUrl, hasPaused, caller, metrics } = this.context;
    const { order, body, workspace } = message;
    const abort = new AbortController();
    this.queuedCount -= 1;
    this.running.set(order, abort);
    const end = await sendOrder({
      url: upstreamUrl,
      order,
      body,
      caller,
      hasPaused,
      signal: abort.signal,
      claim: () => {
        const now = readClock();
        if (now >= expiresAt) memory.markNotRun(order, 'deadline passed before the order was sent');
        if (!dispatcher.canEndInDrain({ preemptible: false, workspace, cost: ORDER_COST }, now))
          memory.markNotRun(order, 'the drain left no time to send the order');
        return memory.claim(order, now);
      },
    });
    this.running.delete(order);
    if (end.kind === 'ended') memory.settle(order, end.outcome);
    else memory.markNotRun(order, `order was not run: ${end.reason}`);
    metrics.addCount(`orders.${end.kind === 'ended' ? end.outcome.state : 'not-run'}`);
    return 'finished';
  }
}
