import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { RequestError } from '../../errors.js';
import { createError } from '../../errors.js';
import { createOrderId } from '../../protocol/orderId.js';

/** `queued`: the body has arrived, but nothing has been sent to the upstream; reported as `open`. */
type OrderSlotState = 'open' | 'queued' | 'running' | 'done' | 'not-run' | 'unknown';

export interface OrderOutcome {
  readonly state: 'open' | 'running' | 'done' | 'not-run' | 'unknown';
  readonly reason: string;
  /** HTTP status and body of the upstream, when `done`. */
  readonly status: number;
  readonly body: Uint8Array<ArrayBuffer>;
}

interface OrderSlot {
  readonly workspace: string;
  readonly service: string;
  readonly expiresAt: number;
  digest: string | undefined;
  state: OrderSlotState;
  reason: string;
  status: number;
  body: Uint8Array<ArrayBuffer>;
  listeners: ((outcome: OrderOutcome) => void)[];
}

export interface OrderMemoryOptions {
  /** Link address of this agent, `ip:port`. */
  readonly address: string;
  readonly host: string;
  readonly incarnation: string;
  readonly ttlMs: number;
  /** Slots are retained this long after expiry. */
  readonly marginMs: number;
}

/** Order id, with the workspace and service it must belong to. */
export interface OrderKey {
  readonly order: string;
  readonly workspace: string;
  readonly service: string;
}

/** `start`: queue the order now; `shared`: wait for the run already accepted; `settled`: the outcome is final. */
export type PutDecision =
  | { readonly kind: 'start'; readonly expiresAt: number }
  | { readonly kind: 'shared' }
  | { readonly kind: 'settled'; readonly outcome: OrderOutcome };

const EMPTY_BODY = new Uint8Array(0);
const FINAL_STATES: ReadonlySet<OrderSlotState> = new Set(['done', 'not-run', 'unknown']);

/** Order slots issued by this incarnation. Only this class decides whether an order may run. */
export class OrderMemory {
  /** In order of issue, which is also the order of expiry, because all slots have the same lifetime. */
  private readonly slots = new Map<string, OrderSlot>();
  private readonly countByWorkspace = new Map<string, number>();

  constructor(private readonly options: OrderMemoryOptions) {}

  /** Lifetime of a slot, in milliseconds. */
  get ttlMs(): number {
    return this.options.ttlMs;
  }

  /**
   * Issues order slots.
   *
   * @param owner - Workspace and service
   * @param count - Number of slots
   * @param limit - Maximum number of slots that the workspace may hold
   * @param now - Current time in milliseconds
   * @returns Order ids, or `order_memory_full`
   */
  issue(
    owner: { workspace: string; service: string },
    count: number,
    limit: number,
    now: number,
  ): Result<string[], RequestError> {
    this.expire(now);
    const { workspace, service } = owner;
    const held = this.countByWorkspace.get(workspace) ?? 0;
    if (held + count > limit) {
      const message = `workspace holds ${held} of ${limit} order slots`;
      return Err(createError('order_memory_full', message, this.estimateReleaseMs(workspace, now)));
    }
    const { address, host, incarnation } = this.options;
    const expiresAt = Math.floor(now) + this.options.ttlMs;
    const ids: string[] = [];
    for (let index = 0; index < count; index += 1) {
      const id = createOrderId({ address, host, incarnation, workspace, service, expiresAt });
      this.slots.set(id, {
        workspace,
        service,
        expiresAt,
        digest: undefined,
        state: 'open',
        reason: '',
        status: 0,
        body: EMPTY_BODY,
        listeners: [],
      });
      ids.push(id);
    }
    this.countByWorkspace.set(workspace, held + count);
    return Ok(ids);
  }

  /**
   * Accepts a body for a slot, or detects that the same body was accepted before.
   *
   * @param key - Order and owner
   * @param digest - Digest of the body
   * @param now - Current time in milliseconds
   * @returns Decision, or `not_found` or `conflict`
   */
  put(key: OrderKey, digest: string, now: number): Result<PutDecision, RequestError> {
    const slot = this.findSlot(key);
    if (slot === undefined) return Err(createError('not_found', 'order is unknown to this agent'));
    if (slot.digest !== undefined && slot.digest !== digest) {
      return Err(createError('conflict', 'order id was already used with a different body'));
    }
    slot.digest = digest;
    this.expireSlot(slot, now);
    if (FINAL_STATES.has(slot.state)) return Ok({ kind: 'settled', outcome: toOutcome(slot) });
    if (slot.state !== 'open') return Ok({ kind: 'shared' });
    slot.state = 'queued';
    return Ok({ kind: 'start', expiresAt: slot.expiresAt });
  }

  /**
   * Reads the state of an order.
   *
   * @param key - Order and owner
   * @param now - Current time in milliseconds
   * @returns State, or `not_found`
   */
  get(key: OrderKey, now: number): Result<OrderOutcome, RequestError> {
    const slot = this.findSlot(key);
    if (slot === undefined) return Err(createError('not_found', 'order is unknown to this agent'));
    this.expireSlot(slot, now);
    return Ok(toOutcome(slot));
  }

  /**
   * Registers a listener for the outcome of an order.
   *
   * @param order - Id of an order that is not settled
   * @param listener - Called once with the outcome
   */
  addOutcomeListener(order: string, listener: (outcome: OrderOutcome) => void): void {
    this.slots.get(order)?.listeners.push(listener);
  }

  /**
   * Claims the only run of an order. Must be called in the same event loop turn as the write to the
   * upstream; if the process were paused between the check and the write, an expired order could run.
   *
   * @param order - Order id
   * @param now - Current time in milliseconds, read in the same event loop turn
   * @returns True for at most one call, and only before the order expires or is marked `not-run`
   */
  claim(order: string, now: number): boolean {
    const slot = this.slots.get(order);
    if (slot?.state !== 'queued') return false;
    this.expireSlot(slot, now);
    // `expireSlot` may have changed the state.
    if ((slot.state as OrderSlotState) !== 'queued') return false;
    slot.state = 'running';
    return true;
  }

  /**
   * Marks an order that has not been sent to the upstream as `not-run`, so that it can never run.
   *
   * @param order - Order id
   * @param reason - Reported to the caller
   * @returns True when the order is now `not-run`, also when it was before
   */
  markNotRun(order: string, reason: string): boolean {
    const slot = this.slots.get(order);
    if (slot === undefined) return false;
    if (slot.state === 'open' || slot.state === 'queued') this.finalize(slot, 'not-run', reason);
    return slot.state === 'not-run';
  }

  /**
   * Settles a running order.
   *
   * @param order - Order id
   * @param outcome - Response of the upstream, or how the exchange ended
   */
  settle(order: string, outcome: OrderOutcome): void {
    const slot = this.slots.get(order);
    if (slot?.state !== 'running' || outcome.state === 'open' || outcome.state === 'running')
      return;
    slot.status = outcome.status;
    slot.body = outcome.body;
    this.finalize(slot, outcome.state, outcome.reason);
  }

  /**
   * Settles every unsettled order: running orders as `unknown`, all others as `not-run`.
   *
   * @param reason - Reported to the callers
   */
  settleAll(reason: string): void {
    for (const slot of this.slots.values()) {
      if (slot.state === 'running') this.finalize(slot, 'unknown', reason);
      else if (!FINAL_STATES.has(slot.state)) this.finalize(slot, 'not-run', reason);
    }
  }

  /**
   * Lists the orders that have not run and never will.
   *
   * @returns Order ids
   */
  listNotRun(): string[] {
    const orders: string[] = [];
    for (const [order, { state }] of this.slots) if (state === 'not-run') orders.push(order);
    return orders;
  }

  /**
   * Marks expired slots as `not-run` and deletes those past the retention margin.
   *
   * @param now - Current time in milliseconds
   */
  expire(now: number): void {
    for (const [id, slot] of this.slots) {
      if (slot.expiresAt > now) break;
      this.expireSlot(slot, now);
      if (slot.expiresAt + this.options.marginMs > now || slot.state === 'running') continue;
      this.slots.delete(id);
      const held = (this.countByWorkspace.get(slot.workspace) ?? 1) - 1;
      if (held === 0) this.countByWorkspace.delete(slot.workspace);
      else this.countByWorkspace.set(slot.workspace, held);
    }
  }

  /**
   * Counts slots by state.
   *
   * @returns Number of slots by state
   */
  countStates(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { state } of this.slots.values()) counts[state] = (counts[state] ?? 0) + 1;
    return counts;
  }

  private findSlot({ order, workspace, service }: OrderKey): OrderSlot | undefined {
    const slot = this.slots.get(order);
    return slot?.workspace === workspace && slot.service === service ? slot : undefined;
  }

  private expireSlot(slot: OrderSlot, now: number): void {
    if (slot.expiresAt > now || (slot.state !== 'open' && slot.state !== 'queued')) return;
    this.finalize(slot, 'not-run', 'order expired before it was sent to the upstream');
  }

  private finalize(slot: OrderSlot, state: OrderSlotState, reason: string): void {
    slot.state = state;
    slot.reason = reason;
    const outcome = toOutcome(slot);
    for (const listener of slot.listeners) listener(outcome);
    slot.listeners = [];
  }

  private estimateReleaseMs(workspace: string, now: number): number {
    for (const slot of this.slots.values()) {
      if (slot.workspace !== workspace) continue;
      return Math.max(1, Math.ceil(slot.expiresAt + this.options.marginMs - now));
    }
    return this.options.ttlMs;
  }
}

function toOutcome(slot: OrderSlot): OrderOutcome {
  const { state, reason, status, body } = slot;
  return { state: state === 'queued' ? 'open' : state, reason, status, body };
}
