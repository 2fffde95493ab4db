import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { z } from 'zod';
import type { ObjectKind, StoredObject } from '../ticket/types.js';
import { objectKinds } from '../ticket/types.js';
import { encodeCanonical } from './objectHash.js';

/** Limits ticket numbers to 10 digits, so that a corrupt one cannot supersede all later tickets. */
export const MAX_TICKET_NUMBER = 9_999_999_999;
/** Maximum size of one value on the platform. */
export const MAX_VALUE_BYTES = 1024 * 1024;

const MAX_ID_LENGTH = 128;
const ID_PATTERN = /^[A-Za-z0-9._-]+$/;

/** Validation error of an object; `path` is the path of the invalid field. */
export interface ObjectProblem {
  readonly path: string;
  readonly message: string;
}

export interface CheckedObject {
  readonly kind: ObjectKind;
  readonly id: string;
  /** State with defaults applied; null for a tombstone. */
  readonly state: unknown;
}

/**
 * Parses and validates an object key.
 *
 * @param key - Text `kind/id`
 * @returns Kind and id, or undefined when the key is invalid
 */
export function parseKey(key: string): { kind: ObjectKind; id: string } | undefined {
  const slash = key.indexOf('/');
  const kind = key.slice(0, slash);
  const id = key.slice(slash + 1);
  if (slash < 1 || !Object.hasOwn(objectKinds, kind)) return undefined;
  if (id.length > MAX_ID_LENGTH || !ID_PATTERN.test(id)) return undefined;
  return { kind: kind as ObjectKind, id };
}

/**
 * Validates a stored object against the schema of its kind.
 *
 * @param object - Object received from a peer or the platform
 * @returns Kind, id and state with defaults applied, or the first validation error
 */
export function checkObject(object: StoredObject): Result<CheckedObject, ObjectProblem> {
  const parsedKey = parseKey(object.key);
  if (parsedKey === undefined) {
    return Err({ path: 'key', message: 'expected <kind>/<id> with a known kind' });
  }
  if (
    !Number.isSafeInteger(object.ticket) ||
    object.ticket < 1 ||
    object.ticket > MAX_TICKET_NUMBER
  ) {
    return Err({ path: 'ticket', message: `expected an integer from 1 to ${MAX_TICKET_NUMBER}` });
  }
  if (object.state === null) return Ok({ ...parsedKey, state: null });
  return checkState(parsedKey.kind, object.state).map((state) => ({ ...parsedKey, state }));
}

/**
 * Validates the state of an object against the schema of its kind and the size limit.
 *
 * @param kind - Object kind
 * @param state - Published state
 * @returns State with defaults applied, or the first validation error with a path below `state`
 */
export function checkState(kind: ObjectKind, state: unknown): Result<unknown, ObjectProblem> {
  const schema: z.ZodType = objectKinds[kind];
  const parsed = schema.safeParse(state);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const path = ['state', ...(issue?.path ?? [])].map(String).join('.');
    return Err({ path, message: issue?.message ?? 'invalid' });
  }
  if (Buffer.byteLength(encodeCanonical(state)) > MAX_VALUE_BYTES) {
    return Err({ path: 'state', message: `expected at most ${MAX_VALUE_BYTES} bytes` });
  }
  return Ok(parsed.data);
}
