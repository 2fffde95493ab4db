import xxhash from 'xxhash-wasm';
import { sortByWeight } from './rendezvousOrder.js';

const hasher = await xxhash();

/**
 * Sorts items by rendezvous hash of a key, highest first.
 *
 * @param key - Key to hash
 * @param items - Items to sort
 * @param getId - Returns the stable id of an item
 * @returns A new array; the relative order of two items does not depend on the others
 */
export function sortByRendezvousHash<Item>(
  key: string,
  items: readonly Item[],
  getId: (item: Item) => string,
): Item[] {
  const seed = hasher.h32(key);
  return sortByWeight(items, getId, (id) => hasher.h32(id, seed));
}

/**
 * Hashes text to 16 hex digits.
 *
 * @param text - Any text
 * @returns The hash; not collision-resistant
 */
export function hashToHex(text: string): string {
  return hasher.h64ToString(text);
}
