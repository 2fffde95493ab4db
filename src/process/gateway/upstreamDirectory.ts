import type { AvailabilityZoneId, ServiceId, UpstreamId } from '../../ids.js';
import type { UpstreamEntry } from '../../version/routing/types.js';
import type { UpstreamStart } from './leavingUpstreams.js';
import { LeavingUpstreams } from './leavingUpstreams.js';
import type { ListingRelay } from './readContinuity.js';
import { ReadContinuity } from './readContinuity.js';

/** The operator and the upstreams write again what a restored store lacks within about 2 s. */
const RESTORE_GRACE_MS = 2_200;
/** Removals that are remembered; upstreams that left since the last copy of the store are far fewer. */
const MAX_REMOVALS = 1_000;

export interface DirectoryChange {
  readonly upstream: UpstreamId;
  /** `held` stands for an entry that is missing from the listing but retained. */
  readonly change: 'added' | 'draining' | 'removed' | 'held' | 'restarted';
}

/** Last known state of an upstream that was removed, and the era of the listing that lacked it. */
export interface RemovedUpstream {
  readonly id: UpstreamId;
  readonly startedAt: number | undefined;
  readonly heartbeat: number | undefined;
  readonly era: number;
}

/** An entry that was removed, and the era of the listing that lacked it. */
interface Removal {
  readonly entry: UpstreamEntry;
  readonly era: number;
}

/**
 * The upstreams registered in the store, and which of them may get new work.
 *
 * - A listed upstream that has been seen draining stays draining until it restarts, also when a stale read lists it as
 *   active.
 * - Entries that expire during an outage of the store are retained until shortly after it is back. A gap in the own reads
 *   is no outage if another gateway has read the store meanwhile. Retained entries are not passed on as listed.
 * - A store that was restored from an older copy lists upstreams that have left since, and lacks those that registered
 *   since. The former stay out until their heartbeat or start shows that they have registered again; the latter are
 *   retained as after an outage.
 * - An address belongs to one process: of several entries with the same address only the most recently started gets
 *   work, and an entry gets none once another upstream has responded at its address.
 */
export class UpstreamDirectory {
  /** Called with each applied listing, before its upstreams can be chosen. */
  onListing: (entries: readonly UpstreamEntry[], now: number) => void = () => undefined;
  readonly continuity = new ReadContinuity();
  private entries = new Map<UpstreamId, UpstreamEntry>();
  private known: readonly UpstreamEntry[] = [];
  private listed: readonly UpstreamEntry[] = [];
  /** Entries at whose address another upstream has responded. */
  private readonly replaced = new Map<UpstreamId, UpstreamEntry>();
  private readonly leaving = new LeavingUpstreams();
  private excludedZones: ReadonlySet<AvailabilityZoneId> = new Set();
  private readonly byService = new Map<ServiceId, UpstreamEntry[]>();
  private hasListing = false;
  private restoreGraceUntil = -Infinity;
  /** Era of the last applied listing; 0 for a store that does not report it. */
  era = 0;
  private readonly removals = new Map<UpstreamId, Removal>();

  /**
   * Lists the upstreams of a service that may get new work.
   *
   * @param service - Service id
   * @returns Upstreams that are neither draining nor replaced, outside the excluded availability zones
   */
  listReady(service: ServiceId): readonly UpstreamEntry[] {
    return this.byService.get(service) ?? [];
  }

  /**
   * Lists every known upstream, draining ones included.
   *
   * @returns Entries in no particular order; a new array after each listing
   */
  listAll(): readonly UpstreamEntry[] {
    return this.known;
  }

  /**
   * Lists the upstreams of the last listing, draining ones included, without retained ones.
   *
   * @returns Entries in no particular order; a new array after each listing
   */
  listCurrent(): readonly UpstreamEntry[] {
    return this.listed;
  }

  /**
   * Finds the entry of an upstream.
   *
   * @param id - Upstream id
   * @returns The entry, also of a draining upstream
   */
  findEntry(id: UpstreamId): UpstreamEntry | undefined {
    return this.entries.get(id);
  }

  /**
   * Computes the age of the listing.
   *
   * @param now - Current time in milliseconds
   * @returns Milliseconds since the last applied read was sent; infinite before the first one
   */
  computeAge(now: number): number {
    return this.continuity.computeAge(now);
  }

  /**
   * Applies a complete listing; one of an older era, or older than the last applied of the same era, is ignored.
   *
   * @param listed - All decoded entries
   * @param readStartedAt - When the read was sent, milliseconds
   * @param now - Current time on the monotonic clock, in milliseconds
   * @param era - Era of the store; rises each time it is restored from an older copy
   * @param relay - Given if another gateway has read it
   * @returns Changes since the previous listing
   */
  applyListing(
    listed: readonly UpstreamEntry[],
    readStartedAt: number,
    now: number,
    era = 0,
    relay?: ListingRelay,
  ): DirectoryChange[] {
    const { continuity } = this;
    if (this.hasListing) {
      if (era === this.era) continuity.verifyGap(relay, readStartedAt);
      // A listing received from a peer may be older than the last one applied.
      const isOlder = era === this.era && continuity.computeAge(readStartedAt) < 0;
      if (era < this.era || isOlder) return [];
      if (era > this.era) {
        this.restoreGraceUntil = now + RESTORE_GRACE_MS;
        continuity.recordRestore(readStartedAt);
      }
    }
    continuity.recordRead(readStartedAt, now, relay);
    this.hasListing = true;
    this.era = era;
    const changes: DirectoryChange[] = [];
    const current = new Map<UpstreamId, UpstreamEntry>();
    for (const entry of listed) {
      if (this.isOutdated(entry, now)) continue;
      current.set(entry.id, this.mergeEntry(entry, changes));
    }
    const next = new Map(current);
    for (const [id, entry] of this.entries) {
      if (next.has(id)) continue;
      const isRetained =
        now < this.restoreGraceUntil || (continuity.isRetaining(now) && !entry.isDraining);
      if (isRetained) next.set(id, entry);
      else this.recordRemoval(entry);
      changes.push({ upstream: id, change: isRetained ? 'held' : 'removed' });
    }
    this.entries = next;
    this.known = [...next.values()];
    this.listed = [...current.values()];
    this.onListing(this.known, now);
    this.indexByService();
    return changes;
  }

  /**
   * Lists the latest removals.
   *
   * @param limit - Maximum number
   * @returns Last known state of upstreams that have been removed
   */
  listRemovals(limit: number): RemovedUpstream[] {
    const latest = [...this.removals.values()].slice(-limit);
    return latest.map(({ entry: { id, startedAt, heartbeat }, era }) => ({
      id,
      startedAt,
      heartbeat,
      era,
    }));
  }

  /**
   * Takes over the heartbeat of a removed upstream from a gateway that may have read a later one.
   *
   * @param removed - Last state known to the other gateway
   */
  mergeRemoval({ id, startedAt, heartbeat, era }: RemovedUpstream): void {
    const removal = this.removals.get(id);
    if (removal?.era !== era || removal.entry.startedAt !== startedAt) return;
    if ((removal.entry.heartbeat ?? 0) >= (heartbeat ?? 0)) return;
    this.removals.set(id, { entry: { ...removal.entry, heartbeat }, era });
  }

  /**
   * Excludes an entry because another upstream has responded at its address.
   *
   * @param entry - Entry to which the request was sent
   */
  markReplaced(entry: UpstreamEntry): void {
    this.replaced.set(entry.id, entry);
    this.indexByService();
  }

  /**
   * Excludes an upstream that has stated that it leaves, whatever a listing says, until it starts anew.
   *
   * @param upstream - Start of the upstream that has stated it
   * @returns False if it was known
   */
  markLeaving(upstream: UpstreamStart): boolean {
    if (!this.leaving.add(upstream)) return false;
    this.indexByService();
    return true;
  }

  /**
   * Lists the upstreams that have stated that they leave.
   *
   * @returns Starts of upstreams
   */
  listLeaving(): UpstreamStart[] {
    return this.leaving.list();
  }

  /**
   * Excludes the upstreams of availability zones from new work, in place of those excluded before.
   *
   * @param zones - Availability zones
   */
  blockZones(zones: ReadonlySet<AvailabilityZoneId>): void {
    this.excludedZones = zones;
    this.indexByService();
  }

  private mergeEntry(entry: UpstreamEntry, changes: DirectoryChange[]): UpstreamEntry {
    const previous = this.entries.get(entry.id);
    if (previous === undefined) {
      this.removals.delete(entry.id);
      changes.push({ upstream: entry.id, change: 'added' });
      return entry;
    }
    const isRestarted = (entry.startedAt ?? 0) > (previous.startedAt ?? 0);
    if (isRestarted) changes.push({ upstream: entry.id, change: 'restarted' });
    if (previous.isDraining && !isRestarted)
      return { ...createMerged(entry, previous), isDraining: true };
    if (entry.isDraining) changes.push({ upstream: entry.id, change: 'draining' });
    return isRestarted ? entry : createMerged(entry, previous);
  }

  /** A restored store may list an upstream that has left since, or an earlier start of it. */
  private isOutdated(entry: UpstreamEntry, now: number): boolean {
    const held = this.entries.get(entry.id);
    if (held !== undefined) {
      return now < this.restoreGraceUntil && (entry.startedAt ?? 0) < (held.startedAt ?? 0);
    }
    const removal = this.removals.get(entry.id);
    if (removal === undefined) return false;
    const { startedAt, heartbeat = 0 } = removal.entry;
    const listedHeartbeat = entry.heartbeat ?? 0;
    const isOlderEra = removal.era < this.era;
    if (startedAt === undefined || entry.startedAt === undefined) {
      // Heartbeats begin anew with each start, so without its time a restarted upstream may look outdated.
      return isOlderEra && now < this.restoreGraceUntil && listedHeartbeat <= heartbeat;
    }
    if (entry.startedAt !== startedAt) return isOlderEra && entry.startedAt < startedAt;
    // Within one era, an entry with an equal heartbeat was removed and registered again.
    return isOlderEra ? listedHeartbeat <= heartbeat : listedHeartbeat < heartbeat;
  }

  private recordRemoval(entry: UpstreamEntry): void {
    this.removals.delete(entry.id);
    this.removals.set(entry.id, { entry, era: this.era });
    for (const oldest of this.removals.keys()) {
      if (this.removals.size <= MAX_REMOVALS) return;
      this.removals.delete(oldest);
    }
  }

  private indexByService(): void {
    this.byService.clear();
    const newestStartByAddress = new Map<string, number>();
    const usable: UpstreamEntry[] = [];
    for (const entry of this.entries.values()) {
      if (this.isReplaced(entry)) continue;
      usable.push(entry);
      const newest = Math.max(newestStartByAddress.get(entry.address) ?? 0, entry.startedAt ?? 0);
      newestStartByAddress.set(entry.address, newest);
    }
    for (const id of this.replaced.keys()) if (!this.entries.has(id)) this.replaced.delete(id);
    for (const entry of usable) {
      if (
        entry.isDraining ||
        this.excludedZones.has(entry.availabilityZone) ||
        this.leaving.has(entry) ||
        (entry.startedAt ?? 0) < (newestStartByAddress.get(entry.address) ?? 0)
      )
        continue;
      const entries = this.byService.get(entry.service) ?? [];
      entries.push(entry);
      this.byService.set(entry.service, entries);
    }
  }

  private isReplaced({ id, address, startedAt }: UpstreamEntry): boolean {
    const replacedEntry = this.replaced.get(id);
    return replacedEntry?.address === address && replacedEntry.startedAt === startedAt;
  }
}

/** Keeps the highest heartbeat, because a restored store may list an earlier one. */
function createMerged(entry: UpstreamEntry, previous: UpstreamEntry): UpstreamEntry {
  if ((previous.heartbeat ?? 0) <= (entry.heartbeat ?? 0)) return entry;
  return { ...entry, heartbeat: previous.heartbeat };
}
