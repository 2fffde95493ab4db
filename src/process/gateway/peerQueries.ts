import type { PeerLink } from '../../connection/peerLink.js';
import type { MessageOf } from '../../protocol/messages.js';
import { startTimeout } from '../../startTimeout.js';
import type { StateSnapshot } from './gatewayPeers.js';

/** Peers in other zones reply within 5 ms; a frozen one must not delay the next read of the store. */
const QUERY_TIMEOUT_MS = 120;

interface PendingQuery {
  readonly queriedAt: number;
  settle(reply: StateSnapshot): void;
}

/** Queries to other gateways that have not been answered. */
export class PeerQueries {
  private readonly pending = new Map<number, PendingQuery>();
  private nextCall = 1;

  /** @param readClock - Current time in milliseconds */
  constructor(private readonly readClock: () => number) {}

  /**
   * Sends a query.
   *
   * @param link - Link to the gateway
   * @param query - What is asked for
   * @returns The reply, or undefined after the time-out
   */
  send(
    link: PeerLink,
    query: Omit<MessageOf<'knowledgeAsk'>, 'type' | 'call'>,
  ): Promise<StateSnapshot | undefined> {
    return new Promise((resolve) => {
      const call = this.nextCall;
      this.nextCall += 1;
      const settle = (reply: StateSnapshot | undefined): void => {
        cancelTimeout();
        this.pending.delete(call);
        resolve(reply);
      };
      const cancelTimeout = startTimeout(QUERY_TIMEOUT_MS, () => {
        settle(undefined);
      });
      this.pending.set(call, { queriedAt: this.readClock(), settle });
      link.send({ type: 'knowledgeAsk', call, ...query });
    });
  }

  /**
   * Settles the query that a reply answers; a reply after the time-out is ignored.
   *
   * @param call - Number of the query
   * @param reply - Reply
   * @param apply - Applies the reply before the query is settled; gets the time at which the query was sent
   */
  settle(call: number, reply: StateSnapshot, apply: (queriedAt: number) => void): void {
    const query = this.pending.get(call);
    if (query === undefined) return;
    apply(query.queriedAt);
    query.settle(reply);
  }
}
