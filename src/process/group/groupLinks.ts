import { maintainLink } from '../../connection/linkClient.js';
import type { Hello, MessageHandlers, PeerLink } from '../../connection/peerLink.js';
import type { TlsMaterial } from '../../connection/tlsOptions.js';
import type { GroupDefinition } from './groupDefinition.js';
import type { GroupBody } from './types.js';

export interface GroupLinksOptions {
  readonly definition: GroupDefinition;
  readonly self: () => Hello;
  readonly tls?: TlsMaterial | undefined;
  readonly handlers: MessageHandlers;
  /** Called for each new link to a rank. */
  readonly onLink: (rank: number) => void;
}

/** Links to the other ranks' agents. The lower rank of each pair opens the link. */
export class GroupLinks {
  private readonly links = new Map<number, PeerLink>();
  private readonly stopController = new AbortController();

  constructor(private readonly options: GroupLinksOptions) {}

  /** Starts one connection task for each peer of a higher rank. */
  start(): void {
    const { definition, self, tls, handlers } = this.options;
    for (const [rank, { address }] of definition.ranks.entries()) {
      if (rank <= definition.rank) continue;
      void maintainLink({
        address,
        self,
        tls,
        handlers,
        onLink: (link) => {
          this.addLink(link);
        },
        onDown: () => undefined,
        signal: this.stopController.signal,
      });
    }
  }

  /**
   * Adds a link whose peer is another rank of the group; other links are ignored.
   *
   * @param link - Open link
   */
  addLink(link: PeerLink): void {
    const rank = this.findRank(link);
    if (rank === undefined || this.stopController.signal.aborted) return;
    this.links.set(rank, link);
    link.onClose(() => {
      if (this.links.get(rank) === link) this.links.delete(rank);
    });
    this.options.onLink(rank);
  }

  /**
   * Finds the rank at the other end of a link.
   *
   * @param link - Open link
   * @returns The rank, or undefined when the peer is not another rank of the group
   */
  findRank(link: PeerLink): number | undefined {
    const { ranks, rank: localRank } = this.options.definition;
    const names = link.peer.upstreams.map(({ upstream }) => upstream);
    const rank = ranks.findIndex(({ upstream }) => names.includes(upstream));
    return rank < 0 || rank === localRank ? undefined : rank;
  }

  /** Ranks with an open link. */
  get connected(): readonly number[] {
    return [...this.links.keys()].sort((left, right) => left - right);
  }

  /**
   * Sends a body to one rank; dropped when the rank has no link.
   *
   * @param rank - Receiving rank
   * @param body - Body
   */
  send(rank: number, body: GroupBody): void {
    this.links.get(rank)?.send({ type: 'rankControl', group: this.options.definition.id, body });
  }

  stop(): void {
    this.stopController.abort();
    this.links.clear();
  }
}
