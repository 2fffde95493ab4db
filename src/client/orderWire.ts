import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';
import { parseJson } from './entryExchange.js';
import type { CallerError, OrderOutcome } from './types.js';

/** Schemas of the entry's responses about orders. */

const slotsSchema = z.object({ ids: z.array(z.string()).min(1), expires_in_ms: z.number() });

const outcomeSchema = z.object({
  id: z.string(),
  state: z.enum(['open', 'running', 'done', 'not-run', 'unknown']),
  reason: z.string().default(''),
  status: z.number().default(0),
  body: z.unknown().optional(),
  final: z.boolean().default(false),
});

/** Slots issued by one response. */
export interface IssuedSlots {
  readonly orders: readonly string[];
  readonly expiresInMs: number;
}

/**
 * Parses the response to a slot request.
 *
 * @param text - JSON body
 * @returns Slot ids and the time until they expire
 */
export function parseSlots(text: string): Result<IssuedSlots, CallerError> {
  const parsed = slotsSchema.safeParse(parseJson(text));
  if (!parsed.success) return Err(createSchemaError('slots', text));
  return Ok({ orders: parsed.data.ids, expiresInMs: parsed.data.expires_in_ms });
}

/**
 * Parses the response to a PUT, GET or DELETE of an order.
 *
 * @param text - JSON body
 * @param order - Id of the order that was asked for
 * @returns Outcome of the order; an error if the response is about another one
 */
export function parseOutcome(text: string, order: string): Result<OrderOutcome, CallerError> {
  const parsed = outcomeSchema.safeParse(parseJson(text));
  if (parsed.data?.id !== order) return Err(createSchemaError(`the outcome of ${order}`, text));
  const { id, state, reason, status, body, final } = parsed.data;
  return Ok({ order: id, state, reason, status, answer: formatAnswer(body), final });
}

function formatAnswer(answer: unknown): string {
  if (answer === undefined || answer === null) return '';
  return typeof answer === 'string' ? answer : JSON.stringify(answer);
}

function createSchemaError(expected: string, text: string): CallerError {
  return {
    code: 'bad_answer',
    message: `expected ${expected}, received ${text.slice(0, 200)}`,
    status: 0,
  };
}
