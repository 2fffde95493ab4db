import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { checkState } from '../configuration/checkObject.js';
import type { ConfigurationStore } from '../configuration/configurationStore.js';
import type { TicketProblem } from './ticketSchema.js';
import { parseTicket } from './ticketSchema.js';
import type { Ticket, TicketObject, Upstream, Workspace } from './types.js';

/** Below the platform's limit of 1 MB, whether 1 MB means 1,000,000 or 1,048,576 bytes. */
export const MAX_PUBLISHED_BYTES = 1_000_000;

/**
 * Parses and validates a ticket: size, schema, ticket number, duplicate objects and object states.
 * References between objects are validated only if a store is given.
 *
 * @param text - JSON text
 * @param store - Published configuration against which references are validated
 * @returns The ticket, or all validation errors with the paths of their fields
 */
export function checkTicket(
  text: string,
  store?: ConfigurationStore,
): Result<Ticket, TicketProblem[]> {
  const bytes = Buffer.byteLength(text);
  if (bytes >= MAX_PUBLISHED_BYTES) {
    const message = `expected fewer than ${MAX_PUBLISHED_BYTES} bytes, found ${bytes}`;
    return Err([{ path: '', message }]);
  }
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return Err([{ path: '', message: `expected JSON: ${String(error)}` }]);
  }
  const ticket = parseTicket(value);
  if (ticket.isErr()) return ticket;
  const problems = collectStateProblems(ticket.value);
  if (problems.length === 0 && store !== undefined) {
    problems.push(...collectReferenceProblems(ticket.value, store));
  }
  return problems.length === 0 ? Ok(ticket.value) : Err(problems);
}

/**
 * Finds the objects of a ticket that have already been set by the same or a higher ticket number.
 *
 * @param ticket - Validated ticket
 * @param store - Published configuration
 * @returns One problem per outdated object
 */
export function findOutdatedObjects(ticket: Ticket, store: ConfigurationStore): TicketProblem[] {
  const problems: TicketProblem[] = [];
  for (const [index, object] of ticket.objects.entries()) {
    const publishedTicket = store.getObject(`${object.kind}/${object.id}`)?.ticket ?? 0;
    if (publishedTicket < ticket.ticket) continue;
    const message = `already set by ticket ${publishedTicket}; this ticket would have no effect`;
    problems.push({ path: `objects.${index}`, message });
  }
  return problems;
}

function collectStateProblems(ticket: Ticket): TicketProblem[] {
  const problems: TicketProblem[] = [];
  const firstIndexes = new Map<string, number>();
  for (const [index, object] of ticket.objects.entries()) {
    const key = `${object.kind}/${object.id}`;
    const first = firstIndexes.get(key);
    if (first !== undefined) {
      problems.push({
        path: `objects.${index}`,
        message: `duplicate of ${key} in objects.${first}`,
      });
    }
    firstIndexes.set(key, index);
    if ('deleted' in object) continue;
    const state = checkState(object.kind, object.state);
    if (state.isErr()) {
      const { path, message } = state.error;
      problems.push({ path: `objects.${index}.${path}`, message });
    }
  }
  return problems;
}

type ReferenceCheck = (state: unknown, hasService: (id: string) => boolean) => TicketProblem[];

/** Checks by object kind for references to services that would not exist after the ticket. */
const referenceChecks: Partial<Record<TicketObject['kind'], ReferenceCheck>> = {
  upstream: (state, hasService) => {
    const { service } = state as Upstream;
    if (hasService(service)) return [];
    return [{ path: 'state.service', message: `unknown service "${service}"` }];
  },
  workspace: (state, hasService) =>
    Object.keys((state as Workspace).shares)
      .filter((service) => !hasService(service))
      .map((service) => ({
        path: `state.shares.${service}`,
        message: `unknown service "${service}"`,
      })),
};

function collectReferenceProblems(ticket: Ticket, store: ConfigurationStore): TicketProblem[] {
  const services = new Set<string>(store.listServices());
  for (const object of ticket.objects) {
    if (object.kind !== 'service') continue;
    if ('deleted' in object) services.delete(object.id);
    else services.add(object.id);
  }
  const problems: TicketProblem[] = [];
  for (const [index, object] of ticket.objects.entries()) {
    if ('deleted' in object) continue;
    const check = referenceChecks[object.kind];
    for (const { path, message } of check?.(object.state, (id) => services.has(id)) ?? []) {
      problems.push({ path: `objects.${index}.${path}`, message });
    }
  }
  return problems;
}
