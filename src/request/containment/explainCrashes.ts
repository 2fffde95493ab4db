import type { CrashKey, CrashRecord, Suspicion } from './types.js';

/** Evidence that a key needs before it is held to be a cause; a lower rank is considered first. */
export interface Requirement {
  readonly rank: number;
  readonly crashes: number;
}

interface Candidate extends Suspicion {
  readonly key: CrashKey;
  readonly requirement: Requirement;
  readonly sends: number;
}

/** Properties of keys on which the explanation rests. */
export interface KeyEvidence<Record extends CrashRecord> {
  /**
   * Determines what a key requires.
   *
   * @param key - Key
   * @param first - Oldest crash with it
   */
  getRequirement(key: CrashKey, first: Record): Requirement;
  /** Requests with the key that were sent; of keys in the same crashes, the rarest is the cause. */
  countSends(key: CrashKey): number;
}

/**
 * Finds the fewest keys that explain crashes. A crash counts for one key only: requests that were in flight beside the
 * cause, and parts that its prompt shares with sound ones, are not blamed for it.
 *
 * @param records - Crashes with the keys in flight, oldest first
 * @param evidence - What each key requires
 * @returns Keys held to be causes
 */
export function explainCrashes<Record extends CrashRecord>(
  records: readonly Record[],
  evidence: KeyEvidence<Record>,
): Map<CrashKey, Suspicion> {
  const recordsByKey = new Map<CrashKey, Record[]>();
  for (const record of records) {
    for (const key of listKeys(record)) {
      const known = recordsByKey.get(key);
      if (known === undefined) recordsByKey.set(key, [record]);
      else known.push(record);
    }
  }
  const candidates: Candidate[] = [];
  for (const [key, [first, ...others]] of recordsByKey) {
    if (first === undefined) continue;
    const requirement = evidence.getRequirement(key, first);
    const crashes = others.length + 1;
    if (crashes < requirement.crashes) continue;
    const lastAt = Math.max(first.at, ...others.map(({ at }) => at));
    candidates.push({ key, requirement, crashes, lastAt, sends: evidence.countSends(key) });
  }
  candidates.sort(compareCandidates);
  const unexplained = new Set(records);
  const causes = new Map<CrashKey, Suspicion>();
  for (const { key, requirement, crashes, lastAt } of candidates) {
    const explained = (recordsByKey.get(key) ?? []).filter((record) => unexplained.has(record));
    if (explained.length < requirement.crashes) continue;
    causes.set(key, { crashes, lastAt });
    for (const record of explained) unexplained.delete(record);
  }
  return causes;
}

function listKeys({ parts, requests }: CrashRecord): CrashKey[] {
  return [...parts, ...requests];
}

function compareCandidates(one: Candidate, other: Candidate): number {
  return (
    one.requirement.rank - other.requirement.rank ||
    other.crashes - one.crashes ||
    one.sends - other.sends ||
    (one.key < other.key ? -1 : 1)
  );
}
