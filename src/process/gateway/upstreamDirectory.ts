import type { ServiceId, UpstreamId } from '../../ids.js';
import type { UpstreamEntry } from '../../version/routing/types.js';

/** Reads further apart than this mean that the store was away in between; reads are sent every 0.7 s. */
const OUTAGE_GAP_MS = 1_600;
/** Entries that lapsed during an outage are back about 2 s after its end. */
const EXPIRY_GRACE_MS = 2_200;

export interface DirectoryChange {
  readonly upstream: UpstreamId;
  readonly change: 'added' | 'draining' | 'removed' | 'held' | 'restarted';
}

/**
 * The upstreams that may get work, as announced in the store.
 *
 * Leaving is final: an upstream that was seen draining or removed is not used again under the same start, also when a
 * stale read still lists it. Entries that vanish while the store is away are kept until shortly after its return. An
 * address serves one start: of several entries with the same one, only the newest gets work, and an entry at whose
 * address another upstream has answered gets none.
 */
export class UpstreamDirectory {
  private entries = new Map<UpstreamId, UpstreamEntry>();
  /** Entries at whose address another upstream has answered. */
  private readonly replaced = new Map<UpstreamId, UpstreamEntry>();
  private readonly byService = new Map<ServiceId, UpstreamEntry[]>();
  private lastReadAt: number | undefined;
  private retainUntil = -Infinity;

  /**
   * Lists the upstreams of a service that may get new work.
   *
   * @param service - Service id
   * @returns Upstreams that are neither draining nor gone
   */
  listReady(service: ServiceId): readonly UpstreamEntry[] {
    return this.byService.get(service) ?? [];
  }

  /**
   * Lists every known upstream, draining ones included.
   *
   * @returns Entries in no particular order
   */
  listAll(): readonly UpstreamEntry[] {
    return [...this.entries.values()];
  }

  /**
   * Finds an upstream.
   *
   * @param id - Upstream id
   * @returns Its entry, also while it is draining
   */
  findEntry(id: UpstreamId): UpstreamEntry | undefined {
    return this.entries.get(id);
  }

  /**
   * Computes how old the list is.
   *
   * @param now - Milliseconds
   * @returns Milliseconds since the last read was sent, infinite without any
   */
  computeAge(now: number): number {
    return now - (this.lastReadAt ?? -Infinity);
  }

  /**
   * Checks whether an upstream may still get new work.
   *
   * @param id - Upstream id
   * @returns False when it is draining, gone or unknown
   */
  isReady(id: UpstreamId): boolean {
    return this.entries.get(id)?.isDraining === false;
  }

  /**
   * Takes over a complete listing.
   *
   * @param listed - All readable entries
   * @param readStartedAt - When the read was sent, milliseconds
   * @param now - Milliseconds
   * @returns What changed
   */
  applyListing(
    listed: readonly UpstreamEntry[],
    readStartedAt: number,
    now: number,
  ): DirectoryChange[] {
    // A peer's listing may be older than the own one.
    if (this.lastReadAt !== undefined && readStartedAt < this.lastReadAt) return [];
    const gapMs = this.lastReadAt === undefined ? 0 : readStartedAt - this.lastReadAt;
    if (gapMs > OUTAGE_GAP_MS) this.retainUntil = now + EXPIRY_GRACE_MS;
    this.lastReadAt = readStartedAt;
    const changes: DirectoryChange[] = [];
    const next = new Map<UpstreamId, UpstreamEntry>();
    for (const entry of listed) next.set(entry.id, this.mergeEntry(entry, changes));
    for (const [id, entry] of this.entries) {
      if (next.has(id)) continue;
      const isRetained = now < this.retainUntil && !entry.isDraining;
      if (isRetained) next.set(id, entry);
      changes.push({ upstream: id, change: isRetained ? 'held' : 'removed' });
    }
    this.entries = next;
    this.indexByService();
    return changes;
  }

  /**
   * Notes that another upstream has answered at the address of one.
   *
   * @param entry - Entry to which the request was sent
   */
  markReplaced(entry: UpstreamEntry): void {
    this.replaced.set(entry.id, entry);
    this.indexByService();
  }

  private mergeEntry(entry: UpstreamEntry, changes: DirectoryChange[]): UpstreamEntry {
    const previous = this.entries.get(entry.id);
    if (previous === undefined) {
      changes.push({ upstream: entry.id, change: 'added' });
      return entry;
    }
    const isRestarted = (entry.startedAt ?? 0) > (previous.startedAt ?? 0);
    if (isRestarted) changes.push({ upstream: entry.id, change: 'restarted' });
    if (previous.isDraining && !isRestarted) return { ...entry, isDraining: true };
    if (entry.isDraining) changes.push({ upstream: entry.id, change: 'draining' });
    return entry;
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
