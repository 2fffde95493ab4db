import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';
import { formatTicketKey, parseTicket, toStoredObjects } from './ticketSchema.js';
import type { StoredObject } from './types.js';

const baseShardSchema = z.object({
  objects: z.array(z.object({ key: z.string(), ticket: z.number(), state: z.unknown() })),
});

type ValueParser = (key: string, value: unknown) => Result<StoredObject[], string>;

/** Parsers of published values by key prefix. */
const valueParsers: Readonly<Record<string, ValueParser>> = {
  tickets: (key, value) => {
    const ticket = parseTicket(value);
    if (ticket.isErr()) {
      const problem = ticket.error[0];
      return Err(`${problem?.path ?? ''}: ${problem?.message ?? ''}`);
    }
    // A value copied to the key of another ticket would be applied under the wrong ticket number.
    const expected = formatTicketKey(ticket.value.ticket);
    if (key !== expected) return Err(`ticket: this ticket number requires the key ${expected}`);
    return Ok(toStoredObjects(ticket.value));
  },
  base: (_key, value) => {
    const base = baseShardSchema.safeParse(value);
    if (!base.success) {
      const issue = base.error.issues[0];
      return Err(`${issue?.path.map(String).join('.') ?? ''}: ${issue?.message ?? ''}`);
    }
    return Ok(base.data.objects.map((object) => ({ ...object, state: object.state ?? null })));
  },
};

/**
 * Parses a value published on the platform, which is a ticket or a base shard.
 *
 * @param key - Platform key
 * @param text - JSON text
 * @returns Objects to merge, whose states are not validated yet, or the reason for the refusal
 */
export function parsePublishedValue(key: string, text: string): Result<StoredObject[], string> {
  const group = key.slice(0, key.indexOf('/'));
  const parse = Object.hasOwn(valueParsers, group) ? valueParsers[group] : undefined;
  if (parse === undefined) return Err('expected a key with prefix tickets/ or base/');
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return Err(String(error));
  }
  return parse(key, value);
}
