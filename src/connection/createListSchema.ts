import { z } from 'zod';

/**
 * Creates a schema of a list that is refused at its first unexpected item. `z.array` makes an issue of each, some hundred
 * bytes for an item of two.
 *
 * @param item - Schema of an item, whose unknown fields are kept
 * @returns The schema
 */
export function createListSchema<Item>(item: z.ZodType<Item>): z.ZodType<Item[]> {
  return z.custom<Item[]>(
    (value) => Array.isArray(value) && value.every((entry) => item.safeParse(entry).success),
    'expected a list of sound items',
  );
}
