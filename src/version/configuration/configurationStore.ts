import { isDeepStrictEqual } from 'node:util';
import { defaults } from '../../defaults.js';
import type { ServiceId, UpstreamId, WorkspaceId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { Service, StoredObject, Upstream, Workspace } from '../ticket/types.js';
import type { CheckedObject } from './checkObject.js';
import { checkObject } from './checkObject.js';
import { encodeCanonical, hashObject, hashToBucket } from './objectHash.js';
import { StateIndexes } from './stateIndexes.js';
import type { ConfigurationView } from './types.js';

/** Bounds the memory used for reports when many invalid objects arrive. */
const MAX_REPORTED_PROBLEMS = 256;
const HASH_MASK = 0xffff_ffff_ffff_ffffn;
const HASH_HEX_DIGITS = 16;

export interface RefusedObject {
  readonly key: string;
  readonly ticket: number;
  /** Path of the invalid field. */
  readonly path: string;
  readonly message: string;
}

/** Two different states of one object published under the same ticket number. */
export interface TicketConflict {
  readonly key: string;
  readonly ticket: number;
}

export interface MergeReport {
  /** Keys of the changed objects. */
  readonly accepted: string[];
  /** Number of objects that were already stored or older than the stored version. */
  ignored: number;
  readonly refused: RefusedObject[];
  readonly conflicts: TicketConflict[];
}

interface HashedObject {
  readonly object: StoredObject;
  readonly hash: bigint;
}

/**
 * In-memory store of the configuration objects. A merge keeps the highest ticket number per object.
 * Merging is idempotent and commutative, so objects can arrive from any source in any order.
 */
export class ConfigurationStore implements ConfigurationView {
  private readonly held = new Map<string, HashedObject>();
  private readonly buckets = Array.from({ length: defaults.digestBuckets }, () => ({
    sum: 0n,
    keys: new Set<string>(),
  }));
  private newestTicket = 0;
  private readonly indexes = new StateIndexes();
  private readonly listeners = new Set<(keys: readonly string[]) => void>();
  private readonly refused = new Map<string, RefusedObject>();
  private readonly conflicts = new Map<string, TicketConflict>();

  /**
   * Merges objects. An invalid object is refused and the last valid state remains active.
   *
   * @param objects - Objects from a peer, the platform or a ticket
   * @returns Changed keys, ignored and refused objects, and conflicts under one ticket number
   */
  mergeObjects(objects: readonly StoredObject[]): MergeReport {
    const report: MergeReport = { accepted: [], ignored: 0, refused: [], conflicts: [] };
    const changed = new Set<string>();
    for (const object of objects) {
      if (this.mergeObject(object, report)) changed.add(object.key);
    }
    report.accepted.push(...changed);
    if (changed.size > 0) {
      for (const listener of [...this.listeners]) listener(report.accepted);
    }
    return report;
  }

  /**
   * Returns an object with its ticket number.
   *
   * @param key - `kind/id`
   * @returns The object, which may be a tombstone
   */
  getObject(key: string): StoredObject | undefined {
    return this.held.get(key)?.object;
  }

  /**
   * Lists all objects, including tombstones.
   *
   * @returns Objects sorted by key
   */
  listObjects(): StoredObject[] {
    const keys = [...this.held.keys()].sort();
    return this.collectObjects(keys);
  }

  /**
   * Returns the number of objects, including tombstones.
   *
   * @returns Number of objects
   */
  countObjects(): number {
    return this.held.size;
  }

  /**
   * Returns the highest ticket number of all objects.
   *
   * @returns Ticket number, 0 for an empty store
   */
  getNewestTicket(): number {
    return this.newestTicket;
  }

  /**
   * Computes a digest of the store; stores with equal digests hold equal objects.
   *
   * @returns One hexadecimal hash per bucket
   */
  digest(): string[] {
    return this.buckets.map(({ sum }) => sum.toString(16).padStart(HASH_HEX_DIGITS, '0'));
  }

  /**
   * Lists the objects of one digest bucket.
   *
   * @param bucket - Number from 0 to 63
   * @returns Objects in unspecified order
   */
  listBucket(bucket: number): StoredObject[] {
    return this.collectObjects(this.buckets[bucket]?.keys ?? []);
  }

  getWorkspace(id: WorkspaceId): Workspace | undefined {
    return this.indexes.workspaces.get(id);
  }

  getService(id: ServiceId): Service | undefined {
    return this.indexes.services.get(id);
  }

  getUpstream(id: UpstreamId): Upstream | undefined {
    return this.indexes.upstreams.get(id);
  }

  listUpstreams(service: ServiceId): readonly { id: UpstreamId; state: Upstream }[] {
    return this.indexes.listUpstreams(service);
  }

  listServices(): readonly ServiceId[] {
    return [...this.indexes.services.keys()].sort().map((id) => toId<ServiceId>(id));
  }

  findWorkspaceByTokenHash(hash: string): WorkspaceId | undefined {
    return this.indexes.findTokenOwner(hash);
  }

  onChange(listener: (keys: readonly string[]) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Returns the state of the store for the operator dump, without token hashes.
   *
   * @returns Object counts, highest ticket number, refused objects and conflicts
   */
  describe(): unknown {
    let tombstones = 0;
    for (const { object } of this.held.values()) {
      if (object.state === null) tombstones += 1;
    }
    return {
      objects: this.held.size,
      tombstones,
      newestTicket: this.newestTicket,
      refused: [...this.refused.values()],
      conflicts: [...this.conflicts.values()],
    };
  }

  private mergeObject(object: StoredObject, report: MergeReport): boolean {
    const held = this.held.get(object.key);
    if (held !== undefined && object.ticket < held.object.ticket) {
      report.ignored += 1;
      return false;
    }
    // Every object arrives over several links. Comparing states is cheaper than validating and
    // hashing the same object again.
    const isSameTicket = held?.object.ticket === object.ticket;
    if (isSameTicket && isDeepStrictEqual(held.object.state, object.state)) {
      report.ignored += 1;
      return false;
    }
    const checked = checkObject(object);
    if (checked.isErr()) {
      const refusal = { key: object.key, ticket: object.ticket, ...checked.error };
      report.refused.push(refusal);
      putBounded(this.refused, object.key, refusal);
      return false;
    }
    const hash = hashObject(object);
    if (held?.object.ticket === object.ticket) {
      if (held.hash === hash) {
        report.ignored += 1;
        return false;
      }
      const conflict = { key: object.key, ticket: object.ticket };
      report.conflicts.push(conflict);
      putBounded(this.conflicts, object.key, conflict);
      if (!isPreferred(object, hash, held)) {
        report.ignored += 1;
        return false;
      }
    }
    this.putObject(object, hash, checked.value);
    return true;
  }

  private putObject(object: StoredObject, hash: bigint, checked: CheckedObject): void {
    const { key, ticket, state } = object;
    const bucket = this.buckets[hashToBucket(key)];
    if (bucket !== undefined) {
      bucket.sum = (bucket.sum - (this.held.get(key)?.hash ?? 0n) + hash) & HASH_MASK;
      bucket.keys.add(key);
    }
    this.newestTicket = Math.max(this.newestTicket, ticket);
    this.held.set(key, { object: { key, ticket, state }, hash });
    this.indexes.update(checked);
    const refusal = this.refused.get(key);
    if (refusal !== undefined && refusal.ticket <= ticket) this.refused.delete(key);
    const conflict = this.conflicts.get(key);
    if (conflict !== undefined && conflict.ticket < ticket) this.conflicts.delete(key);
  }

  private collectObjects(keys: Iterable<string>): StoredObject[] {
    const objects: StoredObject[] = [];
    for (const key of keys) {
      const held = this.held.get(key);
      if (held !== undefined) objects.push(held.object);
    }
    return objects;
  }
}

/** Resolves a conflict between two states of one ticket number identically in every process. */
function isPreferred(object: StoredObject, hash: bigint, held: HashedObject): boolean {
  if (hash !== held.hash) return hash > held.hash;
  return encodeCanonical(object.state) > encodeCanonical(held.object.state);
}

function putBounded<Value>(map: Map<string, Value>, key: string, value: Value): void {
  if (map.size >= MAX_REPORTED_PROBLEMS && !map.has(key)) {
    const oldest = map.keys().next();
    if (oldest.done !== true) map.delete(oldest.value);
  }
  map.set(key, value);
}
