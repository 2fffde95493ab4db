import { defaults } from '../../defaults.js';

interface Suspect {
  crashes: number;
  /** Crashed the upstream while nothing else ran. */
  confirmed: boolean;
  lastCrashAt: number;
}

/** `alone`: run only while nothing else runs; `refuse`: never run again. */
export type SuspectDecision = 'run' | 'alone' | 'refuse';

/**
 * A suspect that ran alone and then crashed the upstream is refused. A crash that it shared with
 * others says little, because any of them may be the cause: an innocent request that was in flight
 * in two crashes was refused before. Only so many shared crashes in a row are proof enough.
 */
const SHARED_CRASHES_BEFORE_REFUSAL = 4;

/** Bounds the memory; the oldest suspects are dropped first. */
const MAX_SUSPECTS = 1_000;

/** Fingerprints of requests that were in flight when the upstream crashed. */
export class SuspectTable {
  private readonly suspects = new Map<string, Suspect>();

  /**
   * Records a crash of the upstream.
   *
   * @param inFlight - Fingerprints that the upstream was working on; repeated ones count once
   * @param exclusive - The upstream was reserved for this single suspect
   * @param now - Milliseconds
   */
  recordCrash(inFlight: readonly string[], exclusive: boolean, now: number): void {
    this.expire(now);
    for (const fingerprint of new Set(inFlight)) {
      const previous = this.suspects.get(fingerprint);
      this.suspects.delete(fingerprint);
      const crashes = (previous?.crashes ?? 0) + 1;
      const confirmed = exclusive || previous?.confirmed === true;
      this.suspects.set(fingerprint, { crashes, confirmed, lastCrashAt: now });
    }
    for (const fingerprint of this.suspects.keys()) {
      if (this.suspects.size <= MAX_SUSPECTS) break;
      this.suspects.delete(fingerprint);
    }
  }

  /**
   * Clears a fingerprint that completed.
   *
   * @param fingerprint - Fingerprint of the completed request
   */
  clear(fingerprint: string): void {
    this.suspects.delete(fingerprint);
  }

  /**
   * Decides how a request may run.
   *
   * @param fingerprint - Fingerprint of the request
   * @param now - Milliseconds
   * @returns The decision
   */
  decide(fingerprint: string, now: number): SuspectDecision {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined || now - suspect.lastCrashAt >= defaults.suspectTtlMs) return 'run';
    if (suspect.confirmed || suspect.crashes >= SHARED_CRASHES_BEFORE_REFUSAL) return 'refuse';
    return 'alone';
  }

  /**
   * Lists the suspects for load reports.
   *
   * @param now - Milliseconds
   * @returns Fingerprint, crashes and age of the last crash
   */
  list(now: number): { fingerprint: string; crashes: number; ageMs: number }[] {
    this.expire(now);
    return [...this.suspects].map(([fingerprint, suspect]) => ({
      fingerprint,
      // Entries refuse from the second crash on, so crashes that prove nothing count as one.
      crashes:
        suspect.confirmed || suspect.crashes >= SHARED_CRASHES_BEFORE_REFUSAL
          ? Math.max(suspect.crashes, defaults.crashesBeforeRefusal)
          : 1,
      ageMs: Math.max(0, Math.round(now - suspect.lastCrashAt)),
    }));
  }

  private expire(now: number): void {
    for (const [fingerprint, suspect] of this.suspects) {
      if (now - suspect.lastCrashAt < defaults.suspectTtlMs) continue;
      this.suspects.delete(fingerprint);
    }
  }
}
