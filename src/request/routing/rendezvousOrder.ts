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
