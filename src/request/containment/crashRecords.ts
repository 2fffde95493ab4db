import type { Fingerprint, PromptPartId, UpstreamId } from '../../ids.js';
import type { CrashKey, CrashRecord } from './types.js';

const MAX_RECORDS = 256;
/** More than the requests of one upstream have in all; bounds what a faulty gateway can report. */
const MAX_KEYS_PER_RECORD = 512;
const RECORD_TTL_MS = 3_600_000;
/** Reports of one crash by several gateways arrive within this time; a restart takes longer. */
const SAME_CRASH_MS = 1_500;

/** A crash with the keys that have not been cleared since. */
export interface StoredRecord extends CrashRecord {
  readonly requests: Set<Fingerprint>;
  readonly parts: Set<PromptPartId>;
  /** Responses of this gateway before the crash. */
  readonly successesBefore: number;
}

/** Crashes of upstreams, as all gateways have reported them, oldest first. */
export class CrashRecords {
  private records: StoredRecord[] = [];
  private readonly counts = new Map<CrashKey, number>();

  /**
   * Adds a crash, or further keys to a known one.
   *
   * @param record - Crash as one gateway saw it
   * @param successes - Responses that this gateway has received so far
   * @returns Whether anything in it is new
   */
  add(record: CrashRecord, successes: number): boolean {
    this.removeExpired(record.at);
    let stored = this.find(record.upstream, record.at);
    if (stored === undefined) {
      stored = { ...record, requests: new Set(), parts: new Set(), successesBefore: successes };
      this.records.push(stored);
    }
    const hasRequests = this.addKeys(stored.requests, record.requests);
    const hasParts = this.addKeys(stored.parts, record.parts);
    return hasRequests || hasParts;
  }

  /**
   * Removes keys that are cleared.
   *
   * @param requests - Fingerprints
   * @param parts - Parts of prompts
   * @param before - Only from crashes not later than this time, in milliseconds
   * @returns Whether a record had one of them
   */
  removeKeys(
    requests: Iterable<Fingerprint>,
    parts: Iterable<PromptPartId>,
    before: number,
  ): boolean {
    let hasRemoved = false;
    for (const request of requests) {
      if (this.removeKey(request, before, (record) => record.requests)) hasRemoved = true;
    }
    for (const part of parts) {
      if (this.removeKey(part, before, (record) => record.parts)) hasRemoved = true;
    }
    if (hasRemoved) {
      this.records = this.records.filter(
        ({ requests: left, parts: rest }) => left.size + rest.size > 0,
      );
    }
    return hasRemoved;
  }

  /**
   * Counts the crashes with a key.
   *
   * @param key - Part of a prompt or fingerprint
   * @returns Crashes in which it was in flight and has not been cleared since
   */
  count(key: CrashKey): number {
    return this.counts.get(key) ?? 0;
  }

  /**
   * Finds the last crash with a part.
   *
   * @param part - Part of a prompt
   * @returns Its time in milliseconds; -Infinity if there is none
   */
  findLast(part: PromptPartId): number {
    let last = -Infinity;
    for (const { at, parts } of this.records) if (parts.has(part)) last = Math.max(last, at);
    return last;
  }

  /**
   * Lists the crashes.
   *
   * @returns Records, oldest first
   */
  list(): readonly StoredRecord[] {
    return this.records;
  }

  private find(upstream: UpstreamId, at: number): StoredRecord | undefined {
    for (const record of this.records) {
      if (record.upstream === upstream && Math.abs(record.at - at) < SAME_CRASH_MS) return record;
    }
    return undefined;
  }

  private addKeys<Key extends CrashKey>(stored: Set<Key>, keys: Iterable<Key>): boolean {
    let hasAdded = false;
    for (const key of keys) {
      if (stored.has(key) || stored.size >= MAX_KEYS_PER_RECORD) continue;
      stored.add(key);
      this.counts.set(key, this.count(key) + 1);
      hasAdded = true;
    }
    return hasAdded;
  }

  private removeKey<Key extends CrashKey>(
    key: Key,
    before: number,
    getKeys: (record: StoredRecord) => Set<Key>,
  ): boolean {
    if (this.count(key) === 0) return false;
    let hasRemoved = false;
    for (const record of this.records) {
      if (record.at > before || !getKeys(record).delete(key)) continue;
      this.reduceCount(key);
      hasRemoved = true;
    }
    return hasRemoved;
  }

  private removeExpired(now: number): void {
    const kept = this.records.filter(({ at }) => now - at < RECORD_TTL_MS).slice(1 - MAX_RECORDS);
    if (kept.length === this.records.length) return;
    for (const record of this.records) {
      if (kept.includes(record)) continue;
      for (const key of [...record.requests, ...record.parts]) this.reduceCount(key);
    }
    this.records = kept;
  }

  private reduceCount(key: CrashKey): void {
    const left = this.count(key) - 1;
    if (left > 0) this.counts.set(key, left);
    else this.counts.delete(key);
  }
}
