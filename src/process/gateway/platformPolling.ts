import { setTimeout as sleep } from 'node:timers/promises';
import type { UpstreamId } from '../../ids.js';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';
import type { ConfigurationCache } from './configurationCache.js';
import type { ConfigurationSource, ReadError } from './types.js';
import type { UpstreamDirectory } from './upstreamDirectory.js';

/** Three reads fit into the 2 s in which a change must be in force, with one of them lost. */
const POLL_INTERVAL_MS = 650;
/** Before the first configuration the store is asked more often. */
const STARTUP_POLL_INTERVAL_MS = 120;
/** After a failed read the next one follows sooner; at 340 gateways these are 1,700 reads a second. */
const RETRY_POLL_INTERVAL_MS = 200;

export interface PollingOptions {
  readonly source: ConfigurationSource;
  readonly configurationCache: ConfigurationCache;
  readonly directory: UpstreamDirectory;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly signal: AbortSignal;
  readonly readNow: () => number;
  /** Asks the other gateways for what they know; used while the store cannot be read. */
  readonly queryPeers: () => Promise<void>;
  /** Called after a read that may have changed the fleet or the configuration. */
  readonly onChange: () => void;
  /** Called for each upstream that is new or has restarted. */
  readonly onUpstreamStarted: (upstream: UpstreamId) => void;
}

/**
 * Keeps the configuration up to date by reading it from the store.
 *
 * Reads are linearizable, so each also proves that the keys held are still valid. A watch would be one call for a
 * longer time, but it proves nothing while the store leaves watches without events.
 *
 * @param options - Source and holder
 */
export async function maintainConfiguration(options: PollingOptions): Promise<void> {
  const { source, configurationCache, logger, metrics, signal, readNow } = options;
  const dependency = new DependencyStatusLog('configuration', logger, metrics);
  let revision: number | undefined;
  while (!signal.aborted) {
    const readStartedAt = readNow();
    const read = await source.readConfiguration(revision);
    if (read.isErr()) {
      dependency.recordFailure(read.error);
      await options.queryPeers();
    } else {
      dependency.recordSuccess();
      revision = read.value.revision;
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
 * Keeps the list of upstreams up to date by reading it from the store.
 *
 * @param options - Source and directory
 */
export async function maintainUpstreams(options: PollingOptions): Promise<void> {
  const { source, directory, logger, metrics, signal, readNow } = options;
  const dependency = new DependencyStatusLog('upstream list', logger, metrics);
  let unreadable = 0;
  while (!signal.aborted) {
    const readStartedAt = readNow();
    const read = await source.readUpstreams();
    if (read.isErr()) {
      dependency.recordFailure(read.error);
    } else {
      dependency.recordSuccess();
      const changes = directory.applyListing(read.value.upstreams, readStartedAt, readNow());
      for (const { upstream, change } of changes) {
        if (change === 'added' || change === 'restarted') options.onUpstreamStarted(upstream);
        if (change !== 'held') logger.info({ upstream, change }, 'upstream list changed');
      }
      if (read.value.unreadable !== unreadable) {
        unreadable = read.value.unreadable;
        logger.warn({ unreadable }, 'entries of the upstream list cannot be read');
      }
      if (changes.length > 0) options.onChange();
    }
    const isEmpty = directory.listAll().length === 0;
    await abortableSleep(isEmpty ? STARTUP_POLL_INTERVAL_MS : chooseInterval(read.isErr()), signal);
  }
}

/** Logs a dependency once when it is lost and once when it is back. */
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
  // The only rejection is the abort, which the callers check themselves.
  await sleep(ms, undefined, { signal }).catch(() => undefined);
}
