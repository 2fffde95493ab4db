import type { PeerLink } from '../../connection/peerLink.js';

/** Announced by rankers that understand the roster of their group. */
export const ROSTER_FEATURE = 'groupRoster';

type Link = Pick<PeerLink, 'peer' | 'send'>;

/** Addresses of the engines of a group, which its rankers need to act for a coordinator that has stopped. */
export class GroupRoster {
  private readonly engines: string[] = [];
  private version = 0;
  private readonly sent = new WeakMap<Link, number>();

  constructor(
    private readonly group: string,
    private readonly size: number,
  ) {}

  /**
   * Sets the engine of a rank.
   *
   * @param rank - Rank number
   * @param address - Address of its engine, `ip:port`
   */
  setEngine(rank: number, address: string): void {
    if (this.engines[rank] === address) return;
    this.engines[rank] = address;
    this.version += 1;
  }

  /**
   * Sends the roster to a ranker that does not have it in this form yet, once it is complete.
   *
   * @param link - Link to the ranker
   */
  sendTo(link: Link): void {
    const isComplete = Object.keys(this.engines).length === this.size;
    const understands = link.peer.features?.includes(ROSTER_FEATURE) === true;
    if (!isComplete || !understands || this.sent.get(link) === this.version) return;
    this.sent.set(link, this.version);
    link.send({ type: 'groupRoster', group: this.group, engines: [...this.engines] });
  }
}
