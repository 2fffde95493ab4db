import { setTimeout as sleep } from 'node:timers/promises';
import type { UpstreamId } from '../../ids.js';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';
import type { ConfigurationCache } from './configurationCache.js';
import type { ConfigurationPosition, ConfigurationSource, ReadError } from './types.js';
import type { UpstreamDirectory } from './upstreamDirectory.js';

/** Three reads fit into the 2 s within which a change must be in force, so one of them may fail. */
const POLL_INTERVAL_MS = 650;
/** Interval until the first configuration or upstream list has been read. */
const STARTUP_POLL_INTERVAL_MS = 120;
/** Interval after a failed read; 340 gateways then send 1,700 reads per second. */
const RETRY_POLL_INTERVAL_MS = 200;

export interface PollingOptions {
  readonly source: ConfigurationSource;
  readonly configurationCache: ConfigurationCache;
  readonly directory: UpstreamDirectory;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly signal: AbortSignal;
  readonly readClock: () => number;
  /** Requests configuration and upstream list from the other gateways while the store cannot be read. */
  readonly queryPeers: () => Promise<void>;
  /** Called after a read that changed the configuration or the upstream list. */
  readonly onChange: () => void;
  /** Called for each upstream that was added or has restarted. */
  readonly onUpstreamStarted: (upstream: UpstreamId) => void;
}

/**
 * Polls the store for the configuration until the signal is aborted.
 *
 * Reads are linearizable, so each one also validates the cached keys. A watch would need fewer calls, but it cannot
 * validate the keys: the store may leave a watch open without delivering events.
 *
 * @param options - Store, cache and listeners
 */
export async function maintainConfiguration(options: PollingOptions): Promise<void> {
  const { source, configurationCache, logger, metrics, signal, readClock: readClock } = options;
  const dependency = new DependencyStatusLog('configuration', logger, metrics);
  let known: ConfigurationPosition | undefined;
  while (!signal.aborted) {
    const readStartedAt = readClock();
    const read = await source.readConfiguration(known);
    if (read.isErr()) {
      dependency.recordFailure(read.error);
      await options.queryPeers();
    } else {
      dependency.recordSuccess();
      known = read.value;
      const { configuration, document } = read.value;
      if (configuration === undefined)
        configurationCache.revalidate(configurationCache.version, readStartedAt);
      else if (configurationCache.applyRead(configuration, readStartedAt, document)) {
        metrics.addCount('configuration_changes');
        logger.info({ configurationVersion: configuration.version }, 'configuration in force');
        options.onChange();
      }
    }
    const isFirst = configurationCache.current === undefined;
    await abortableSleep(isFirst ? STARTUP_POLL_INTERVAL_MS : chooseInterval(read.isErr()), signal);
  }
}

/**
 * Polls the store for the upstream list until the signal is aborted.
 *
 * @param options - Store, directory and listeners
 */
export async function maintainUpstreams(options: PollingOptions): Promise<void> {
  const { source, directory, logger, metrics, signal, readClock: readClock } = options;
  const dependency = new DependencyStatusLog('upstream list', logger, metrics);
  let unreadable = 0;
  while (!signal.aborted) {
    const readStartedAt = readClock();
    const read = await source.readUpstreams();
    if (read.isErr()) {
      dependency.recordFailure(read.error);
    } else {
      dependency.recordSuccess();
      const changes = directory.applyListing(read.value.upstreams, readStartedAt, readClock());
      for (const { upstream, change } of changes) {
        if (change === 'added' || change === 'restarted') options.onUpstreamStarted(upstream);
        if (change !== 'held') logger.info({ upstream, change }, 'upstream list changed');
      }
      if (read.value.unreadable !== unreadable) {
        unreadable = read.value.unreadable;
        logger.warn({ unreadable }, 'number of unreadable entries in the upstream list changed');
      }
      if (changes.length > 0) options.onChange();
    }
    const isEmpty = directory.listAll().length === 0;
    await abortableSleep(isEmpty ? STARTUP_POLL_INTERVAL_MS : chooseInterval(read.isErr()), signal);
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

function chooseInterval(hasFailed: boolean): number {
  return hasFailed ? RETRY_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
}

async function abortableSleep(ms: number, signal: AbortSignal): Promise<void> {
  // The only rejection is the abort; the polling loops check the signal.
  await sleep(ms, undefined, { signal }).catch(() => undefined);
}
