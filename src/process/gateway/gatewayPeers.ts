import type { CloseReason, Hello, MessageHandlers, PeerLink } from '../../connection/peerLink.js';
import { isAddress } from '../../connection/address.js';
import { maintainLink } from '../../connection/linkClient.js';
import { encodeFrame } from '../../connection/frameCodec.js';
import { LinkServer } from '../../connection/linkServer.js';
import type { HandshakeError } from '../../connection/handshake.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { UpstreamBalancer } from '../../request/admission/upstreamBalancer.js';
import type { Logger } from '../logging.js';
import { PeerQueries } from './peerQueries.js';
import type { PeerTopic } from './peerTopics.js';

/** Interval at which changed in-flight counts are broadcast; half a round trip between zones is 1.4 ms. */
const COUNT_BROADCAST_INTERVAL_MS = 40;
/** With many gateways counts are sent less often, so that a gateway sends and receives about 400 frames a second. */
const COUNT_INTERVAL_MS_PER_LINK = 2.5;
/** Gateways asked for documents and lists at a time; the replies of all would fill the link of the one that asks. */
const MAX_COMPLETE_REPLIES = 3;
/** Interval at which unchanged counts are sent again, so that they do not expire at the peer. */
const COUNT_REFRESH_INTERVAL_MS = 1_000;
/** A gateway without a link is counted as running for this long; a partition may last minutes. */
const UNLINKED_TTL_MS = 600_000;
/** A gateway sends about 400 frames a second; decoding them takes about 2 ms. */
const MAX_READ_SHARE = 0.2;
/** Several of the largest replies. */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024;
/** Addresses of other gateways that are kept; there are far fewer gateways. */
const MAX_KNOWN_ADDRESSES = 300;
/** Addresses learned in a second; connecting to a thousand in one turn of the event loop took 300 ms. */
const MAX_NEW_ADDRESSES = 64;
const ADDRESS_WINDOW_MS = 1_000;
/** Queries of one gateway that are answered in a second; it sends a few, and a reply costs far more than a query. */
const MAX_QUERIES = 50;
const QUERY_WINDOW_MS = 1_000;
const linkBounds = { maxReadShare: MAX_READ_SHARE, maxUnsentBytes: MAX_UNSENT_BYTES } as const;

export interface GatewayPeersOptions {
  /** Address on which this gateway accepts links, `ip:port`. */
  readonly address: string;
  readonly seeds: readonly string[];
  readonly self: () => Hello;
  readonly balancer: UpstreamBalancer;
  readonly topics: readonly PeerTopic[];
  readonly logger: Logger;
  readonly signal: AbortSignal;
  readonly readClock: () => number;
  /** Called when counts of a peer arrive, with which queued requests may be sent. */
  readonly onCapacityChanged: () => void;
  /** Called when another gateway has read a change from the store. */
  readonly onHint: () => void;
  /**
   * Creates the reply to a query of a peer.
   *
   * @param version - Configuration version that the peer has; the document is included only when it is older
   * @param configurationOnly - Leaves out the upstream list
   * @param listing - Listing that the peer has; undefined if it takes the complete list
   */
  createSnapshot(version: number, configurationOnly: boolean, listing?: string): StateSnapshot;
  /**
   * Applies the reply of a peer.
   *
   * @param queriedAt - When the query was sent; the ages in the reply are subtracted from it
   * @param sender - Process id of the peer
   */
  applySnapshot(snapshot: StateSnapshot, queriedAt: number, sender: string): void;
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
  /** When a link to each known address was last open, or when the address was learned. */
  private readonly lastSeenAt = new Map<string, number>();
  private readonly queries: PeerQueries;
  private newAddresses = { startedAt: -Infinity, count: 0 };
  private readonly answered = new WeakMap<PeerLink, { startedAt: number; queries: number }>();
  private lastSentCounts = '';
  private lastSentAt = -Infinity;
  private addressesSentAt = -Infinity;

  constructor(private readonly options: GatewayPeersOptions) {
    this.queries = new PeerQueries(options.readClock);
    const [host = '', port = '0'] = options.address.split(':');
    this.server = new LinkServer({
      host,
      port: Number(port),
      self: options.self,
      ...linkBounds,
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

  /**
   * Counts the gateways that are known to run, including this one.
   *
   * @param now - Current time in milliseconds
   * @returns Linked gateways and those that were linked or learned of within `UNLINKED_TTL_MS`
   */
  countRunning(now: number): number {
    let count = 1;
    for (const seenAt of this.lastSeenAt.values()) if (now - seenAt < UNLINKED_TTL_MS) count += 1;
    return count;
  }

  /**
   * Sends a message to a linked gateway.
   *
   * @param processId - Process id of the gateway; without a link the message is dropped
   * @param message - Message
   */
  send(processId: string, message: Message): void {
    this.links.get(processId)?.send(message);
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
   * Queries every linked gateway for a later validation of the cached configuration, and a few of them, drawn anew each
   * time, also for the upstream list. Those with a newer configuration are asked for it. Resolves when all have replied
   * or their time-outs have passed.
   *
   * @param version - Version of the cached configuration
   * @param configurationOnly - Does not request the upstream list, which is far longer than the rest of a reply
   */
  async queryAll(version: number, configurationOnly: boolean): Promise<void> {
    const links = shuffle([...this.links.values()]);
    await Promise.all(
      links.map(async (link, index) => {
        if (index < MAX_COMPLETE_REPLIES) {
          return this.queries.send(link, { version, configurationOnly });
        }
        const query = { version: Number.MAX_SAFE_INTEGER, configurationOnly: true };
        const reply = await this.queries.send(link, query);
        const isNewer = reply !== undefined && reply.version > version;
        return isNewer ? this.queries.send(link, { version, configurationOnly: true }) : reply;
      }),
    );
  }

  /**
   * Queries one gateway for a later validation of the cached configuration and for changes of the upstream list. The
   * configuration document is left out: it is large, and all gateways need it at the same time.
   *
   * @param processId - Process id of the gateway
   * @param listing - Listing that this gateway has, empty for none
   * @returns Whether it replied in time
   */
  async queryOne(processId: string, listing: string): Promise<boolean> {
    const link = this.links.get(processId);
    if (link === undefined) return false;
    return (
      (await this.queries.send(link, { version: Number.MAX_SAFE_INTEGER, listing })) !== undefined
    );
  }

  /** Lists the process ids of the linked gateways. */
  listLinked(): string[] {
    return [...this.links.keys()];
  }

  /** Notifies all linked gateways that this one has read a change from the store. */
  broadcastHint(): void {
    for (const link of this.links.values()) link.send({ type: 'knowledgeHint' });
  }

  /**
   * Sends a message to all linked gateways that understand it.
   *
   * @param message - Message
   * @param feature - Feature that the message belongs to
   */
  broadcast(message: Message, feature: string): void {
    const frame = encodeFrame(message);
    for (const link of this.links.values()) {
      if (link.peer.features?.includes(feature) === true) link.sendFrame(frame);
    }
  }

  /** Whether a new address is learned; gateways repeat the addresses that they know each second. */
  private admitAddress(now: number): boolean {
    if (this.knownAddresses.size >= MAX_KNOWN_ADDRESSES) return false;
    if (now - this.newAddresses.startedAt >= ADDRESS_WINDOW_MS)
      this.newAddresses = { startedAt: now, count: 0 };
    this.newAddresses.count += 1;
    return this.newAddresses.count <= MAX_NEW_ADDRESSES;
  }

  /** Whether a query is answered; the others time out at the peer. */
  private admitQuery(link: PeerLink, now: number): boolean {
    const window = this.answered.get(link);
    if (window === undefined || now - window.startedAt >= QUERY_WINDOW_MS) {
      this.answered.set(link, { startedAt: now, queries: 1 });
      return true;
    }
    window.queries += 1;
    return window.queries <= MAX_QUERIES;
  }

  private createHandlers(): MessageHandlers {
    let handlers: MessageHandlers = {
      knowledgeHint: () => {
        this.options.onHint();
      },
      knowledgeAsk: ({ call, version, configurationOnly, listing }, link) => {
        if (!this.admitQuery(link, this.options.readClock())) return;
        const snapshot = this.options.createSnapshot(version, configurationOnly === true, listing);
        link.send({ type: 'knowledgeReply', call, ...snapshot });
      },
      knowledgeReply: ({ call, ...snapshot }, link) => {
        this.queries.settle(call, snapshot, (queriedAt) => {
          this.options.applySnapshot(snapshot, queriedAt, link.peer.processId);
        });
      },
      gatewayCounts: (message, link) => {
        const { balancer, readClock: readClock, onCapacityChanged } = this.options;
        const counts = new Map(Object.entries(message.running));
        balancer.applyPeerCounts(link.peer.processId, counts, readClock());
        for (const address of message.peers) this.connect(address);
        onCapacityChanged();
      },
    };
    for (const topic of this.options.topics) handlers = { ...handlers, ...topic.handlers };
    return handlers;
  }

  /**
   * Maintains the link to one peer. A gateway connects to its seeds and to peers with a higher address; peers with a
   * lower address connect to it.
   */
  private connect(address: string): void {
    const { options } = this;
    if (this.knownAddresses.has(address) || address === options.address) return;
    if (!isAddress(address) || !this.admitAddress(options.readClock())) return;
    this.knownAddresses.add(address);
    this.lastSeenAt.set(address, options.readClock());
    if (address < options.address && !options.seeds.includes(address)) return;
    void maintainLink({
      address,
      self: options.self,
      ...linkBounds,
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
    const { processId, host, features } = link.peer;
    const { balancer, topics, readClock } = this.options;
    this.links.set(processId, link);
    if (isAddress(host)) this.knownAddresses.add(host);
    this.lastSeenAt.set(host, Infinity);
    this.lastSentCounts = '';
    this.addressesSentAt = -Infinity;
    this.options.logger.info({ peer: processId, address: host }, 'peer linked');
    for (const topic of topics) {
      if (features?.includes(topic.feature) !== true) continue;
      topic.onLinked?.(processId, readClock());
      for (const message of topic.createGreeting?.(readClock()) ?? []) link.send(message);
    }
    link.onClose((reason) => {
      if (this.links.get(processId) !== link) return;
      this.links.delete(processId);
      this.lastSeenAt.set(host, readClock());
      balancer.removePeer(processId);
      for (const topic of topics) topic.onLost?.(processId, reason, readClock());
      this.options.logger.info({ peer: processId, reason }, 'peer lost');
    });
  }

  private broadcastCounts(now: number): void {
    if (this.links.size === 0) return;
    const intervalMs = this.links.size * COUNT_INTERVAL_MS_PER_LINK;
    if (now - this.lastSentAt < intervalMs) return;
    const running = Object.fromEntries(this.options.balancer.listInFlight());
    const text = JSON.stringify(running);
    if (text === this.lastSentCounts && now - this.lastSentAt < COUNT_REFRESH_INTERVAL_MS) return;
    this.lastSentCounts = text;
    this.lastSentAt = now;
    // New addresses are passed on within a second, so most frames do without them.
    const isRefresh = now - this.addressesSentAt >= COUNT_REFRESH_INTERVAL_MS;
    if (isRefresh) this.addressesSentAt = now;
    const peers = isRefresh ? [this.options.address, ...this.knownAddresses] : [];
    const frame = encodeFrame({ type: 'gatewayCounts', running, peers });
    for (const link of this.links.values()) link.sendFrame(frame);
  }
}

/** Puts items into a random order, in place. */
function shuffle<Item>(items: Item[]): Item[] {
  for (let last = items.length - 1; last > 0; last -= 1) {
    const other = Math.floor(Math.random() * (last + 1));
    [items[last], items[other]] = [items[other] as Item, items[last] as Item];
  }
  return items;
}
