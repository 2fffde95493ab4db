import type { AvailabilityZoneId, ServiceId, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import { isAddress } from '../../connection/address.js';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';
import type { ConfigurationCache } from './configurationCache.js';
import type { StateSnapshot } from './gatewayPeers.js';
import { ListingHistory } from './listingHistory.js';
import type { StoreEra } from './storeEra.js';
import type { ConfigurationSource } from './types.js';
import type { ColdLimits } from '../../request/rateLimit/coldLimits.js';
import type { UpstreamEntry } from '../../version/routing/types.js';
import type { RemovedUpstream, UpstreamDirectory } from './upstreamDirectory.js';
import type { ZoneEvacuations } from './zoneEvacuations.js';

/** Removals sent with a listing; more than can leave between two listings. */
const MAX_REMOVALS = 64;

/** Gateways whose listings are kept; a gateway asks two of them, which change with the links. */
const MAX_SENDERS = 3;

interface RelayedListing {
  readonly id: string;
  readonly entries: ReadonlyMap<string, WireUpstream>;
}

type WireUpstream = StateSnapshot['upstreams'][number];

export interface PeerSnapshotsOptions {
  /** Unique name of this run of the process. */
  readonly incarnation: string;
  readonly configurationCache: ConfigurationCache;
  readonly directory: UpstreamDirectory;
  readonly evacuations: ZoneEvacuations;
  /** Cold upstreams, told with the upstream list. */
  readonly cold?: Pick<ColdLimits, 'encode' | 'receive'>;
  readonly storeEra: StoreEra;
  readonly source: Pick<ConfigurationSource, 'decodeDocument'>;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Suspend-aware clock, in milliseconds. */
  readonly readClock: () => number;
  readonly readMonotonicClock: () => number;
  /** Called when other availability zones are evacuated than before. */
  readonly onEvacuation: () => void;
  /** Called when the configuration of a peer has come into force. */
  readonly onConfiguration: () => void;
  /** Called for each upstream that was added or has restarted. */
  readonly onUpstreamStarted: (upstream: UpstreamId) => void;
}

/** Exchanges what this gateway and its peers have read from the store. */
export class PeerSnapshots {
  private readonly history: ListingHistory;
  /** Listings of the gateways that this one asks, by process id. */
  private readonly relayed = new Map<string, RelayedListing>();

  constructor(private readonly options: PeerSnapshotsOptions) {
    this.history = new ListingHistory(options.incarnation);
  }

  /**
   * Finds the listing that was last received from a gateway.
   *
   * @param sender - Process id of the gateway
   * @returns Id of the listing, empty for none
   */
  findListing(sender: string): string {
    return this.relayed.get(sender)?.id ?? '';
  }

  /**
   * Creates the reply to the query of a peer.
   *
   * @param version - Version of the peer's configuration; the document is only included when this gateway's is newer
   * @param configurationOnly - Whether to leave out the upstream list
   * @param listing - Listing that the peer has, empty for none; undefined if it always takes the complete list
   * @returns State with the ages of the reads that it rests on
   */
  create(version: number, configurationOnly: boolean, listing?: string): StateSnapshot {
    const { configurationCache, directory, storeEra } = this.options;
    const now = this.options.readClock();
    const monotonicNow = this.options.readMonotonicClock();
    const proofAgeMs = configurationCache.computeAge(now);
    const listingAgeMs = directory.computeAge(now);
    const listingCompleteMs = directory.continuity.computeCompleteMs(now);
    const evacuations = this.options.evacuations.describe(now);
    const cold = this.options.cold?.encode(monotonicNow) ?? [];
    const { current } = configurationCache;
    const { current: era } = storeEra;
    return {
      ...(era !== undefined && storeEra.isConfirmed(monotonicNow)
        ? { era, isEraComplete: storeEra.isComplete(monotonicNow) }
        : {}),
      version: configurationCache.version,
      ...(evacuations === undefined ? {} : { evacuations }),
      ...(Number.isFinite(proofAgeMs) ? { proofAgeMs } : {}),
      ...(current !== undefined && configurationCache.version > version
        ? { document: current.document }
        : {}),
      ...(Number.isFinite(listingAgeMs) && !configurationOnly
        ? { listingAgeMs, listingEra: directory.era, listingCompleteMs }
        : {}),
      ...(cold.length > 0 ? { cold } : {}),
      ...this.describeListing(configurationOnly, listing),
    };
  }

  /**
   * Applies the reply of a peer.
   *
   * @param snapshot - State of the peer
   * @param queriedAt - When the query was sent, suspend-aware clock, milliseconds
   * @param sender - Process id of the peer
   */
  apply(snapshot: StateSnapshot, queriedAt: number, sender: string): void {
    const { configurationCache, storeEra } = this.options;
    const { version, proofAgeMs, document, era, isEraComplete } = snapshot;
    const monotonicNow = this.options.readMonotonicClock();
    const isCurrent = storeEra.observePeer(era, isEraComplete === true, monotonicNow);
    const validatedAt = isCurrent && proofAgeMs !== undefined ? queriedAt - proofAgeMs : -Infinity;
    const isComplete =
      isCurrent &&
      isEraComplete === true &&
      storeEra.isComplete(monotonicNow, version < configurationCache.version);
    this.applyEvacuations(snapshot, queriedAt, isComplete);
    configurationCache.revalidate(version, validatedAt);
    if (document !== undefined && version > configurationCache.version)
      this.applyDocument(snapshot, document, validatedAt);
    // The list may name upstreams that this gateway does not know yet.
    this.options.cold?.receive(snapshot.cold ?? [], sender, monotonicNow);
    if (snapshot.listingAgeMs !== undefined)
      this.applyListing(snapshot, queriedAt - snapshot.listingAgeMs, sender);
  }

  private applyEvacuations(
    { evacuations: received }: StateSnapshot,
    queriedAt: number,
    isComplete: boolean,
  ): void {
    if (received === undefined) return;
    const { evacuations, readClock, readMonotonicClock, onEvacuation } = this.options;
    const read = {
      zones: received.zones.map((zone) => toId<AvailabilityZoneId>(zone)),
      readStartedAt: queriedAt - received.ageMs,
      era: received.era,
      isComplete,
    };
    if (evacuations.apply(read, readMonotonicClock(), readClock())) onEvacuation();
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

  private applyListing(snapshot: StateSnapshot, readStartedAt: number, sender: string): void {
    const { directory, logger, readClock, readMonotonicClock, onUpstreamStarted } = this.options;
    const listed = this.assembleListing(snapshot, sender);
    if (listed === undefined) return;
    // A gateway of an earlier version passes on entries that name no usable address.
    const usable = listed.filter(({ address }) => isAddress(address));
    const upstreams = usable.map((entry) => ({
      ...entry,
      id: toId<UpstreamId>(entry.id),
      service: toId<ServiceId>(entry.service),
      availabilityZone: toId<AvailabilityZoneId>(entry.availabilityZone),
    }));
    const { listingEra, listingCompleteMs } = snapshot;
    // Counted from the arrival of the reply, so that a late one proves less.
    const completeSince =
      listingCompleteMs === undefined ? undefined : readClock() - listingCompleteMs;
    const now = readMonotonicClock();
    const changes = directory.applyListing(upstreams, readStartedAt, now, listingEra, {
      completeSince,
    });
    for (const { id, startedAt, heartbeat, era } of snapshot.removals ?? []) {
      directory.mergeRemoval({ id: toId<UpstreamId>(id), startedAt, heartbeat, era });
    }
    for (const { upstream, change } of changes) {
      if (change === 'added' || change === 'restarted') onUpstreamStarted(upstream);
      if (change !== 'held')
        logger.info({ upstream, change }, 'upstream list of a peer taken over');
    }
  }

  /** Applies the changes of a listing; undefined if they rest on a listing that this gateway does not have. */
  private assembleListing(
    snapshot: StateSnapshot,
    sender: string,
  ): readonly WireUpstream[] | undefined {
    const { listing, listingBase, upstreams, removedUpstreams = [] } = snapshot;
    this.options.metrics.addCount('relayed_upstreams', upstreams.length);
    if (listing === undefined) return upstreams;
    const base = this.relayed.get(sender);
    this.relayed.delete(sender);
    if (listingBase !== undefined && listingBase !== base?.id) return undefined;
    const entries = new Map(listingBase === undefined ? [] : base?.entries);
    for (const id of removedUpstreams) entries.delete(id);
    for (const entry of upstreams) entries.set(entry.id, entry);
    this.relayed.set(sender, { id: listing, entries });
    for (const oldest of this.relayed.keys()) {
      if (this.relayed.size <= MAX_SENDERS) break;
      this.relayed.delete(oldest);
    }
    return [...entries.values()];
  }

  private describeListing(
    configurationOnly: boolean,
    since: string | undefined,
  ): Pick<
    StateSnapshot,
    'upstreams' | 'listing' | 'listingBase' | 'removedUpstreams' | 'removals'
  > {
    const { directory } = this.options;
    if (configurationOnly) return { upstreams: [] };
    const entries = directory.listCurrent();
    if (since === undefined) return { upstreams: entries.map(encodeUpstream) };
    const { id, base, changed, removed } = this.history.computeChange(entries, since);
    const isUnchanged = base !== undefined && removed.length === 0;
    return {
      listing: id,
      ...(base === undefined ? {} : { listingBase: base }),
      upstreams: changed.map(encodeUpstream),
      removedUpstreams: [...removed],
      ...(isUnchanged ? {} : { removals: directory.listRemovals(MAX_REMOVALS).map(encodeRemoval) }),
    };
  }
}

/** Cold times are told apart: they change with each read, and so would the list. */
function encodeUpstream({ startedAt, heartbeat, ...rest }: UpstreamEntry): WireUpstream {
  const entry = { ...rest };
  delete entry.coldRemainingMs;
  return {
    ...entry,
    ...(startedAt === undefined ? {} : { startedAt }),
    ...(heartbeat === undefined ? {} : { heartbeat }),
  };
}

function encodeRemoval({
  id,
  startedAt,
  heartbeat,
  era,
}: RemovedUpstream): NonNullable<StateSnapshot['removals']>[number] {
  return {
    id,
    era,
    ...(startedAt === undefined ? {} : { startedAt }),
    ...(heartbeat === undefined ? {} : { heartbeat }),
  };
}
