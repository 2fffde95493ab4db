import { defaults } from '../../defaults.js';
import type { MessageOf } from '../../protocol/messages.js';

interface Suspect {
  readonly crashes: number;
  readonly seenAt: number;
}

/** Fingerprints of requests that were in flight when an upstream crashed, from the load reports of all agents. */
export class SuspectList {
  /** By reporting agent process, then by fingerprint; each report contains the complete list. */
  private readonly byReporter = new Map<string, Map<string, Suspect>>();

  /**
   * Replaces the suspects reported by one agent process.
   *
   * @param reporter - Process id and incarnation of the agent
   * @param suspects - Complete list of its suspects
   * @param now - Current time in milliseconds
   */
  applyReport(reporter: string, suspects: MessageOf<'load'>['suspects'], now: number): void {
    if (suspects.length === 0) {
      this.byReporter.delete(reporter);
      return;
    }
    const entries = suspects.map(
      ({ fingerprint, crashes, ageMs }) => [fingerprint, { crashes, seenAt: now - ageMs }] as const,
    );
    this.byReporter.set(reporter, new Map(entries));
  }

  /**
   * Returns the highest crash count of a fingerprint that any one agent reports. Counts of several
   * agents are not added up: a request may by chance be in flight in several crashes of other causes.
   *
   * @param fingerprint - Fingerprint of the request
   * @param now - Current time in milliseconds
   * @returns Number of crashes, without suspects older than `defaults.suspectTtlMs`
   */
  countCrashes(fingerprint: string, now: number): number {
    let crashes = 0;
    for (const suspects of this.byReporter.values()) {
      const suspect = suspects.get(fingerprint);
      if (suspect !== undefined && isFresh(suspect, now))
        crashes = Math.max(crashes, suspect.crashes);
    }
    return crashes;
  }

  /**
   * Removes expired suspects.
   *
   * @param now - Current time in milliseconds
   */
  expire(now: number): void {
    for (const [reporter, suspects] of this.byReporter) {
      const fresh = [...suspects].filter(([, suspect]) => isFresh(suspect, now));
      if (fresh.length === 0) this.byReporter.delete(reporter);
      else this.byReporter.set(reporter, new Map(fresh));
    }
  }

  /**
   * Describes the suspects for the `/dump` endpoint.
   *
   * @param now - Current time in milliseconds
   * @returns Crash count by fingerprint
   */
  describe(now: number): Record<string, number> {
    const described: Record<string, number> = {};
    for (const suspects of this.byReporter.values())
      for (const fingerprint of suspects.keys())
        described[fingerprint] = this.countCrashes(fingerprint, now);
    return described;
  }
}

function isFresh(suspect: Suspect, now: number): boolean {
  return now - suspect.seenAt <= defaults.suspectTtlMs;
}
