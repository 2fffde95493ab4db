import type { Hello } from '../../connection/peerLink.js';
import { defaults } from '../../defaults.js';
import { parseOrderId } from '../../protocol/orderId.js';

/** Entries with this feature understand `ordersSealed`. */
export const SEALED_ORDERS_FEATURE = 'ordersSealed';
/** An agent would have forgotten its orders after this time. */
const TTL_MS = defaults.orderSlotTtlMs + defaults.orderMemoryMarginMs;
/** Bounds the memory; the oldest ids are forgotten first, and reported as `unknown` again. */
const MAX_ORDERS = 50_000;

/** Orders that stopped agents have sealed: they have not run and never will. */
export class SealedOrders {
  /** Time of the seal in milliseconds by order id, oldest first. */
  private readonly sealedAt = new Map<string, number>();

  /**
   * Records the orders that an agent has sealed; ids that it has not issued are ignored.
   *
   * @param orders - Order ids
   * @param agent - Hello message of the agent
   * @param now - Current time in milliseconds
   */
  record(orders: readonly string[], agent: Pick<Hello, 'host' | 'incarnation'>, now: number): void {
    for (const order of orders) {
      const parsed = parseOrderId(order);
      if (parsed.isErr()) continue;
      const { host, incarnation } = parsed.value;
      if (host === agent.host && incarnation === agent.incarnation) this.sealedAt.set(order, now);
    }
    for (const [order, sealedAt] of this.sealedAt) {
      if (now - sealedAt < TTL_MS && this.sealedAt.size <= MAX_ORDERS) break;
      this.sealedAt.delete(order);
    }
  }

  /**
   * Checks whether an order has been sealed.
   *
   * @param order - Order id
   * @param now - Current time in milliseconds
   * @returns True if it has not run and never will
   */
  has(order: string, now: number): boolean {
    const sealedAt = this.sealedAt.get(order);
    return sealedAt !== undefined && now - sealedAt < TTL_MS;
  }
}
