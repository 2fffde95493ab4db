import type { AvailabilityZoneId, ServiceId, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { Logger } from '../logging.js';
import type { ConfigurationCache } from './configurationCache.js';
import type { StateSnapshot } from './gatewayPeers.js';
import type { StoreEra } from './storeEra.js';
import type { ConfigurationSource } from './types.js';
import type { UpstreamDirectory } from './upstreamDirectory.js';

export interface PeerSnapshotsOptions {
  readonly configurationCache: ConfigurationCache;
  readonly directory: UpstreamDirectory;
  readonly storeEra: StoreEra;
  readonly source: Pick<ConfigurationSource, 'decodeDocument'>;
  readonly logger: Logger;
  /** Suspend-aware clock, in milliseconds. */
  readonly readClock: () => number;
  readonly readMonotonicClock: () => number;
  /** Called when the configuration of a peer has come into force. */
  readonly onConfiguration: () => void;
  /** Called for each upstream that was added or has restarted. */
  readonly onUpstreamStarted: (upstream: UpstreamId) => void;
}

/** Exchanges what this gateway and its peers have read from the store. */
export class PeerSnapshots {
  constructor(private readonly options: PeerSnapshotsOptions) {}

  /**
   * Creates the reply to the query of a peer.
   *
   * @param version - Version of the peer's configuration; the document is only included when this gateway's is newer
   * @param configurationOnly - Whether to leave out the upstream list
   * @returns State with the ages of the reads that it rests on
   */
  create(version: number, configurationOnly: boolean): StateSnapshot {
    const { configurationCache, directory, storeEra } = this.options;
    const now = this.options.readClock();
    const monotonicNow = this.options.readMonotonicClock();
    const proofAgeMs = configurationCache.computeAge(now);
    const listingAgeMs = directory.computeAge(now);
    const { current } = configurationCache;
    const { current: era } = storeEra;
    return {
      ...(era !== undefined && storeEra.hasEvidence(monotonicNow)
        ? { era, isEraComplete: storeEra.isComplete(monotonicNow) }
        : {}),
      version: configurationCache.version,
      ...(Number.isFinite(proofAgeMs) ? { proofAgeMs } : {}),
      ...(current !== undefined && configurationCache.version > version
        ? { document: current.document }
        : {}),
      ...(Number.isFinite(listingAgeMs) && !configurationOnly
        ? { listingAgeMs, listingEra: directory.era }
        : {}),
      upstreams: configurationOnly ? [] : this.listUpstreams(),
    };
  }

  /**
   * Applies the reply of a peer.
   *
   * @param snapshot - State of the peer
   * @param queriedAt - When the query was sent, suspend-aware clock, milliseconds
   */
  apply(snapshot: StateSnapshot, queriedAt: number): void {
    const { configurationCache, storeEra } = this.options;
    const { version, proofAgeMs, document, era, isEraComplete } = snapshot;
    const monotonicNow = this.options.readMonotonicClock();
    const isCurrent = storeEra.observePeer(era, isEraComplete === true, monotonicNow);
    const validatedAt = isCurrent && proofAgeMs !== undefined ? queriedAt - proofAgeMs : -Infinity;
    configurationCache.revalidate(version, validatedAt);
    if (document !== undefined && version > configurationCache.version)
      this.applyDocument(snapshot, document, validatedAt);
    if (snapshot.listingAgeMs !== undefined)
      this.applyListing(snapshot, queriedAt - snapshot.listingAgeMs);
  }

  private applyDocument(
    { version, proofAgeMs }: StateSnapshot,
    document: string,
    validatedAt: number,
  ): void {
    const { source, logger, configurationCache, onConfiguration } = this.options;
    const decoded = source.decodeDocument(document);
    if (decoded.isErr()) {
      const { code, message: detail } = decoded.error;
      logger.warn({ code, detail }, 'cannot decode the configuration received from a peer');
      return;
    }
    if (!configurationCache.applyRead(decoded.value, validatedAt, document)) return;
    logger.info({ configurationVersion: version, proofAgeMs }, 'configuration of a peer in force');
    onConfiguration();
  }

  private applyListing(snapshot: StateSnapshot, readStartedAt: number): void {
    const { directory, logger, readMonotonicClock, onUpstreamStarted } = this.options;
    const upstreams = snapshot.upstreams.map((entry) => ({
      ...entry,
      id: toId<UpstreamId>(entry.id),
      service: toId<ServiceId>(entry.service),
      availabilityZone: toId<AvailabilityZoneId>(entry.availabilityZone),
    }));
    const changes = directory.applyListing(
      upstreams,
      readStartedAt,
      readMonotonicClock(),
      snapshot.listingEra,
    );
    for (const { upstream, change } of changes) {
      if (change === 'added' || change === 'restarted') onUpstreamStarted(upstream);
      if (change !== 'held')
        logger.info({ upstream, change }, 'upstream list of a peer taken over');
    }
  }

  private listUpstreams(): StateSnapshot['upstreams'] {
    return this.options.directory.listAll().map(({ startedAt, heartbeat, ...entry }) => ({
      ...entry,
      ...(startedAt === undefined ? {} : { startedAt }),
      ...(heartbeat === undefined ? {} : { heartbeat }),
    }));
  }
}
