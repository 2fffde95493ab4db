import { setTimeout as sleep } from 'node:timers/promises';
import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';
import type { UpstreamId } from '../../ids.js';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';
import type { ConfigurationCache } from './configurationCache.js';
import type { PollTimer } from './pollTimer.js';
import type { StoreContact } from './storeContact.js';
import type { StoreEra } from './storeEra.js';
import type { StoreRelay } from './storeRelay.js';
import type {
  ConfigurationPosition,
  ConfigurationRead,
  ConfigurationSource,
  ReadError,
} from './types.js';
import type { UpstreamDirectory } from './upstreamDirectory.js';
import type { ZoneEvacuations } from './zoneEvacuations.js';

/** Three reads fit into the 2 s within which a change must be in force, so one of them may fail. */
const POLL_INTERVAL_MS = 650;
/** Interval at which a gateway asks the one that reads the store; with the reader's, a change arrives within 1.2 s. */
const RELAY_POLL_INTERVAL_MS = 500;
/** Interval until the first configuration or upstream list has been read. */
const STARTUP_POLL_INTERVAL_MS = 120;
/** Interval after a failed read; 340 gateways then send 1,700 reads per second. */
const RETRY_POLL_INTERVAL_MS = 200;

export interface PollingOptions {
  readonly source: ConfigurationSource;
  readonly configurationCache: ConfigurationCache;
  readonly directory: UpstreamDirectory;
  readonly evacuations: ZoneEvacuations;
  readonly storeEra: StoreEra;
  readonly contact: Pick<StoreContact, 'recordFailure'>;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly signal: AbortSignal;
  /** Gateways that read the store for this one; without it, this process always reads itself. */
  readonly relay?: Pick<StoreRelay, 'refresh' | 'isServed'>;
  /** Waits between two polls of the configuration and of the upstream list. */
  readonly timers: { readonly configuration: PollTimer; readonly upstreams: PollTimer };
  readonly readClock: () => number;
  /** Unlike `readClock` independent of the wall clock; for grace periods, which must not end early. */
  readonly readMonotonicClock: () => number;
  /**
   * Queries the other gateways while the store cannot be read or has lost data.
   *
   * @param configurationOnly - Does not request their upstream lists
   */
  readonly queryPeers: (configurationOnly: boolean) => Promise<void>;
  /** Called after a read that changed the configuration, the evacuated zones or the upstream list. */
  readonly onChange: () => void;
  /** Called after this process has itself read a change from the store. */
  readonly onStoreChange?: () => void;
  /** Called for each upstream that was added or has restarted. */
  readonly onUpstreamStarted: (upstream: UpstreamId) => void;
}

/** When a read was sent, in milliseconds of the two clocks. */
interface ReadTimes {
  readonly readStartedAt: number;
  readonly monotonicStartedAt: number;
}

/** The last configuration that this process has read from the store itself. */
interface LastRead extends ConfigurationPosition {
  readonly version: number;
}

/**
 * Polls the store for the configuration until the signal is aborted.
 *
 * Reads are linearizable, so each one also validates the cached keys. A watch would need fewer calls, but it cannot
 * validate the keys: the store may leave a watch open without delivering events. A read of a store that was restored
 * from an older copy validates nothing until what the copy lacks has been written again.
 *
 * @param options - Store, cache and listeners
 */
export async function maintainConfiguration(options: PollingOptions): Promise<void> {
  const { source, configurationCache, logger, metrics, signal, storeEra, timers } = options;
  const dependency = new DependencyStatusLog('configuration', logger, metrics);
  let last: LastRead | undefined;
  const evacuationLog = new UnreadableLog('evacuated zones', logger);
  let hasFailed = false;
  while (!signal.aborted) {
    const wasServed = options.relay?.isServed === true;
    if ((await options.relay?.refresh()) === true) {
      await timers.configuration.wait(RELAY_POLL_INTERVAL_MS);
      continue;
    }
    if (wasServed) timers.upstreams.wake();
    const readStartedAt = options.readClock();
    const monotonicStartedAt = options.readMonotonicClock();
    const reading = source.readConfiguration(last);
    if (hasFailed) await queryPeersDuring(reading, options);
    const answer = await reading;
    const times = { readStartedAt, monotonicStartedAt };
    const read = checkEra(answer, options);
    const error = read.isErr() ? read.error : read.value.configurationError;
    hasFailed = error !== undefined;
    if (read.isOk()) evacuationLog.record(read.value.unreadableEvacuations);
    if (error !== undefined) {
      options.contact.recordFailure(error, options.readClock());
      if (read.isOk()) applyEvacuations(options, read.value, times, false);
      dependency.recordFailure(error);
      await options.queryPeers(false);
    } else if (read.isOk()) {
      dependency.recordSuccess();
      last = await applyConfigurationRead(options, read.value, last, times);
    }
    const now = options.readMonotonicClock();
    const isFirst = configurationCache.current === undefined || !storeEra.isConfirmed(now);
    const isRetry = error !== undefined || !storeEra.isComplete(now);
    await timers.configuration.wait(isFirst ? STARTUP_POLL_INTERVAL_MS : chooseInterval(isRetry));
  }
}

/** Asks the other gateways while a read is under way: after a failed one, its time-out would pass until they are asked. */
async function queryPeersDuring(
  reading: Promise<unknown>,
  { queryPeers }: PollingOptions,
): Promise<void> {
  const ended = reading.then(() => true);
  const wait = (): Promise<boolean> => sleep(RETRY_POLL_INTERVAL_MS, false);
  while (!(await Promise.race([ended, wait()]))) await queryPeers(false);
}

async function applyConfigurationRead(
  options: PollingOptions,
  read: ConfigurationRead,
  last: LastRead | undefined,
  times: ReadTimes,
): Promise<LastRead> {
  const { configurationCache, storeEra, logger, metrics } = options;
  const { era, revision, configuration, document } = read;
  if (last !== undefined && last.era !== era) {
    metrics.addCount('store_restored');
    logger.warn(
      { previousEra: last.era, era, previousRevision: last.revision, revision },
      'store restored from an older copy',
    );
  }
  const version = configuration?.version ?? last?.version ?? 0;
  const isBehind = (): boolean => version < configurationCache.version;
  storeEra.recordConfiguration(revision, isBehind(), times.monotonicStartedAt);
  applyEvacuations(options, read, times, isBehind());
  if (!storeEra.isComplete(times.monotonicStartedAt, isBehind())) await options.queryPeers(true);
  const isProof = storeEra.isComplete(times.monotonicStartedAt, isBehind());
  const validatedAt = isProof ? times.readStartedAt : -Infinity;
  if (configuration === undefined) {
    configurationCache.revalidate(configurationCache.version, validatedAt);
  } else if (configurationCache.applyRead(configuration, validatedAt, document)) {
    metrics.addCount('configuration_changes');
    logger.info({ configurationVersion: configuration.version }, 'configuration in force');
    options.onChange();
    options.onStoreChange?.();
  }
  return { era, revision, version };
}

function applyEvacuations(
  options: PollingOptions,
  { era, evacuated }: ConfigurationRead,
  times: ReadTimes,
  isBehind: boolean,
): void {
  const { evacuations, storeEra, readClock, readMonotonicClock } = options;
  const isComplete = storeEra.isComplete(times.monotonicStartedAt, isBehind);
  const read = { zones: evacuated, readStartedAt: times.readStartedAt, era, isComplete };
  if (!evacuations.apply(read, readMonotonicClock(), readClock())) return;
  options.onChange();
  options.onStoreChange?.();
}

/**
 * Polls the store for the upstream list until the signal is aborted.
 *
 * @param options - Store, directory and listeners
 */
export async function maintainUpstreams(options: PollingOptions): Promise<void> {
  const { source, directory, logger, metrics, signal, timers } = options;
  const { readClock, readMonotonicClock } = options;
  const dependency = new DependencyStatusLog('upstream list', logger, metrics);
  const entryLog = new UnreadableLog('entries in the upstream list', logger);
  let hasFailed = false;
  while (!signal.aborted) {
    if (options.relay?.isServed === true) {
      await timers.upstreams.wait(POLL_INTERVAL_MS);
      continue;
    }
    // After a failed read, the loop of the configuration asks the other gateways.
    if (!hasFailed && directory.continuity.needsProof(readClock(), readMonotonicClock()))
      await options.queryPeers(false);
    const readStartedAt = readClock();
    const read = checkEra(await source.readUpstreams(), options);
    hasFailed = read.isErr();
    if (read.isErr()) {
      options.contact.recordFailure(read.error, readClock());
      dependency.recordFailure(read.error);
    } else {
      dependency.recordSuccess();
      const { upstreams, era } = read.value;
      const changes = directory.applyListing(upstreams, readStartedAt, readMonotonicClock(), era);
      for (const { upstream, change } of changes) {
        if (change === 'added' || change === 'restarted') options.onUpstreamStarted(upstream);
        if (change !== 'held') logger.info({ upstream, change }, 'upstream list changed');
      }
      entryLog.record(read.value.unreadable);
      if (changes.some(({ change }) => change === 'held'))
        metrics.addCount('listings_with_retained');
      if (changes.length > 0) options.onChange();
      if (changes.some(({ change }) => change !== 'held')) options.onStoreChange?.();
    }
    const isEmpty = directory.listAll().length === 0;
    const intervalMs = isEmpty ? STARTUP_POLL_INTERVAL_MS : chooseInterval(read.isErr());
    await timers.upstreams.wait(intervalMs);
  }
}

/** Logs the transitions of a dependency between available and unavailable; counts every failure. */
class DependencyStatusLog {
  private isUnavailable = false;

  constructor(
    private readonly name: string,
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {}

  recordFailure(error: ReadError): void {
    this.metrics.addCount(`store_read_failed_${error.code}`);
    if (this.isUnavailable) return;
    this.isUnavailable = true;
    this.logger.warn({ code: error.code, detail: error.message }, `lost the ${this.name}`);
  }

  recordSuccess(): void {
    if (!this.isUnavailable) return;
    this.isUnavailable = false;
    this.logger.info({}, `regained the ${this.name}`);
  }
}

/** Logs changes of the number of entries that cannot be decoded. */
class UnreadableLog {
  private unreadable = 0;

  constructor(
    private readonly name: string,
    private readonly logger: Logger,
  ) {}

  record(unreadable: number): void {
    if (unreadable === this.unreadable) return;
    this.unreadable = unreadable;
    this.logger.warn({ unreadable }, `number of unreadable ${this.name} changed`);
  }
}

/** Refuses an answer that was sent before the store was restored but arrived after an answer of the new era. */
function checkEra<Read extends { readonly era: number }>(
  read: Result<Read, ReadError>,
  { storeEra, readMonotonicClock }: PollingOptions,
): Result<Read, ReadError> {
  if (read.isErr() || storeEra.observe(read.value.era, readMonotonicClock())) return read;
  return Err({ code: 'outdated', message: `answer of era ${read.value.era} of the store` });
}

function chooseInterval(isRetry: boolean): number {
  return isRetry ? RETRY_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
}
