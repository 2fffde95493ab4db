import { setTimeout as sleep } from 'node:timers/promises';
import { computeReconnectDelay } from '../../connection/linkClient.js';
import type { ConfigurationStore } from '../../version/configuration/configurationStore.js';
import type { FallbackState } from './fallbackRead.js';
import { decideFallbackRead, MAX_FALLBACK_CALLS } from './fallbackRead.js';
import type { PeerExchange } from './peerExchange.js';
import type { PlatformReader } from './platformReader.js';
import { REQUIRED_PEERS } from './readiness.js';
import type { DistributionTimings } from './types.js';

/** Interval of a full list by a reader, which finds keys missing from stale responses. */
const FULL_LIST_INTERVAL_MS = 60_000;
const PEER_POLL_INTERVAL_MS = 50;
/** Exponential backoff of failed initial reads; at 60 s, 3,000 processes make 50 per second. */
const INITIAL_READ_BACKOFF_MS = 500;
const INITIAL_READ_MAX_BACKOFF_MS = 60_000;

export interface PlatformReadOptions {
  readonly reader: PlatformReader;
  readonly store: ConfigurationStore;
  readonly exchange: PeerExchange;
  readonly timings: DistributionTimings;
  readonly isReader: (now: number) => boolean;
  /** Number of known other entries; undefined if peers connect to this process. */
  readonly countKnownPeers: () => number | undefined;
  /** True after the first attempt to read the live list, on which elections depend. */
  readonly hasAttemptedLiveList: () => boolean;
  readonly readWallClock: () => number;
  readonly random: () => number;
  readonly signal: AbortSignal;
}

/** Reads the platform at start, while elected as reader, and as a fallback without peers. */
export class PlatformReadTask {
  state: 'pending' | 'done' | 'failed' = 'pending';
  /** Time of the last complete read, in milliseconds. */
  lastReadAt = 0;
  readonly fallback: {
    consecutiveFallbacks: number;
    lastFallbackAt: number;
    readonly jitter: number;
  };
  private readonly startedAt: number;
  private initialReads = 0;
  private nextInitialReadAt = 0;

  constructor(private readonly options: PlatformReadOptions) {
    this.startedAt = options.readWallClock();
    this.fallback = { consecutiveFallbacks: 0, lastFallbackAt: 0, jitter: options.random() };
  }

  /** Runs until the signal is aborted. */
  async maintain(): Promise<void> {
    const { reader } = this.options;
    await this.pause(this.options.timings.startJitterMs * this.options.random());
    await this.waitForPeers();
    await this.performInitialRead();
    let failures = 0;
    let nextFullListAt = 0;
    while (!this.options.signal.aborted) {
      const now = this.options.readWallClock();
      if (!this.options.isReader(now)) {
        await this.readAsNonReader(now);
        await this.pause(this.options.timings.reconcileIntervalMs);
        continue;
      }
      const isFullList = now >= nextFullListAt;
      const isRead = isFullList
        ? await reader.readAllKeys()
        : await reader.watchOnce(this.options.timings.watchTimeoutMs, this.options.signal);
      if (isFullList && isRead) nextFullListAt = now + FULL_LIST_INTERVAL_MS;
      this.recordReadResult(isRead);
      failures = isRead ? 0 : failures + 1;
      if (!isRead) await this.pause(computeReconnectDelay(failures, this.options.random()));
    }
  }

  /** Waits for the merge from peers, which reduces the platform load of a restarted fleet. */
  private async waitForPeers(): Promise<void> {
    const until = this.startedAt + this.options.timings.readyTimeoutMs / 2;
    while (!this.options.signal.aborted && this.options.readWallClock() < until) {
      const needed = Math.min(REQUIRED_PEERS, this.options.countKnownPeers() ?? REQUIRED_PEERS);
      if (this.options.hasAttemptedLiveList() && this.options.exchange.mergedPeers.size >= needed)
        return;
      await this.pause(PEER_POLL_INTERVAL_MS);
    }
  }

  private async performInitialRead(): Promise<void> {
    const { reader, store } = this.options;
    const hasPeerState = this.options.exchange.mergedPeers.size > 0 && store.countObjects() > 0;
    if (hasPeerState) {
      this.recordReadResult(await reader.readNewerTickets(store.getNewestTicket()));
    } else if (this.options.isReader(this.options.readWallClock())) {
      this.recordReadResult(await reader.readChangedKeys());
    } else {
      this.recordReadResult(await reader.readChangedKeys(MAX_FALLBACK_CALLS));
    }
  }

  private async readAsNonReader(now: number): Promise<void> {
    if (this.state !== 'done') {
      if (now < this.nextInitialReadAt) return;
      this.initialReads += 1;
      const delay = Math.min(
        INITIAL_READ_MAX_BACKOFF_MS,
        INITIAL_READ_BACKOFF_MS * 2 ** this.initialReads,
      );
      this.nextInitialReadAt = now + delay * (0.5 + this.options.random());
      await this.performInitialRead();
      return;
    }
    if (this.options.exchange.lastPeerMessageAt > this.fallback.lastFallbackAt)
      this.fallback.consecutiveFallbacks = 0;
    const state: FallbackState = {
      ...this.fallback,
      lastSourceAt: Math.max(this.options.exchange.lastPeerMessageAt, this.lastReadAt),
    };
    if (!decideFallbackRead(state, this.options.timings.fallbackAfterMs, now)) return;
    this.fallback.consecutiveFallbacks += 1;
    this.fallback.lastFallbackAt = now;
    this.recordReadResult(await this.options.reader.readChangedKeys(MAX_FALLBACK_CALLS));
  }

  private recordReadResult(isRead: boolean): void {
    if (isRead) {
      this.state = 'done';
      this.lastReadAt = this.options.readWallClock();
    } else if (this.state === 'pending') {
      this.state = 'failed';
    }
  }

  private pause(ms: number): Promise<void> {
    return sleep(ms, undefined, { signal: this.options.signal }).catch(() => undefined);
  }
}
