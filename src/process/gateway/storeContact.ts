import type { PauseDetector } from '../pauseDetector.js';
import type { ReadError } from './types.js';

/** Whether a failed read shows that the store may be unavailable, by the code of its error. */
const isAbsenceByCode: Readonly<Record<ReadError['code'], boolean>> = {
  unreachable: true,
  timeout: true,
  refused: true,
  malformed: true,
  truncated: false,
  not_found: false,
  outdated: false,
};

/**
 * Tells an outage of the store from the absence of this process: a read that was not sent, because the process was
 * paused or relied on another gateway, shows nothing about the store.
 */
export class StoreContact {
  private lastFailureAt = -Infinity;

  /** @param pauses - Pauses of this process */
  constructor(private readonly pauses: Pick<PauseDetector, 'hasPausedSince'>) {}

  /**
   * Records a failed read of the store.
   *
   * @param error - Why it failed
   * @param now - Current time in milliseconds
   */
  recordFailure({ code }: ReadError, now: number): void {
    if (isAbsenceByCode[code]) this.lastFailureAt = now;
  }

  /**
   * Checks whether an outage of the store may have gone unnoticed.
   *
   * @param since - Start of the period, in milliseconds
   * @param now - Current time in milliseconds
   * @returns False if this process ran and no read of it failed
   */
  mayHaveMissedOutage(since: number, now: number): boolean {
    return this.lastFailureAt > since || this.pauses.hasPausedSince(since, now);
  }
}
