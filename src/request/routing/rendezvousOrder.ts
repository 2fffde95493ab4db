import { createHash } from 'node:crypto';

/**
 * Sorts items by weight, highest first, and by id among equal weights.
 *
 * @param items - Items to sort
 * @param getId - Returns the stable id of an item
 * @param computeWeight - Hash of the id, seeded with the key
 * @returns A new array; the relative order of two items does not depend on the others
 */
export function sortByWeight<Item>(
  items: readonly Item[],
  getId: (item: Item) => string,
  computeWeight: (id: string) => number,
): Item[] {
  const weighted = items.map((item) => {
    const id = getId(item);
    return { item, id, weight: computeWeight(id) };
  });
  weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1));
  return weighted.map(({ item }) => item);
}

/**
 * Computes a rendezvous weight. Unlike the hash of `rendezvous.ts` it is available without loading WebAssembly.
 *
 * @param key - What the item is chosen for
 * @param id - Id of the item
 * @returns Weight of 32 bits
 */
export function hashPair(key: string, id: string): number {
  return createHash('sha1').update(`${key}\n${id}`).digest().readUInt32BE(0);
}

/**
 * Hashes text to 32 bits, for `computePairWeight`.
 *
 * @param text - Any text
 * @returns The hash
 */
export function hashText(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}

/**
 * Computes a rendezvous weight from the hashes of key and id, for callers that compare many pairs of few texts.
 *
 * @param keyHash - Hash of what the item is chosen for
 * @param idHash - Hash of the id of the item
 * @returns Weight of 32 bits
 */
export function computePairWeight(keyHash: number, idHash: number): number {
  // The finalizer of MurmurHash3, so that weights of similar pairs are independent.
  let mixed = Math.imul(keyHash ^ (keyHash >>> 16), 0x85ebca6b) ^ idHash;
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  return (mixed ^ (mixed >>> 13)) >>> 0;
}
