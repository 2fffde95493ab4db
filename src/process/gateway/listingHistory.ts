import type { UpstreamId } from '../../ids.js';
import type { UpstreamEntry } from '../../version/routing/types.js';

/** Listings that peers may still have; a listing changes a few times a second at most. */
const MAX_LISTINGS = 8;

interface Listing {
  readonly id: string;
  readonly contents: ReadonlyMap<UpstreamId, string>;
}

/** What has changed since an earlier listing. */
export interface ListingChange {
  /** Id of the newest listing. */
  readonly id: string;
  /** Listing that has changed; undefined if all entries are given. */
  readonly base: string | undefined;
  readonly changed: readonly UpstreamEntry[];
  readonly removed: readonly UpstreamId[];
}

/** Recent listings of this process, so that peers get only what has changed. Heartbeats and cold times alone are no change. */
export class ListingHistory {
  private listings: Listing[] = [];
  private recorded: readonly UpstreamEntry[] | undefined;
  private count = 0;

  /** @param owner - Unique name of this run of the process, part of the ids */
  constructor(private readonly owner: string) {}

  /**
   * Computes what a peer lacks.
   *
   * @param entries - Current listing; a new array whenever it was read again
   * @param since - Id of the listing that the peer has
   * @returns All entries as changed if the peer's listing is unknown
   */
  computeChange(entries: readonly UpstreamEntry[], since: string | undefined): ListingChange {
    const latest = this.record(entries);
    const base = this.listings.find(({ id }) => id === since);
    const changed = entries.filter(({ id }) => base?.contents.get(id) !== latest.contents.get(id));
    const removed = [...(base?.contents.keys() ?? [])].filter((id) => !latest.contents.has(id));
    return { id: latest.id, base: base?.id, changed, removed };
  }

  private record(entries: readonly UpstreamEntry[]): Listing {
    const last = this.listings.at(-1);
    if (last !== undefined && this.recorded === entries) return last;
    this.recorded = entries;
    const contents = new Map(entries.map((entry) => [entry.id, describeEntry(entry)]));
    if (last !== undefined && isSame(last.contents, contents)) return last;
    this.count += 1;
    const listing = { id: `${this.owner}/${this.count}`, contents };
    this.listings = [...this.listings, listing].slice(-MAX_LISTINGS);
    return listing;
  }
}

function describeEntry(entry: UpstreamEntry): string {
  return JSON.stringify({ ...entry, heartbeat: undefined, coldRemainingMs: undefined });
}

function isSame(
  first: ReadonlyMap<UpstreamId, string>,
  second: ReadonlyMap<UpstreamId, string>,
): boolean {
  if (first.size !== second.size) return false;
  for (const [id, content] of first) if (second.get(id) !== content) return false;
  return true;
}
