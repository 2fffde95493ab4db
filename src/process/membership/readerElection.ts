import { hashText } from '../../version/configuration/objectHash.js';
import type { EntryPeer, ListedHost } from './types.js';

/** Links besides those to readers; they keep the graph connected while readers are replaced. */
const EXTRA_PEERS = 2;
/** Number of other availability zones in which a non-reader stays linked to a reader. */
const REMOTE_ZONES_PER_NON_READER = 1;

/**
 * Computes the live entries from the live list, which lags, and the link state, which corrects it.
 *
 * @param input - This entry, the live list, linked entries, and when hosts became unreachable
 * @param now - Current time in milliseconds
 * @returns Live entries including this one, one per host
 */
export function collectLiveEntries(
  input: {
    self: EntryPeer | undefined;
    listed: readonly ListedHost[];
    linked: readonly EntryPeer[];
    unreachableSince: ReadonlyMap<string, number>;
    unreachableTimeoutMs: number;
  },
  now: number,
): EntryPeer[] {
  const live = new Map<string, EntryPeer>();
  const leaving = new Set<string>();
  for (const host of input.listed) {
    if (host.role === 'agent') continue;
    if (host.state === 'leaving') leaving.add(host.host);
    const since = input.unreachableSince.get(host.host);
    const isUnreachable = since !== undefined && now - since >= input.unreachableTimeoutMs;
    if (host.state === 'live' && host.role === 'entry' && !isUnreachable) live.set(host.host, host);
  }
  for (const peer of input.linked) {
    if (leaving.has(peer.host)) continue;
    live.set(peer.host, { ...peer, address: peer.address ?? live.get(peer.host)?.address });
  }
  if (input.self !== undefined) live.set(input.self.host, input.self);
  return [...live.values()];
}

/**
 * Selects the readers of an availability zone by rendezvous hashing.
 *
 * @param entries - Live entries of all zones
 * @param availabilityZone - Availability zone of the readers
 * @param count - Readers per zone
 * @returns Readers in descending order of their hash score
 */
export function selectReaders(
  entries: readonly EntryPeer[],
  availabilityZone: string,
  count: number,
): EntryPeer[] {
  const inZone = entries.filter((entry) => entry.availabilityZone === availabilityZone);
  return sortByHash(inZone, `reader ${availabilityZone}`).slice(0, count);
}

/**
 * Selects the entries to stay linked with: the readers of the local zone and a few entries by hash.
 * Readers additionally link to one reader of every other zone, non-readers to one reader of one
 * other zone, so that the number of links of a reader grows with its zone instead of the fleet.
 *
 * @param self - This entry
 * @param entries - Live entries
 * @param readersPerZone - Readers per zone
 * @returns Peers with a known address, in descending order of priority
 */
export function selectPeers(
  self: EntryPeer,
  entries: readonly EntryPeer[],
  readersPerZone: number,
): EntryPeer[] {
  const others = entries.filter((entry) => entry.host !== self.host);
  const chosen = new Map<string, EntryPeer>();
  for (const reader of selectReaders(entries, self.availabilityZone, readersPerZone)) {
    chosen.set(reader.host, reader);
  }
  const zones = new Set(others.map((entry) => entry.availabilityZone));
  zones.delete(self.availabilityZone);
  const isReader = chosen.has(self.host);
  const ordered = sortByScore([...zones], (zone) => `zone ${self.host} ${zone}`);
  for (const zone of isReader ? ordered : ordered.slice(0, REMOTE_ZONES_PER_NON_READER)) {
    const readers = selectReaders(others, zone, readersPerZone);
    const reader = sortByHash(readers, `peer ${self.host}`)[0];
    if (reader !== undefined) chosen.set(reader.host, reader);
  }
  let extra = 0;
  for (const entry of sortByHash(others, `extra ${self.host}`)) {
    if (extra >= EXTRA_PEERS) break;
    if (chosen.has(entry.host)) continue;
    chosen.set(entry.host, entry);
    extra += 1;
  }
  chosen.delete(self.host);
  return [...chosen.values()].filter((entry) => entry.address !== undefined);
}

function sortByHash(entries: readonly EntryPeer[], salt: string): EntryPeer[] {
  return sortByScore(entries, (entry) => `${salt} ${entry.host}`);
}

function sortByScore<Item>(items: readonly Item[], describe: (item: Item) => string): Item[] {
  const scored = items.map((item) => ({ item, score: hashText(describe(item)) }));
  scored.sort((left, right) => (left.score < right.score ? 1 : -1));
  return scored.map(({ item }) => item);
}
