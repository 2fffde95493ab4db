import type { CloseReason, Hello, MessageHandlers, PeerLink } from '../../connection/peerLink.js';
import { maintainLink } from '../../connection/linkClient.js';
import { LinkServer } from '../../connection/linkServer.js';
import type { HandshakeError } from '../../connection/handshake.js';
import type { MessageOf } from '../../protocol/messages.js';
import type { Fingerprint } from '../../ids.js';
import { toId } from '../../ids.js';
import type { UpstreamBalancer } from '../../request/admission/upstreamBalancer.js';
import type { Logger } from '../logging.js';

/** Counts are sent this often while they change; half a round trip between zones is 1.4 ms. */
const SHARE_INTERVAL_MS = 40;
/** Peers in other zones answer within 5 ms; one that is frozen must not delay the next read of the store. */
const ASK_TIMEOUT_MS = 120;
/** Unchanged counts are repeated so that they do not expire at the peer. */
const REPEAT_INTERVAL_MS = 1_000;

export interface GatewayPeersOptions {
  /** Own address for links as `ip:port`. */
  readonly address: string;
  readonly seeds: readonly string[];
  readonly self: () => Hello;
  readonly board: UpstreamBalancer;
  readonly logger: Logger;
  readonly signal: AbortSignal;
  readonly readNow: () => number;
  /** Called when a peer's counts may have freed places. */
  readonly onCounts: () => void;
  /** Called when another gateway has seen a request end an upstream. */
  readonly onCrash: (fingerprint: Fingerprint) => void;
  /** Describes what this gateway knows to a peer that holds an older or the same version. */
  describeKnowledge(version: number): Knowledge;
  /**
   * Takes over what a peer knows.
   *
   * @param askedAt - When the question was sent; the peer's ages count back from there
   */
  applyKnowledge(knowledge: Knowledge, askedAt: number): void;
}

export type Knowledge = Omit<MessageOf<'knowledgeReply'>, 'type' | 'call'>;

/** Links to the other gateways, over which each tells how many requests it has running where. */
export class GatewayPeers {
  private readonly server: LinkServer;
  private readonly links = new Map<string, PeerLink>();
  private readonly known = new Set<string>();
  private readonly asks = new Map<number, { readonly askedAt: number; settle(): void }>();
  private nextCall = 1;
  private lastSent = '';
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
        options.logger.warn({ code: error.code, detail: error.message }, 'peer link refused');
      },
    });
  }

  /** Gateways that are linked at present, this one included. */
  get size(): number {
    return this.links.size + 1;
  }

  /** Listens for peers, connects to the seeds and starts to share counts. */
  async start(): Promise<void> {
    await this.server.listen();
    for (const seed of this.options.seeds) this.connect(seed);
    const timer = setInterval(() => {
      this.shareCounts(this.options.readNow());
    }, SHARE_INTERVAL_MS);
    this.options.signal.addEventListener('abort', () => {
      clearInterval(timer);
      this.server.close();
      for (const link of this.links.values()) link.close();
    });
  }

  /**
   * Asks every linked gateway for a newer configuration and a fresher proof.
   *
   * @param version - Version held at present
   */
  async askAll(version: number): Promise<void> {
    const answers = [...this.links.values()].map(
      (link) =>
        new Promise<void>((resolve) => {
          const call = this.nextCall;
          this.nextCall += 1;
          const settle = (): void => {
            clearTimeout(timer);
            this.asks.delete(call);
            resolve();
          };
          const timer = setTimeout(settle, ASK_TIMEOUT_MS);
          this.asks.set(call, { askedAt: this.options.readNow(), settle });
          link.send({ type: 'knowledgeAsk', call, version });
        }),
    );
    await Promise.all(answers);
  }

  /**
   * Tells all linked gateways that a request has ended an upstream.
   *
   * @param fingerprint - Hash of the request
   */
  shareCrash(fingerprint: Fingerprint): void {
    for (const link of this.links.values()) link.send({ type: 'crashNotice', fingerprint });
  }

  private createHandlers(): MessageHandlers {
    return {
      crashNotice: ({ fingerprint }) => {
        this.options.onCrash(toId<Fingerprint>(fingerprint));
      },
      knowledgeAsk: ({ call, version }, link) => {
        link.send({ type: 'knowledgeReply', call, ...this.options.describeKnowledge(version) });
      },
      knowledgeReply: ({ call, ...knowledge }) => {
        const ask = this.asks.get(call);
        if (ask === undefined) return;
        this.options.applyKnowledge(knowledge, ask.askedAt);
        ask.settle();
      },
      gatewayCounts: (message, link) => {
        const { board, readNow, onCounts } = this.options;
        const counts = new Map(Object.entries(message.running));
        board.applyPeerCounts(link.peer.processId, counts, readNow());
        for (const address of message.peers) this.connect(address);
        onCounts();
      },
    };
  }

  /** Opens the link to one peer; of two gateways the one with the smaller address connects. */
  private connect(address: string): void {
    const { options } = this;
    if (this.known.has(address) || address === options.address) return;
    this.known.add(address);
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
        options.logger.debug({ peer: address, reason }, 'peer link down');
      },
    });
  }

  private addLink(link: PeerLink): void {
    const { processId, host } = link.peer;
    this.links.set(processId, link);
    this.known.add(host);
    this.lastSent = '';
    this.options.logger.info({ peer: processId, address: host }, 'peer linked');
    link.onClose((reason) => {
      if (this.links.get(processId) !== link) return;
      this.links.delete(processId);
      this.options.board.removePeer(processId);
      this.options.logger.info({ peer: processId, reason }, 'peer lost');
    });
  }

  private shareCounts(now: number): void {
    if (this.links.size === 0) return;
    const running = Object.fromEntries(this.options.board.listInFlight());
    const text = JSON.stringify(running);
    if (text === this.lastSent && now - this.lastSentAt < REPEAT_INTERVAL_MS) return;
    this.lastSent = text;
    this.lastSentAt = now;
    const peers = [this.options.address, ...this.known];
    for (const link of this.links.values()) link.send({ type: 'gatewayCounts', running, peers });
  }
}
