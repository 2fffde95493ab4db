import { defaults } from '../../defaults.js';
import type { MessageOf } from '../../protocol/messages.js';

interface Suspect {
  readonly crashes: number;
  readonly seenAt: number;
}

/** Fingerprints seen in crashes, from the load reports of all agents. */
export class SuspectList {
  /** By reporting agent process, then fingerprint; agents report their whole list each time. */
  private readonly byReporter = new Map<string, Map<string, Suspect>>();

  /**
   * Replaces the list of one agent process.
   *
   * @param reporter - Agent process and incarnation
   * @param suspects - Its present suspects
   * @param now - Milliseconds
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
   * Counts the crashes of a fingerprint at the agent that saw the most. Those of several agents are
   * not added: shared crashes of different causes prove nothing about a request that was in both.
   *
   * @param fingerprint - Of the request
   * @param now - Milliseconds
   * @returns Crashes within the suspects' lifetime
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
   * Removes aged suspects.
   *
   * @param now - Milliseconds
   */
  expire(now: number): void {
    for (const [reporter, suspects] of this.byReporter) {
      const fresh = [...suspects].filter(([, suspect]) => isFresh(suspect, now));
      if (fresh.length === 0) this.byReporter.delete(reporter);
      else this.byReporter.set(reporter, new Map(fresh));
    }
  }

  /**
   * Describes the list for the dump.
   *
   * @param now - Milliseconds
   * @returns Crashes by fingerprint
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
