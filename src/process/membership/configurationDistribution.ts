import { setTimeout as sleep } from 'node:timers/promises';
import type { Hello, MessageHandlers, PeerLink } from '../../connection/peerLink.js';
import type { TlsMaterial } from '../../connection/tlsOptions.js';
import type { ConfigurationStore } from '../../version/configuration/configurationStore.js';
import { EntryDirectory } from './entryDirectory.js';
import { LeavingHosts } from './leavingHosts.js';
import { maintainPeerLinks } from './maintainPeerLinks.js';
import { PeerExchange } from './peerExchange.js';
import { PlatformClient } from './platformClient.js';
import { PlatformReadTask } from './platformReadTask.js';
import { PlatformReader } from './platformReader.js';
import type { Readiness, ReadinessInput } from './readiness.js';
import { decideReadiness } from './readiness.js';
import type { DistributionTimings, EntryPeer, ListedHost } from './types.js';
import { defaultTimings } from './types.js';

/** Multiplier of the live list interval in entries that are not readers. */
const NON_READER_INTERVAL_FACTOR = 3;
/** Limits all entries together to about 50 reads of the live list per second. */
const LIVE_LIST_INTERVAL_MS_PER_ENTRY = 20;

export interface DistributionOptions {
  readonly self: () => Hello;
  readonly store: ConfigurationStore;
  readonly platformUrl?: string | undefined;
  /** Link addresses of the entries to connect to initially. */
  readonly seeds: readonly string[];
  /** Set in entries only: options of the links opened to other entries. */
  readonly peerLinks?: {
    readonly handlers: MessageHandlers;
    readonly tls?: TlsMaterial | undefined;
    /** Called for each opened link after it has been attached to the distribution. */
    readonly onLink?: (link: PeerLink) => void;
  };
  readonly timings?: Partial<DistributionTimings>;
  /** Wall clock in milliseconds; defaults to `Date.now`. */
  readonly readWallClock?: () => number;
  /** Random number generator, uniform in [0, 1). */
  readonly random?: () => number;
}

/** Merges configuration from the platform and peers into the store and forwards it to peers. */
export class ConfigurationDistribution {
  readonly handlers: MessageHandlers;
  private readonly timings: DistributionTimings;
  private readonly readWallClock: () => number;
  private readonly random: () => number;
  private readonly exchange: PeerExchange;
  private readonly entryDirectory: EntryDirectory;
  private readonly leavingHosts = new LeavingHosts();
  private readonly client: PlatformClient | undefined;
  private readonly reader: PlatformReader | undefined;
  private platformReads: PlatformReadTask | undefined;
  private readonly stopController = new AbortController();
  private startedAt: number;
  private wasReady = false;
  private liveListAttempted = false;

  constructor(private readonly options: DistributionOptions) {
    this.timings = { ...defaultTimings, ...options.timings };
    this.readWallClock = options.readWallClock ?? Date.now;
    this.random = options.random ?? Math.random;
    this.startedAt = this.readWallClock();
    this.exchange = new PeerExchange(options.store, this.readWallClock, () => this.wasReady);
    this.entryDirectory = new EntryDirectory(options.self, this.timings.unreachableTimeoutMs);
    if (options.platformUrl !== undefined) {
      this.client = new PlatformClient(options.platformUrl, this.timings.platformTimeoutMs);
      this.reader = new PlatformReader(this.client, options.store);
    }
    this.handlers = {
      configuration: (message, link) => {
        if (link.peer.role === 'operator') return;
        this.exchange.handleConfiguration(message, link);
      },
      digest: (message, link) => {
        if (link.peer.role === 'operator') return;
        this.exchange.handleDigest(message, link);
      },
    };
  }

  /**
   * Adds a link that was opened or accepted elsewhere in the process. Operator links are ignored,
   * because the configuration contains token hashes and changes arrive only as published tickets.
   *
   * @param link - Open link to an entry or agent
   */
  addLink(link: PeerLink): void {
    if (link.peer.role === 'operator') return;
    this.entryDirectory.addLink(link);
    this.exchange.addLink(link);
  }

  /** Starts the background tasks: platform reads, digest exchange, live list and peer links. */
  start(): void {
    this.startedAt = this.readWallClock();
    this.exchange.lastPeerMessageAt = this.startedAt;
    this.platformReads = this.createReadTask();
    void this.maintainExchange();
    void this.platformReads?.maintain();
    void this.maintainEntryDirectory();
    const { peerLinks } = this.options;
    if (peerLinks === undefined) return;
    void maintainPeerLinks({
      self: this.options.self,
      tls: peerLinks.tls,
      handlers: peerLinks.handlers,
      reconcileIntervalMs: this.timings.reconcileIntervalMs,
      signal: this.stopController.signal,
      selectAddresses: () =>
        this.entryDirectory.selectAddresses(this.options.seeds, this.readWallClock()),
      onLink: (link, address) => {
        this.entryDirectory.recordAddress(address, link);
        this.addLink(link);
        peerLinks.onLink?.(link);
      },
      onDown: (address) => {
        this.entryDirectory.recordUnreachable(address, this.readWallClock());
      },
    });
  }

  /** Stops all tasks and closes the links that they opened. */
  stop(): void {
    this.stopController.abort();
    this.client?.close();
  }

  /**
   * Checks whether the process has enough configuration to accept traffic. Once true, the result
   * remains true.
   *
   * @returns True after the merge from peers and the platform, or after `readyTimeoutMs`
   */
  isReady(): boolean {
    if (this.wasReady || !this.computeReadiness().ready) return this.wasReady;
    this.wasReady = true;
    // Objects merged before readiness have not been forwarded to peers.
    this.exchange.requestInitialSyncs();
    return true;
  }

  /**
   * Returns the most recently read live list of the platform, which may be out of date.
   *
   * @returns Live and leaving hosts
   */
  listHosts(): readonly ListedHost[] {
    return this.entryDirectory.listedHosts;
  }

  /**
   * Checks whether the platform's live list reports a host as leaving.
   *
   * @param host - Host id
   * @param now - Current time in milliseconds
   * @returns True while no new work may be sent to the host
   */
  isLeaving(host: string, now: number): boolean {
    this.leavingHosts.applyLiveList(this.entryDirectory.listedHosts, now);
    return this.leavingHosts.isLeaving(host, now);
  }

  /**
   * Lists the entries that this process considers live.
   *
   * @returns Live entries, including this process if it is an entry
   */
  listLiveEntries(): EntryPeer[] {
    return this.entryDirectory.listEntries(this.readWallClock());
  }

  /**
   * Returns the state of the distribution for the `/dump` endpoint.
   *
   * @returns Readiness with missing sources, reader role, peers, counters, platform reads and store
   */
  describe(): unknown {
    const now = this.readWallClock();
    return {
      ready: this.isReady(),
      missing: this.computeReadiness().missing,
      reader: this.entryDirectory.isReader(now),
      peers: [...this.exchange.listPeers().keys()],
      mergedPeers: [...this.exchange.mergedPeers],
      lastPeerSourceAgeMs: now - this.exchange.lastPeerMessageAt,
      fallbackReads: this.platformReads?.fallback.consecutiveFallbacks ?? 0,
      counters: { ...this.exchange.counters },
      platform: this.reader?.describe() ?? null,
      store: this.options.store.describe(),
    };
  }

  private computeReadiness(): Readiness {
    const input = {
      startedAt: this.startedAt,
      readyTimeoutMs: this.timings.readyTimeoutMs,
      mergedPeers: this.exchange.mergedPeers.size,
      knownPeers: this.countKnownPeers(),
      platformRead: this.describePlatformRead(),
      objects: this.options.store.countObjects(),
    };
    return decideReadiness(input, this.readWallClock());
  }

  /** Undefined in an agent, which cannot know how many entries will connect to it. */
  private countKnownPeers(): number | undefined {
    if (this.options.peerLinks === undefined) return undefined;
    const others = this.listLiveEntries().length - 1;
    return Math.max(others, this.options.seeds.length);
  }

  private describePlatformRead(): ReadinessInput['platformRead'] {
    if (this.client === undefined) return 'none';
    return this.platformReads?.state ?? 'pending';
  }

  private createReadTask(): PlatformReadTask | undefined {
    if (this.reader === undefined) return undefined;
    return new PlatformReadTask({
      reader: this.reader,
      store: this.options.store,
      exchange: this.exchange,
      timings: this.timings,
      isReader: (now) => this.entryDirectory.isReader(now),
      countKnownPeers: () => this.countKnownPeers(),
      hasAttemptedLiveList: () => this.hasAttemptedLiveList(),
      readWallClock: this.readWallClock,
      random: this.random,
      signal: this.stopController.signal,
    });
  }

  private async maintainExchange(): Promise<void> {
    let nextDigestAt = this.readWallClock() + this.timings.digestIntervalMs * this.random();
    while (!this.stopController.signal.aborted) {
      await this.pause(this.timings.reconcileIntervalMs);
      this.isReady();
      this.exchange.requestMissingSyncs();
      if (this.readWallClock() < nextDigestAt) continue;
      nextDigestAt = this.readWallClock() + this.timings.digestIntervalMs;
      this.exchange.requestRandomSync(this.random());
    }
  }

  private async maintainEntryDirectory(): Promise<void> {
    // Entries open the links to agents, so agents do not need the live list.
    if (this.client === undefined || this.options.peerLinks === undefined) return;
    while (!this.stopController.signal.aborted) {
      const isRead = await this.fetchLiveList(this.client);
      const now = this.readWallClock();
      const isFrequent = !isRead || this.entryDirectory.isReader(now);
      const baseIntervalMs =
        this.timings.liveListIntervalMs * (isFrequent ? 1 : NON_READER_INTERVAL_FACTOR);
      // The interval grows with the fleet, which bounds the total call rate of all entries.
      const fleetIntervalMs =
        this.entryDirectory.listEntries(now).length * LIVE_LIST_INTERVAL_MS_PER_ENTRY;
      const interval = Math.max(baseIntervalMs, fleetIntervalMs);
      await this.pause(interval * (0.5 + this.random()));
    }
  }

  private async fetchLiveList(client: PlatformClient): Promise<boolean> {
    const hosts = await client.listHosts();
    if (hosts.isOk()) this.entryDirectory.listedHosts = hosts.value;
    this.liveListAttempted = true;
    return hosts.isOk();
  }

  private hasAttemptedLiveList(): boolean {
    return this.liveListAttempted || this.options.peerLinks === undefined;
  }

  private pause(ms: number): Promise<void> {
    return sleep(ms, undefined, { signal: this.stopController.signal }).catch(() => undefined);
  }
}
