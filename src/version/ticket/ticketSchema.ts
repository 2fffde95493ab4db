import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';
import { MAX_TICKET_NUMBER } from '../configuration/checkObject.js';
import type { StoredObject, Ticket } from './types.js';
import { objectKinds } from './types.js';

const TICKET_DIGITS = 10;

const ticketObjectSchema = z
  .strictObject({
    kind: z.enum(Object.keys(objectKinds) as [keyof typeof objectKinds]),
    id: z
      .string()
      .max(128)
      .regex(/^[A-Za-z0-9._-]+$/, 'expected letters, digits, ".", "_" or "-"'),
    state: z.unknown().optional(),
    deleted: z.literal(true).optional(),
  })
  .refine((object) => (object.deleted === true) !== (object.state != null), {
    error: 'expected either "state" or "deleted": true',
  });

const ticketSchema = z.strictObject({
  ticket: z.number().int().min(1).max(MAX_TICKET_NUMBER),
  objects: z.array(ticketObjectSchema),
});

/** Validation error of a ticket; `path` is the path of the field, e.g. `objects.2.state.slots`. */
export interface TicketProblem {
  readonly path: string;
  readonly message: string;
}

/**
 * Parses a ticket without validating the object states, which `checkTicket` or the store do.
 *
 * @param value - Parsed JSON
 * @returns The ticket, or all validation errors
 */
export function parseTicket(value: unknown): Result<Ticket, TicketProblem[]> {
  const parsed = ticketSchema.safeParse(value);
  if (parsed.success) return Ok(parsed.data as Ticket);
  return Err(
    parsed.error.issues.map((issue) => ({
      path: issue.path.map(String).join('.'),
      message: issue.message,
    })),
  );
}

/**
 * Converts a ticket to stored objects, the form in which processes merge and exchange them.
 *
 * @param ticket - Parsed ticket
 * @returns One stored object per object of the ticket
 */
export function toStoredObjects(ticket: Ticket): StoredObject[] {
  return ticket.objects.map((object) => ({
    key: `${object.kind}/${object.id}`,
    ticket: ticket.ticket,
    state: 'deleted' in object ? null : object.state,
  }));
}

/**
 * Formats the platform key of a ticket.
 *
 * @param ticket - Ticket number
 * @returns `tickets/` followed by the number, zero-padded to 10 digits
 */
export function formatTicketKey(ticket: number): string {
  return `tickets/${String(ticket).padStart(TICKET_DIGITS, '0')}`;
}
