/** Entry that can be elected as reader of the platform and forwards configuration. */
export interface EntryPeer {
  readonly host: string;
  readonly availabilityZone: string;
  /** Link address `ip:port`, if known. */
  readonly address?: string | undefined;
}

/** Item of the platform's live list, which may be out of date. */
export interface ListedHost extends EntryPeer {
  readonly state: 'live' | 'leaving';
  readonly role?: 'entry' | 'agent' | undefined;
}

/** Intervals and timeouts of the configuration distribution. */
export interface DistributionTimings {
  readonly digestIntervalMs: number;
  /** Maximum wait for peers and the platform before a process reports that it is ready. */
  readonly readyTimeoutMs: number;
  /** Maximum random delay before the initial platform read of a started process. */
  readonly startJitterMs: number;
  /** Long poll timeout of a reader's watch; a hung watch is aborted shortly after it. */
  readonly watchTimeoutMs: number;
  readonly platformTimeoutMs: number;
  readonly liveListIntervalMs: number;
  /** Time without a configuration source before a process reads the platform directly. */
  readonly fallbackAfterMs: number;
  /** Time after which an entry with a closed link is no longer considered live. */
  readonly unreachableTimeoutMs: number;
  /** Interval at which the reader election and the peer selection are re-evaluated. */
  readonly reconcileIntervalMs: number;
}

export const defaultTimings: DistributionTimings = {
  digestIntervalMs: 5_000,
  readyTimeoutMs: 3_000,
  startJitterMs: 500,
  // Changes must be active within 3 s, so a hung watch must not block for 25 s.
  watchTimeoutMs: 2_000,
  platformTimeoutMs: 2_000,
  // Leaving hosts must receive no new work after a few seconds, which rules out a longer interval.
  liveListIntervalMs: 1_000,
  fallbackAfterMs: 30_000,
  unreachableTimeoutMs: 1_500,
  reconcileIntervalMs: 500,
};
