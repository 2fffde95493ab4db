import type { Fingerprint, PromptPartId } from '../../ids.js';
import { hashPair } from '../routing/rendezvousOrder.js';
import type { StoredRecord } from './crashRecords.js';
import { CrashRecords } from './crashRecords.js';
import type { KeyEvidence, Requirement } from './explainCrashes.js';
import { explainCrashes } from './explainCrashes.js';
import { PartHistory } from './partHistory.js';
import type { CrashKey, CrashRecord, RequestKeys, Suspicion } from './types.js';

/** Crashes after which a request is refused as a whole. */
const REQUEST_CRASHES = 2;
/** Crashes after which a part is refused that no upstream has written a response to. */
const UNKNOWN_PART_CRASHES = 3;
/** Crashes since the last response after which a part is refused that was sound before, or that most prompts have. */
const KNOWN_PART_CRASHES = 5;
/** Responses to other prompts that show that the failures of such a part are its own. */
const MIN_OTHER_SUCCESSES = 20;
/** Crashes of a part from which on requests with it run one at a time and are not sent to a second upstream. */
const CAREFUL_CRASHES = 2;
/** Gateways send requests with such a part one after the other; by then the first shows whether it crashes. */
const CAREFUL_STEP_MS = 6_000;
const MAX_CAREFUL_MS = 30_000;
/** Time until one request may try a refused key again, by the crashes so far. */
const BLOCK_MS_BY_CRASHES: readonly number[] = [0, 0, 20_000, 60_000, 300_000];
const MIN_LONG_BLOCK_MS = 600_000;
const MAX_LONG_BLOCK_MS = 3_600_000;
/** Time in which the trial of a key shows its outcome; the next gateway waits for it. */
const TRIAL_MS = 10_000;

/** Order in which keys are considered: a part that nobody has answered explains more than one request. */
const requirements = {
  unknownPart: { rank: 0, crashes: UNKNOWN_PART_CRASHES },
  request: { rank: 1, crashes: REQUEST_CRASHES },
  knownPart: { rank: 2, crashes: KNOWN_PART_CRASHES },
  none: { rank: 3, crashes: Infinity },
} as const satisfies Record<string, Requirement>;

export interface CrashGuardOptions {
  /** Process id of this gateway. */
  readonly self: string;
  /** Lists the process ids of the linked gateways. */
  readonly listLinked: () => readonly string[];
}

/**
 * Keeps requests from upstreams that they would crash, whichever gateway they arrive at.
 *
 * Gateways exchange crashes and the keys that were in flight in them, and each draws its own conclusion. A refused key is
 * tried again by one request at a time after a while; a response clears it.
 */
export class CrashGuard {
  private readonly records = new CrashRecords();
  private readonly history = new PartHistory();
  private readonly trials = new Map<CrashKey, number>();
  private readonly inFlight = new Map<PromptPartId, number>();
  private causes = new Map<CrashKey, Suspicion>();
  private successes = 0;

  constructor(private readonly options: CrashGuardOptions) {}

  /**
   * Records that a request is sent to an upstream.
   *
   * @param keys - Keys of the request
   * @param now - Current time in milliseconds
   * @returns Records the end of the attempt; further calls have no effect
   */
  recordSend(keys: RequestKeys, now: number): () => void {
    this.history.recordSend(keys.parts);
    for (const part of keys.parts) this.inFlight.set(part, (this.inFlight.get(part) ?? 0) + 1);
    for (const key of [keys.request, ...keys.parts]) {
      if (this.causes.has(key)) this.trials.set(key, now);
    }
    let hasEnded = false;
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      for (const part of keys.parts) {
        const left = (this.inFlight.get(part) ?? 0) - 1;
        if (left > 0) this.inFlight.set(part, left);
        else this.inFlight.delete(part);
      }
    };
  }

  /**
   * Records that an upstream has written a response, or so much of it that the request does not crash it.
   *
   * @param keys - Keys of the request
   * @param now - Current time in milliseconds
   * @returns Whether this clears keys that were in flight in crashes; the other gateways must learn of it
   */
  recordSuccess({ request, parts }: RequestKeys, now: number): boolean {
    if (parts.length > 0) this.successes += 1;
    this.history.recordSuccess(parts, now);
    return this.clear([request], parts, now);
  }

  /**
   * Clears keys.
   *
   * @param requests - Fingerprints
   * @param parts - Parts of prompts
   * @param now - Time of the response in milliseconds
   * @returns Whether they were in flight in crashes
   */
  clear(requests: readonly Fingerprint[], parts: readonly PromptPartId[], now: number): boolean {
    const hasCleared = this.records.removeKeys(requests, parts, now);
    if (hasCleared) this.update(now);
    return hasCleared;
  }

  /**
   * Records a crash of an upstream.
   *
   * @param record - Crash as this or another gateway saw it
   * @param now - Current time in milliseconds
   * @returns Keys that are refused from now on
   */
  recordCrash(record: CrashRecord, now: number): CrashKey[] {
    const parts = new Set<PromptPartId>();
    for (const part of record.parts) {
      // The report of another gateway may be older than a response that has cleared the part.
      if (this.history.getLastSuccess(part) <= record.at) parts.add(part);
    }
    if (!this.records.add({ ...record, parts }, this.successes)) return [];
    const before = this.causes;
    this.update(now);
    return [...this.causes.keys()].filter((key) => !before.has(key));
  }

  /**
   * Finds the key for which a request is refused.
   *
   * @param keys - Keys of the request
   * @param now - Current time in milliseconds
   * @returns The key, or undefined if the request may be sent
   */
  findBlockedKey({ request, parts }: RequestKeys, now: number): CrashKey | undefined {
    if (this.causes.size === 0) return undefined;
    for (const key of [request, ...parts]) {
      const suspicion = this.causes.get(key);
      if (suspicion !== undefined && this.isBlocked(key, suspicion, now)) return key;
    }
    return undefined;
  }

  /**
   * Checks whether a request whose upstream has crashed may be sent to another one.
   *
   * @param keys - Keys of the request
   * @param now - Current time in milliseconds
   * @returns False if a part that nobody has answered was in flight in more than one crash
   */
  isRepeatSafe({ parts }: RequestKeys, now: number): boolean {
    return this.findCarefulPart(parts, now) === undefined;
  }

  /**
   * Checks whether a request has to wait until another one with the same part has shown its outcome.
   *
   * @param keys - Keys of the request
   * @param now - Current time in milliseconds
   * @returns True if the part was in flight in more than one crash, and is in flight now or may be at another gateway
   */
  hasToRunAlone({ parts }: RequestKeys, now: number): boolean {
    const part = this.findCarefulPart(parts, now);
    if (part === undefined) return false;
    if ((this.inFlight.get(part) ?? 0) > 0) return true;
    const sinceMs = now - this.records.findLast(part);
    return sinceMs < Math.min(this.computeTurn(part) * CAREFUL_STEP_MS, MAX_CAREFUL_MS);
  }

  /**
   * Lists the crashes, for a gateway that has started or was cut off.
   *
   * @returns Records, oldest first
   */
  listRecords(): readonly CrashRecord[] {
    return this.records.list();
  }

  /**
   * Describes the refused keys for operators.
   *
   * @param now - Current time in milliseconds
   * @returns Crashes of each key and the time until it is tried again
   */
  describe(now: number): { key: CrashKey; crashes: number; retryInMs: number }[] {
    return [...this.causes].map(([key, suspicion]) => ({
      key,
      crashes: suspicion.crashes,
      retryInMs: Math.max(0, Math.round(this.computeRetryAt(key, suspicion) - now)),
    }));
  }

  private findCarefulPart(parts: readonly PromptPartId[], now: number): PromptPartId | undefined {
    for (const part of parts) {
      if (this.records.count(part) < CAREFUL_CRASHES) continue;
      if (!this.history.isTrusted(part, now) && !this.history.isCommon(part)) return part;
    }
    return undefined;
  }

  private isBlocked(key: CrashKey, suspicion: Suspicion, now: number): boolean {
    if (now < this.computeRetryAt(key, suspicion)) return true;
    return now - (this.trials.get(key) ?? -Infinity) < TRIAL_MS;
  }

  private computeRetryAt(key: CrashKey, { crashes, lastAt }: Suspicion): number {
    const longBlockMs = MIN_LONG_BLOCK_MS * 2 ** (crashes - BLOCK_MS_BY_CRASHES.length);
    const blockMs = BLOCK_MS_BY_CRASHES[crashes] ?? Math.min(longBlockMs, MAX_LONG_BLOCK_MS);
    return lastAt + blockMs + this.computeTurn(key) * TRIAL_MS;
  }

  /** Gateways try a key one after the other, in an order that depends on the key. */
  private computeTurn(key: CrashKey): number {
    const { self, listLinked } = this.options;
    const own = hashPair(key, self);
    let turn = 0;
    for (const other of listLinked()) if (hashPair(key, other) > own) turn += 1;
    return turn;
  }

  private update(now: number): void {
    const evidence: KeyEvidence<StoredRecord> = {
      getRequirement: (key, first) => this.getRequirement(key, first, now),
      countSends: (key) => this.history.countSends(key as PromptPartId),
    };
    this.causes = explainCrashes(this.records.list(), evidence);
    for (const key of this.trials.keys()) if (!this.causes.has(key)) this.trials.delete(key);
  }

  private getRequirement(key: CrashKey, first: StoredRecord, now: number): Requirement {
    if (first.requests.has(key as Fingerprint)) return requirements.request;
    const part = key as PromptPartId;
    if (!this.history.isTrusted(part, now) && !this.history.isCommon(part)) {
      return requirements.unknownPart;
    }
    const others = this.successes - first.successesBefore;
    return others >= MIN_OTHER_SUCCESSES ? requirements.knownPart : requirements.none;
  }
}
