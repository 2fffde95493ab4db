import { defaults } from '../../defaults.js';

interface Suspect {
  crashes: number;
  /** The upstream crashed while this request ran exclusively. */
  confirmed: boolean;
  lastCrashAt: number;
}

/** `exclusive`: run only while nothing else runs; `refuse`: do not run. */
export type SuspectDecision = 'run' | 'exclusive' | 'refuse';

/**
 * Number of consecutive crashes with other requests in flight after which a suspect is refused. Any
 * request in flight may have caused such a crash; a limit of two refused harmless requests. A single
 * crash during an exclusive run is enough.
 */
const SHARED_CRASHES_BEFORE_REFUSAL = 4;

/** Bounds the memory use; suspects with the oldest crash are dropped first. */
const MAX_SUSPECTS = 1_000;

/** Fingerprints of requests that were in flight when the upstream crashed (possible poison requests). */
export class SuspectTable {
  private readonly suspects = new Map<string, Suspect>();

  /**
   * Records a crash of the upstream.
   *
   * @param inFlight - Fingerprints of the requests in flight; duplicates count once
   * @param exclusive - The upstream was reserved for this single suspect
   * @param now - Current time in milliseconds
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
   * Clears a fingerprint after a request with it has completed.
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
   * @param now - Current time in milliseconds
   * @returns The decision
   */
  decide(fingerprint: string, now: number): SuspectDecision {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined || now - suspect.lastCrashAt >= defaults.suspectTtlMs) return 'run';
    if (suspect.confirmed || suspect.crashes >= SHARED_CRASHES_BEFORE_REFUSAL) return 'refuse';
    return 'exclusive';
  }

  /**
   * Lists the suspects for load reports.
   *
   * @param now - Current time in milliseconds
   * @returns Fingerprint, crashes and age of the last crash
   */
  list(now: number): { fingerprint: string; crashes: number; ageMs: number }[] {
    this.expire(now);
    return [...this.suspects].map(([fingerprint, suspect]) => ({
      fingerprint,
      // Entries refuse from `crashesBeforeRefusal` crashes on, so inconclusive crashes are reported as one.
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
