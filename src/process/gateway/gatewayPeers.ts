import type { CloseReason, Hello, MessageHandlers, PeerLink } from '../../connection/peerLink.js';
import { maintainLink } from '../../connection/linkClient.js';
import { LinkServer } from '../../connection/linkServer.js';
import type { HandshakeError } from '../../connection/handshake.js';
import type { MessageOf } from '../../protocol/messages.js';
import type { Fingerprint } from '../../ids.js';
import { toId } from '../../ids.js';
import type { UpstreamBalancer } from '../../request/admission/upstreamBalancer.js';
import type { Logger } from '../logging.js';

/** Interval at which changed in-flight counts are broadcast; half a round trip between zones is 1.4 ms. */
const COUNT_BROADCAST_INTERVAL_MS = 40;
/** Peers in other zones reply within 5 ms; a frozen one must not delay the next read of the store. */
const QUERY_TIMEOUT_MS = 120;
/** Interval at which unchanged counts are sent again, so that they do not expire at the peer. */
const COUNT_REFRESH_INTERVAL_MS = 1_000;

export interface GatewayPeersOptions {
  /** Address on which this gateway accepts links, `ip:port`. */
  readonly address: string;
  readonly seeds: readonly string[];
  readonly self: () => Hello;
  readonly balancer: UpstreamBalancer;
  readonly logger: Logger;
  readonly signal: AbortSignal;
  readonly readClock: () => number;
  /** Called when a peer's counts arrive, which may have freed slots. */
  readonly onCountsReceived: () => void;
  /** Called when another gateway reports that a request crashed an upstream. */
  readonly onCrashReceived: (fingerprint: Fingerprint) => void;
  /**
   * Creates the reply to a query of a peer.
   *
   * @param version - Configuration version that the peer has; the document is included only when it is older
   */
  createSnapshot(version: number): StateSnapshot;
  /**
   * Applies the reply of a peer.
   *
   * @param queriedAt - When the query was sent; the ages in the reply are subtracted from it
   */
  applySnapshot(snapshot: StateSnapshot, queriedAt: number): void;
}

/** Configuration, upstream list and their ages as known to one gateway. */
export type StateSnapshot = Omit<MessageOf<'knowledgeReply'>, 'type' | 'call'>;

/**
 * Links to the other gateways. Each broadcasts how many requests it has in flight at each upstream, and replies to
 * queries for its configuration and upstream list.
 */
export class GatewayPeers {
  private readonly server: LinkServer;
  private readonly links = new Map<string, PeerLink>();
  private readonly knownAddresses = new Set<string>();
  private readonly pendingQueries = new Map<
    number,
    { readonly queriedAt: number; settle(): void }
  >();
  private nextCall = 1;
  private lastSentCounts = '';
  private lastSentAt = -Infinity;

  constructor(private readonly options: GatewayPeersOptions) {
    const [host = '', port = '0'] = options.address.split(':');
    this.server = new LinkServer({
      host,
      port: Number(port),
      self: options.self,
      handlers: this.createHandlers(),
      onLink: (link) => {
        this.addLink(link);
      },
      onRefused: (error: HandshakeError) => {
        options.logger.warn({ code: error.code, detail: error.message }, 'refused link from peer');
      },
    });
  }

  /** Number of linked gateways, including this one. */
  get size(): number {
    return this.links.size + 1;
  }

  /** Listens for peers, connects to the seeds and starts to broadcast counts. */
  async start(): Promise<void> {
    await this.server.listen();
    for (const seed of this.options.seeds) this.connect(seed);
    const timer = setInterval(() => {
      this.broadcastCounts(this.options.readClock());
    }, COUNT_BROADCAST_INTERVAL_MS);
    this.options.signal.addEventListener('abort', () => {
      clearInterval(timer);
      this.server.close();
      for (const link of this.links.values()) link.close();
    });
  }

  /**
   * Queries every linked gateway for a newer configuration and a later validation of the cached one. Resolves when all
   * have replied or `QUERY_TIMEOUT_MS` has passed.
   *
   * @param version - Version of the cached configuration
   * @returns False when there are other gateways but none has replied
   */
  async queryAll(version: number): Promise<boolean> {
    let replies = 0;
    const answers = [...this.links.values()].map(
      (link) =>
        new Promise<void>((resolve) => {
          const call = this.nextCall;
          this.nextCall += 1;
          const end = (): void => {
            clearTimeout(timer);
            this.pendingQueries.delete(call);
            resolve();
          };
          const settle = (): void => {
            replies += 1;
            end();
          };
          const timer = setTimeout(end, QUERY_TIMEOUT_MS);
          this.pendingQueries.set(call, { queriedAt: this.options.readClock(), settle });
          link.send({ type: 'knowledgeAsk', call, version });
        }),
    );
    await Promise.all(answers);
    return replies > 0 || this.knownAddresses.size === 0;
  }

  /**
   * Notifies all linked gateways that a request crashed an upstream.
   *
   * @param fingerprint - Hash of the request
   */
  broadcastCrash(fingerprint: Fingerprint): void {
    for (const link of this.links.values()) link.send({ type: 'crashNotice', fingerprint });
  }

  private createHandlers(): MessageHandlers {
    return {
      crashNotice: ({ fingerprint }) => {
        this.options.onCrashReceived(toId<Fingerprint>(fingerprint));
      },
      knowledgeAsk: ({ call, version }, link) => {
        link.send({ type: 'knowledgeReply', call, ...this.options.createSnapshot(version) });
      },
      knowledgeReply: ({ call, ...snapshot }) => {
        const query = this.pendingQueries.get(call);
        if (query === undefined) return;
        this.options.applySnapshot(snapshot, query.queriedAt);
        query.settle();
      },
      gatewayCounts: (message, link) => {
        const { balancer, readClock: readClock, onCountsReceived } = this.options;
        const counts = new Map(Object.entries(message.running));
        balancer.applyPeerCounts(link.peer.processId, counts, readClock());
        for (const address of message.peers) this.connect(address);
        onCountsReceived();
      },
    };
  }

  /**
   * Maintains the link to one peer. A gateway connects to its seeds and to peers with a higher address; peers with a
   * lower address connect to it.
   */
  private connect(address: string): void {
    const { options } = this;
    if (this.knownAddresses.has(address) || address === options.address) return;
    this.knownAddresses.add(address);
    if (address < options.address && !options.seeds.includes(address)) return;
    void maintainLink({
      address,
      self: options.self,
      handlers: this.createHandlers(),
      signal: options.signal,
      onLink: (link) => {
        this.addLink(link);
      },
      onDown: (reason: CloseReason | HandshakeError['code']) => {
        options.logger.debug({ peer: address, reason }, 'peer link closed');
      },
    });
  }

  private addLink(link: PeerLink): void {
    const { processId, host } = link.peer;
    this.links.set(processId, link);
    this.knownAddresses.add(host);
    this.lastSentCounts = '';
    this.options.logger.info({ peer: processId, address: host }, 'peer linked');
    link.onClose((reason) => {
      if (this.links.get(processId) !== link) return;
      this.links.delete(processId);
      this.options.balancer.removePeer(processId);
      this.options.logger.info({ peer: processId, reason }, 'peer lost');
    });
  }

  private broadcastCounts(now: number): void {
    if (this.links.size === 0) return;
    const running = Object.fromEntries(this.options.balancer.listInFlight());
    const text = JSON.stringify(running);
    if (text === this.lastSentCounts && now - this.lastSentAt < COUNT_REFRESH_INTERVAL_MS) return;
    this.lastSentCounts = text;
    this.lastSentAt = now;
    const peers = [this.options.address, ...this.knownAddresses];
    for (const link of this.links.values()) link.send({ type: 'gatewayCounts', running, peers });
  }
}
