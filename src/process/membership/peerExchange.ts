import { isDeepStrictEqual } from 'node:util';
import type { MessageOf } from '../../protocol/messages.js';
import type { PeerLink } from '../../connection/peerLink.js';
import type { ConfigurationStore } from '../../version/configuration/configurationStore.js';
import { encodeCanonical, hashText } from '../../version/configuration/objectHash.js';
import type { StoredObject } from '../../version/ticket/types.js';

/** Maximum payload of one configuration message, well below the frame size limit. */
const MAX_MESSAGE_BYTES = 512 * 1024;
/** Pushes are skipped on links with a larger backlog; the digest exchange repairs them later. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;
const INITIAL_SYNC_PEERS = 2;
const MAX_KNOWN_PEERS = 4_096;
const SYNC_TIMEOUT_MS = 5_000;
/** Delay that batches changes and skips peers which send the same change in the meantime. */
const PUSH_DELAY_MS = 10;

/** Exchanges configuration with other processes through pushes and digest comparison. */
export class PeerExchange {
  readonly counters = { pushed: 0, received: 0, accepted: 0, exchanges: 0 };
  /** Processes whose complete configuration has been merged. */
  readonly mergedPeers = new Set<string>();
  /** Time of the last configuration or digest message from a peer, in milliseconds. */
  lastPeerMessageAt: number;
  private readonly links = new Set<PeerLink>();
  /** Send time of the unanswered digest by process. */
  private readonly pendingSyncs = new Map<string, number>();
  /** Process whose objects are being merged; excluded from the resulting pushes. */
  private mergeSource: string | undefined;
  /** Keys to push, each with the processes that have already sent this state. */
  private readonly pendingPushes = new Map<string, Set<string>>();
  /** Incarnation of the last link by process, ordered by the time of that link. */
  private readonly knownPeers = new Map<string, string>();
  private readonly sizes = new WeakMap<StoredObject, number>();

  constructor(
    private readonly store: ConfigurationStore,
    private readonly readWallClock: () => number,
    /** False during the initial merge, whose objects the peers already have. */
    private readonly isForwarding: () => boolean,
  ) {
    this.lastPeerMessageAt = readWallClock();
    store.onChange((keys) => {
      if (this.isForwarding()) this.schedulePush(keys);
    });
  }

  /**
   * Adds an open link and requests a sync if too few peers have been merged. A new link to a known
   * incarnation indicates a pause or partition, after which both processes may lack objects.
   *
   * @param link - Open link to an entry or agent
   */
  addLink(link: PeerLink): void {
    this.links.add(link);
    link.onClose(() => {
      this.links.delete(link);
      // The peer sends the reply only on this link.
      this.pendingSyncs.delete(link.peer.processId);
    });
    const { processId, incarnation } = link.peer;
    if (this.knownPeers.get(processId) === incarnation) this.requestSync(link);
    this.knownPeers.delete(processId);
    this.knownPeers.set(processId, incarnation);
    this.removeOldestPeers();
    this.requestMissingSyncs();
  }

  /** Bounds `knownPeers`, because replaced hosts register with new process ids. */
  private removeOldestPeers(): void {
    for (const processId of this.knownPeers.keys()) {
      if (this.knownPeers.size <= MAX_KNOWN_PEERS) return;
      this.knownPeers.delete(processId);
    }
  }

  /** Requests a sync from further peers until `INITIAL_SYNC_PEERS` have been merged. */
  requestMissingSyncs(): void {
    const now = this.readWallClock();
    for (const [processId, sentAt] of this.pendingSyncs) {
      if (now - sentAt > SYNC_TIMEOUT_MS) this.pendingSyncs.delete(processId);
    }
    for (const [processId, link] of this.listPeers()) {
      if (this.mergedPeers.size + this.pendingSyncs.size >= INITIAL_SYNC_PEERS) return;
      if (!this.mergedPeers.has(processId)) this.requestSync(link);
    }
  }

  /** Exchanges digests with two peers to forward objects that were merged before readiness. */
  requestInitialSyncs(): void {
    const peers = [...this.listPeers().values()];
    for (const link of peers.slice(0, INITIAL_SYNC_PEERS)) this.requestSync(link);
  }

  /**
   * Compares the root hash with a random peer; the bucket hashes are exchanged only if the root
   * hashes differ. This repairs lost messages.
   *
   * @param random - Uniform value in [0, 1) that selects the peer
   */
  requestRandomSync(random: number): void {
    const peers = [...this.listPeers().values()];
    const link = peers[Math.floor(random * peers.length)];
    if (link === undefined) return;
    this.counters.exchanges += 1;
    link.send({ type: 'digest', buckets: [this.computeRoot()], reply: true });
  }

  /**
   * Merges the objects of a peer.
   *
   * @param message - Configuration message
   * @param link - Link on which the message arrived
   */
  handleConfiguration(message: MessageOf<'configuration'>, link: PeerLink): void {
    this.lastPeerMessageAt = this.readWallClock();
    this.counters.received += message.objects.length;
    this.mergeSource = link.peer.processId;
    this.recordSender(message.objects, link.peer.processId);
    try {
      const report = this.store.mergeObjects(message.objects);
      this.counters.accepted += report.accepted.length;
    } finally {
      this.mergeSource = undefined;
    }
  }

  /**
   * Compares the digest of a peer and sends the objects of all differing buckets.
   *
   * @param message - Digest message with the root hash or the bucket hashes
   * @param link - Link on which the message arrived
   */
  handleDigest(message: MessageOf<'digest'>, link: PeerLink): void {
    this.lastPeerMessageAt = this.readWallClock();
    if (message.buckets.length === 1) {
      this.handleRoot(message, link);
      return;
    }
    const localBuckets = this.store.digest();
    const objects: StoredObject[] = [];
    for (const [bucket, hash] of localBuckets.entries()) {
      if (message.buckets[bucket] !== hash) objects.push(...this.store.listBucket(bucket));
    }
    this.sendObjects(link, objects);
    if (message.reply) {
      link.send({ type: 'digest', buckets: localBuckets, reply: false });
      return;
    }
    // Messages are ordered, so the objects of this reply arrived before its digest.
    if (this.pendingSyncs.delete(link.peer.processId)) this.mergedPeers.add(link.peer.processId);
  }

  /**
   * Lists the linked processes. Several links to the same process count once.
   *
   * @returns One open link per process
   */
  listPeers(): Map<string, PeerLink> {
    const peers = new Map<string, PeerLink>();
    for (const link of this.links) {
      if (link.isOpen) peers.set(link.peer.processId, link);
    }
    return peers;
  }

  private requestSync(link: PeerLink): void {
    this.counters.exchanges += 1;
    this.pendingSyncs.set(link.peer.processId, this.readWallClock());
    link.send({ type: 'digest', buckets: this.store.digest(), reply: true });
  }

  private handleRoot({ buckets, reply }: MessageOf<'digest'>, link: PeerLink): void {
    const root = this.computeRoot();
    if (buckets[0] !== root) this.requestSync(link);
    // The reply informs the peer that it still has a configuration source.
    else if (reply) link.send({ type: 'digest', buckets: [root], reply: false });
  }

  private computeRoot(): string {
    return hashText(this.store.digest().join(' ')).toString(16);
  }

  private recordSender(objects: readonly StoredObject[], processId: string): void {
    for (const object of objects) {
      const senders = this.pendingPushes.get(object.key);
      if (senders === undefined) continue;
      // A sender with a conflicting state under the same ticket number still needs the local state.
      if (isDeepStrictEqual(object, this.store.getObject(object.key))) senders.add(processId);
    }
  }

  private schedulePush(keys: readonly string[]): void {
    if (this.pendingPushes.size === 0) {
      setTimeout(() => {
        this.flushPushes();
      }, PUSH_DELAY_MS);
    }
    // A new state supersedes the one that is waiting to be pushed.
    for (const key of keys) {
      this.pendingPushes.set(
        key,
        new Set(this.mergeSource === undefined ? [] : [this.mergeSource]),
      );
    }
  }

  private flushPushes(): void {
    const pushes = [...this.pendingPushes];
    this.pendingPushes.clear();
    for (const [processId, link] of this.listPeers()) {
      const objects: StoredObject[] = [];
      for (const [key, senders] of pushes) {
        const object = senders.has(processId) ? undefined : this.store.getObject(key);
        if (object !== undefined) objects.push(object);
      }
      this.sendObjects(link, objects);
    }
  }

  private measureSize(object: StoredObject): number {
    const known = this.sizes.get(object);
    if (known !== undefined) return known;
    const size = Buffer.byteLength(encodeCanonical(object));
    this.sizes.set(object, size);
    return size;
  }

  private sendObjects(link: PeerLink, objects: readonly StoredObject[]): void {
    let batch: StoredObject[] = [];
    let bytes = 0;
    const flush = (): void => {
      if (batch.length === 0 || link.bufferedBytes > MAX_BUFFERED_BYTES) return;
      link.send({ type: 'configuration', objects: batch });
      this.counters.pushed += batch.length;
    };
    for (const object of objects) {
      const size = this.measureSize(object);
      if (bytes + size > MAX_MESSAGE_BYTES) {
        flush();
        batch = [];
        bytes = 0;
      }
      batch.push(object);
      bytes += size;
    }
    flush();
  }
}
