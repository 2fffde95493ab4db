import { setTimeout as sleep } from 'node:timers/promises';
import type { UpstreamId } from '../../ids.js';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';
import type { ConfigurationHolder } from './configurationHolder.js';
import type { ConfigurationSource, ReadError } from './types.js';
import type { UpstreamDirectory } from './upstreamDirectory.js';

/** Three reads fit into the 2 s in which a change must be in force, with one of them lost. */
const POLL_INTERVAL_MS = 650;
/** Before the first configuration the store is asked more often. */
const FIRST_POLL_INTERVAL_MS = 120;
/** After a failed read the next one follows sooner; at 340 gateways these are 1,700 reads a second. */
const FAILED_POLL_INTERVAL_MS = 200;

export interface PollingOptions {
  readonly source: ConfigurationSource;
  readonly holder: ConfigurationHolder;
  readonly directory: UpstreamDirectory;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly signal: AbortSignal;
  readonly readNow: () => number;
  /** Asks the other gateways for what they know; used while the store cannot be read. */
  readonly askPeers: () => Promise<void>;
  /** Called after a read that may have changed the fleet or the configuration. */
  readonly onChange: () => void;
  /** Called for each upstream that is new or has restarted. */
  readonly onUpstream: (upstream: UpstreamId) => void;
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
  const { source, holder, logger, metrics, signal, readNow } = options;
  const dependency = new DependencyLog('configuration', logger, metrics);
  let revision: number | undefined;
  while (!signal.aborted) {
    const beganAt = readNow();
    const read = await source.readConfiguration(revision);
    if (read.isErr()) {
      dependency.noteFailure(read.error);
      await options.askPeers();
    } else {
      dependency.noteSuccess();
      revision = read.value.revision;
      const { configuration, document } = read.value;
      if (configuration === undefined) holder.noteUnchanged(holder.version, beganAt);
      else if (holder.applyRead(configuration, beganAt, document)) {
        metrics.addCount('configuration_changes');
        logger.info({ configurationVersion: configuration.version }, 'configuration in force');
        options.onChange();
      }
    }
    const isFirst = holder.current === undefined;
    await pause(isFirst ? FIRST_POLL_INTERVAL_MS : chooseInterval(read.isErr()), signal);
  }
}

/**
 * Keeps the list of upstreams up to date by reading it from the store.
 *
 * @param options - Source and directory
 */
export async function maintainUpstreams(options: PollingOptions): Promise<void> {
  const { source, directory, logger, metrics, signal, readNow } = options;
  const dependency = new DependencyLog('upstream list', logger, metrics);
  let unreadable = 0;
  while (!signal.aborted) {
    const beganAt = readNow();
    const read = await source.readUpstreams();
    if (read.isErr()) {
      dependency.noteFailure(read.error);
    } else {
      dependency.noteSuccess();
      const changes = directory.applyListing(read.value.upstreams, beganAt, readNow());
      for (const { upstream, change } of changes) {
        if (change === 'added' || change === 'restarted') options.onUpstream(upstream);
        if (change !== 'held') logger.info({ upstream, change }, 'upstream list changed');
      }
      if (read.value.unreadable !== unreadable) {
        unreadable = read.value.unreadable;
        logger.warn({ unreadable }, 'entries of the upstream list cannot be read');
      }
      if (changes.length > 0) options.onChange();
    }
    const isEmpty = directory.listAll().length === 0;
    await pause(isEmpty ? FIRST_POLL_INTERVAL_MS : chooseInterval(read.isErr()), signal);
  }
}

/** Logs a dependency once when it is lost and once when it is back. */
class DependencyLog {
  private isLost = false;

  constructor(
    private readonly name: string,
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {}

  noteFailure(error: ReadError): void {
    this.metrics.addCount(`store_read_failed_${error.code}`);
    if (this.isLost) return;
    this.isLost = true;
    this.logger.warn({ code: error.code, detail: error.message }, `lost the ${this.name}`);
  }

  noteSuccess(): void {
    if (!this.isLost) return;
    this.isLost = false;
    this.logger.info({}, `regained the ${this.name}`);
  }
}

function chooseInterval(hasFailed: boolean): number {
  return hasFailed ? FAILED_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
}

async function pause(ms: number, signal: AbortSignal): Promise<void> {
  // The only rejection is the abort, which the callers check themselves.
  await sleep(ms, undefined, { signal }).catch(() => undefined);
}
