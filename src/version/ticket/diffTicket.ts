import type { ConfigurationStore } from '../configuration/configurationStore.js';
import { encodeCanonical } from '../configuration/objectHash.js';
import { toStoredObjects } from './ticketSchema.js';
import type { Ticket } from './types.js';

export interface FieldChange {
  /** Path relative to the state, e.g. `shares.relief`. */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

export interface ObjectChange {
  readonly key: string;
  /** `outdated`: the published object has the same or a higher ticket number. */
  readonly effect: 'added' | 'changed' | 'deleted' | 'unchanged' | 'outdated';
  readonly publishedTicket: number;
  readonly fields: readonly FieldChange[];
}

/**
 * Compares a ticket with the published configuration.
 *
 * @param store - Published configuration
 * @param ticket - Validated ticket
 * @returns The effect of the ticket on each of its objects
 */
export function diffTicket(store: ConfigurationStore, ticket: Ticket): ObjectChange[] {
  return toStoredObjects(ticket).map(({ key, state }) => {
    const published = store.getObject(key);
    const publishedTicket = published?.ticket ?? 0;
    const before = published?.state ?? null;
    if (publishedTicket >= ticket.ticket) {
      return { key, effect: 'outdated', publishedTicket, fields: [] };
    }
    const fields = compareFields(before ?? {}, state ?? {}, '');
    return { key, effect: compareStates(before, state), publishedTicket, fields };
  });
}

function compareStates(before: unknown, after: unknown): ObjectChange['effect'] {
  if (encodeCanonical(before) === encodeCanonical(after)) return 'unchanged';
  if (before === null) return 'added';
  return after === null ? 'deleted' : 'changed';
}

function compareFields(before: object, after: object, prefix: string): FieldChange[] {
  const changes: FieldChange[] = [];
  const left = new Map<string, unknown>(Object.entries(before));
  const right = new Map<string, unknown>(Object.entries(after));
  for (const name of [...new Set([...left.keys(), ...right.keys()])].sort()) {
    const old = left.get(name);
    const next = right.get(name);
    const path = `${prefix}${name}`;
    if (isPlainObject(old) && isPlainObject(next)) {
      changes.push(...compareFields(old, next, `${path}.`));
    } else if (encodeCanonical(old ?? null) !== encodeCanonical(next ?? null)) {
      changes.push({
        path,
        ...(old === undefined ? {} : { before: old }),
        ...(next === undefined ? {} : { after: next }),
      });
    }
  }
  return changes;
}

function isPlainObject(value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
