import type { PeerLink } from '../../connection/peerLink.js';
import type { MessageOf } from '../../protocol/messages.js';
import type { GroupPlacement } from '../../version/placement/types.js';
import { startTimeout } from '../../startTimeout.js';
import type { OrderTimeout } from './orderTimeout.js';
import { decodePlacement, encodePlacement } from './placementCodec.js';
import type { OrderOutcome, RankOrder } from './types.js';

type WireOrder = MessageOf<'rankOrder'>['order'];
type Link = Pick<PeerLink, 'send'>;

/** Maps remembered for each link; the sender bases a map on the last one that was confirmed. */
const MAX_REMEMBERED_MAPS = 8;

/** Encodes maps for the ranks of a group; consecutive calls for the same change encode once. */
export class SharedPlacementEncoder {
  private last:
    | {
        placement: GroupPlacement;
        base: GroupPlacement | undefined;
        bytes: Uint8Array<ArrayBuffer>;
      }
    | undefined;

  /**
   * Encodes a map.
   *
   * @param placement - Experts by layer and rank
   * @param base - Map that the receiver has
   * @returns Encoded rows
   */
  encode(placement: GroupPlacement, base: GroupPlacement | undefined): Uint8Array<ArrayBuffer> {
    if (this.last?.placement !== placement || this.last.base !== base) {
      this.last = { placement, base, bytes: encodePlacement(placement, base) };
    }
    return this.last.bytes;
  }
}

/** Sends orders over the link to the ranker of one rank. */
export class RemoteRank {
  private readonly calls = new Map<number, (outcome: OrderOutcome, isReply: boolean) => void>();
  private nextCallId = 1;
  /** Call of an order whose map the ranker is known to have; versions may name two maps, calls do not. */
  private confirmed: { call: number; placement: GroupPlacement } | undefined;

  constructor(
    private readonly link: Link,
    private readonly encoder: SharedPlacementEncoder,
    private readonly timeout: OrderTimeout,
    private readonly readClock: () => number,
  ) {}

  /**
   * Sends an order.
   *
   * @param order - Order for the rank
   * @param epoch - Epoch of the group
   * @returns Outcome; `unknown` without a reply in time
   */
  async sendOrder(order: RankOrder, epoch: number): Promise<OrderOutcome> {
    const call = this.nextCallId;
    this.nextCallId += 1;
    const outcome = await this.performCall(call, this.encodeOrder(order), epoch);
    if (order.kind === 'prepare') {
      const isConfirmed = outcome === 'begun' || outcome === 'done';
      this.confirmed = isConfirmed ? { call, placement: order.placement } : undefined;
    }
    return outcome;
  }

  /**
   * Receives the outcome of an order.
   *
   * @param reply - Reply of the ranker
   */
  receiveReply(reply: Pick<MessageOf<'rankOrderReply'>, 'call' | 'outcome'>): void {
    this.calls.get(reply.call)?.(reply.outcome, true);
  }

  private encodeOrder(order: RankOrder): WireOrder {
    if (order.kind !== 'prepare') return order;
    const { kind, version, placement } = order;
    const rows = this.encoder.encode(placement, this.confirmed?.placement);
    const base = this.confirmed?.call;
    return { kind, version, rows, ...(base === undefined ? {} : { base }) };
  }

  private performCall(call: number, order: WireOrder, epoch: number): Promise<OrderOutcome> {
    return new Promise((resolve) => {
      const sentAt = this.readClock();
      const cancelTimeout = startTimeout(this.timeout.durationMs, () => {
        this.calls.get(call)?.('unknown', false);
      });
      this.calls.set(call, (outcome, isReply) => {
        cancelTimeout();
        this.calls.delete(call);
        if (isReply) this.timeout.recordReply(this.readClock() - sentAt);
        resolve(outcome);
      });
      this.link.send({ type: 'rankOrder', call, epoch, order });
    });
  }
}

/** Expands the orders that arrive over one link. */
export class RankOrderDecoder {
  /** Maps of earlier orders by call. */
  private readonly placements = new Map<number, GroupPlacement>();

  /**
   * Expands an order.
   *
   * @param message - Order as received
   * @returns The order for the engine, or undefined if it rests on a map that this ranker does not have
   */
  decodeOrder({
    call,
    order,
  }: Pick<MessageOf<'rankOrder'>, 'call' | 'order'>): RankOrder | undefined {
    if (order.kind !== 'prepare') return order;
    const { kind, version, base, rows } = order;
    const basePlacement = base === undefined ? undefined : this.placements.get(base);
    if (base !== undefined && basePlacement === undefined) return undefined;
    const decoded = decodePlacement(rows, basePlacement);
    if (decoded.isErr()) return undefined;
    const placement = decoded.value;
    this.placements.set(call, placement);
    for (const oldest of this.placements.keys()) {
      if (this.placements.size <= MAX_REMEMBERED_MAPS) break;
      this.placements.delete(oldest);
    }
    return { kind, version, placement };
  }
}
