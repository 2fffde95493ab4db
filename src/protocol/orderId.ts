import { randomBytes } from 'node:crypto';
import { decode, encode } from 'cbor-x';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';
import type { OrderId } from '../ids.js';

const PREFIX = 'ord_';
const RANDOM_BYTES = 16;
const MAX_ID_LENGTH = 1024;

/** Decoded fields of an order id. They identify the only process that may run the order. */
export interface OrderIdParts {
  /** Link address of the issuing agent, `ip:port`. */
  readonly address: string;
  readonly host: string;
  readonly incarnation: string;
  readonly workspace: string;
  readonly service: string;
  /** Wall clock of the issuing agent, milliseconds since the epoch. */
  readonly expiresAt: number;
}

const partsSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.instanceof(Uint8Array),
]);

/**
 * Creates an unpredictable order id.
 *
 * @param parts - Executor, owner and expiry
 * @returns URL-safe id
 */
export function createOrderId(parts: OrderIdParts): OrderId {
  const { address, host, incarnation, workspace, service, expiresAt } = parts;
  const secret = randomBytes(RANDOM_BYTES);
  const body = encode([address, host, incarnation, workspace, service, expiresAt, secret]);
  return (PREFIX + body.toString('base64url')) as OrderId;
}

/**
 * Parses an order id without checking whether it was ever issued.
 *
 * @param text - Id as sent by a caller
 * @returns The parts, or why the text is not a valid order id
 */
export function parseOrderId(text: string): Result<OrderIdParts, string> {
  if (!text.startsWith(PREFIX) || text.length > MAX_ID_LENGTH) return Err('not an order id');
  let value: unknown;
  try {
    value = decode(Buffer.from(text.slice(PREFIX.length), 'base64url'));
  } catch {
    return Err('order id is malformed');
  }
  const parsed = partsSchema.safeParse(value);
  if (!parsed.success) return Err('order id is malformed');
  const [address, host, incarnation, workspace, service, expiresAt] = parsed.data;
  return Ok({ address, host, incarnation, workspace, service, expiresAt });
}
