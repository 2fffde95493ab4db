import xxhash from 'xxhash-wasm';

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
  const weighted = items.map((item) => ({
    item,
    id: getId(item),
    weight: hasher.h32(getId(item), seed),
  }));
  weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1));
  return weighted.map(({ item }) => item);
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
