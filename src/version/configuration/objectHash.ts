import xxhash from 'xxhash-wasm';
import { defaults } from '../../defaults.js';
import type { StoredObject } from '../ticket/types.js';

const hasher = await xxhash();

/**
 * Serializes a value as JSON with sorted object keys, so that equal states yield equal text in
 * every process.
 *
 * @param value - Plain JSON value
 * @returns Canonical JSON text
 */
export function encodeCanonical(value: unknown): string {
  return JSON.stringify(value, (_key, part: unknown) => {
    if (typeof part !== 'object' || part === null || Array.isArray(part)) return part;
    const entries = Object.entries(part).sort(([left], [right]) => (left < right ? -1 : 1));
    return Object.fromEntries(entries);
  });
}

/**
 * Hashes an object's key, ticket number and state.
 *
 * @param object - Validated object
 * @returns Unsigned 64-bit hash
 */
export function hashObject(object: StoredObject): bigint {
  return hasher.h64(`${object.key}\n${object.ticket}\n${encodeCanonical(object.state)}`);
}

/**
 * Hashes text for decisions that every process must make identically, such as rendezvous hashing.
 *
 * @param text - Input of the hash
 * @returns Unsigned 64-bit hash
 */
export function hashText(text: string): bigint {
  return hasher.h64(text);
}

/**
 * Returns the number of the digest bucket and base shard of a key.
 *
 * @param key - Object key `kind/id`
 * @returns Number from 0 to 63
 */
export function hashToBucket(key: string): number {
  return hasher.h32(key) % defaults.digestBuckets;
}
