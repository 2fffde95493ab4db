import type { Hello, PeerLink } from '../../connection/peerLink.js';
import { defaults } from '../../defaults.js';
import { hashText } from '../../version/configuration/objectHash.js';
import { selectPeers, collectLiveEntries, selectReaders } from './readerElection.js';
import type { EntryPeer, ListedHost } from './types.js';

/** Time after which an unreachable entry is considered live again and retried. */
const UNREACHABLE_RETRY_MS = 15_000;
const MIN_ADDRESSES_WITHOUT_SEEDS = 2;
const MAX_SEEDS = 8;

/** Live entries from the point of view of this process: the live list corrected by link state. */
export class EntryDirectory {
  /** Most recently read live list of the platform. */
  listedHosts: readonly ListedHost[] = [];
  private readonly links = new Set<PeerLink>();
  private readonly hostsByAddress = new Map<string, string>();
  private readonly unreachableSince = new Map<string, number>();

  constructor(
    private readonly readSelf: () => Hello,
    private readonly unreachableTimeoutMs: number,
  ) {}

  /**
   * Adds a link; a linked entry is considered live while the link is open.
   *
   * @param link - Link to any process
   */
  addLink(link: PeerLink): void {
    if (link.peer.role !== 'entry') return;
    this.links.add(link);
    const { host } = link.peer;
    const since = this.unreachableSince.get(host);
    this.unreachableSince.delete(host);
    link.onClose(() => {
      this.links.delete(link);
      // A link that closes without having received a message is no evidence that the host is live.
      if (since !== undefined && link.counters.received === 0) {
        this.unreachableSince.set(host, since);
      }
    });
  }

  /**
   * Records which host was reached at an address.
   *
   * @param address - Address to which the link was opened
   * @param link - The open link
   */
  recordAddress(address: string, link: PeerLink): void {
    this.hostsByAddress.set(address, link.peer.host);
  }

  /**
   * Records that an address is unreachable or that its link closed.
   *
   * @param address - Link address
   * @param now - Current time in milliseconds
   */
  recordUnreachable(address: string, now: number): void {
    const listedHost = this.listedHosts.find((host) => host.address === address)?.host;
    const host = listedHost ?? this.hostsByAddress.get(address);
    if (host === undefined || this.unreachableSince.has(host)) return;
    this.unreachableSince.set(host, now);
  }

  /**
   * Lists the live entries.
   *
   * @param now - Current time in milliseconds
   * @returns Live entries, including this process if it is an entry
   */
  listEntries(now: number): EntryPeer[] {
    this.expireUnreachable(now);
    const input = {
      self: this.getSelf(),
      listed: this.listedHosts,
      linked: this.listLinkedEntries(),
      unreachableSince: this.unreachableSince,
      unreachableTimeoutMs: this.unreachableTimeoutMs,
    };
    return collectLiveEntries(input, now);
  }

  /**
   * Checks whether this process is elected to read the platform for its availability zone. Views
   * can differ between processes; additional readers are harmless.
   *
   * @param now - Current time in milliseconds
   * @returns True if this process is an elected reader
   */
  isReader(now: number): boolean {
    const self = this.getSelf();
    if (self === undefined) return false;
    const entries = this.listEntries(now);
    const readers = selectReaders(entries, self.availabilityZone, defaults.readersPerZone);
    return readers.some((reader) => reader.host === self.host);
  }

  /**
   * Selects the addresses of the entries to stay linked with. Seeds are added while few entries are
   * known.
   *
   * @param seeds - Addresses from the settings
   * @param now - Current time in milliseconds
   * @returns Link addresses
   */
  selectAddresses(seeds: readonly string[], now: number): string[] {
    const self = this.getSelf();
    if (self === undefined) return [];
    const peers = selectPeers(self, this.listEntries(now), defaults.readersPerZone);
    const addresses = new Set<string>();
    for (const { address } of peers) if (address !== undefined) addresses.add(address);
    const listed = this.listedHosts.some(
      (host) => host.role === 'entry' && host.host !== self.host,
    );
    if (listed && addresses.size >= MIN_ADDRESSES_WITHOUT_SEEDS) return [...addresses];
    for (const seed of sortSeedsByHash(seeds, self.host).slice(0, MAX_SEEDS)) addresses.add(seed);
    return [...addresses];
  }

  private getSelf(): EntryPeer | undefined {
    const { role, host, availabilityZone } = this.readSelf();
    return role === 'entry' ? { host, availabilityZone } : undefined;
  }

  private listLinkedEntries(): EntryPeer[] {
    const addresses = new Map<string, string>();
    for (const [address, host] of this.hostsByAddress) addresses.set(host, address);
    const linked: EntryPeer[] = [];
    for (const { isOpen, peer } of this.links) {
      if (!isOpen) continue;
      const { host, availabilityZone } = peer;
      linked.push({ host, availabilityZone, address: addresses.get(host) });
    }
    return linked;
  }

  private expireUnreachable(now: number): void {
    for (const [host, since] of this.unreachableSince) {
      if (now - since >= UNREACHABLE_RETRY_MS) this.unreachableSince.delete(host);
    }
  }
}

function sortSeedsByHash(seeds: readonly string[], salt: string): string[] {
  const scored = seeds.map((seed) => ({ seed, score: hashText(`seed ${salt} ${seed}`) }));
  scored.sort((left, right) => (left.score < right.score ? 1 : -1));
  return scored.map(({ seed }) => seed);
}
