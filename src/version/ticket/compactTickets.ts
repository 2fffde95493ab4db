import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { defaults } from '../../defaults.js';
import type { ConfigurationStore } from '../configuration/configurationStore.js';
import { encodeCanonical, hashToBucket } from '../configuration/objectHash.js';
import { MAX_PUBLISHED_BYTES } from './checkTicket.js';
import type { StoredObject } from './types.js';

/** Value to publish on the platform. */
export interface PublishedValue {
  /** Platform key, `base/00` to `base/63`. */
  readonly key: string;
  /** JSON text below 1 MB. */
  readonly text: string;
}

const SHARD_DIGITS = 2;

/**
 * Compacts the merged configuration into base shards. Objects keep their ticket numbers and
 * tombstones are retained, so a ticket published during compaction still supersedes its shard.
 *
 * @param store - Store with merged base shards and tickets
 * @returns One value per non-empty shard, or an error naming the shard that exceeds the size limit
 */
export function compactTickets(store: ConfigurationStore): Result<PublishedValue[], string> {
  const shards = Array.from({ length: defaults.digestBuckets }, (): StoredObject[] => []);
  for (const object of store.listObjects()) shards[hashToBucket(object.key)]?.push(object);
  const values: PublishedValue[] = [];
  for (const [index, objects] of shards.entries()) {
    if (objects.length === 0) continue;
    const key = `base/${String(index).padStart(SHARD_DIGITS, '0')}`;
    const text = encodeCanonical({ objects });
    const bytes = Buffer.byteLength(text);
    if (bytes >= MAX_PUBLISHED_BYTES) {
      return Err(`${key} too large: ${bytes} bytes, expected fewer than ${MAX_PUBLISHED_BYTES}`);
    }
    values.push({ key, text });
  }
  return Ok(values);
}
