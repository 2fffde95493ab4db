import type { ServiceRoom } from './types.js';

/** Age of the counts of other gateways. */
export const COUNT_DELAY_MS = 60;

/**
 * Part of the free room that this gateway may take until it learns what the others have taken.
 *
 * Handles several gateways with waiting requests that see the same room become free. Room that this gateway releases
 * itself is its own to take again at once.
 */
export class RoomShare {
  private credit = 0;
  private refilledAt = -Infinity;
  private runningElsewhere = 0;

  /** Adds the room of a request of this gateway that has ended. */
  recordRelease(): void {
    this.credit += 1;
  }

  /**
   * Takes room for one request.
   *
   * @param room - Room of the service
   * @param ownRunning - Requests of this gateway that run
   * @param now - Current time in milliseconds
   * @returns False when this gateway has taken its part for now
   */
  tryTake(room: ServiceRoom, ownRunning: number, now: number): boolean {
    const share = estimateShare(room, ownRunning);
    const elsewhere = Math.max(0, room.running - ownRunning);
    if (now - this.refilledAt >= COUNT_DELAY_MS) {
      const free = Math.floor(room.limit - room.running);
      // A gateway that has just started runs little, and would take long to reach its share.
      this.credit = free < 1 ? 0 : Math.max(1, free * share);
      this.refilledAt = now;
    } else {
      this.credit += Math.max(0, this.runningElsewhere - elsewhere) * share;
    }
    this.runningElsewhere = elsewhere;
    if (this.credit < 1) return false;
    this.credit -= 1;
    return true;
  }

  /** Returns room that was taken but not used. */
  refund(): void {
    this.credit += 1;
  }
}

/**
 * Estimates the share of this gateway in what all gateways run.
 *
 * @param room - Room of the service
 * @param ownRunning - Requests of this gateway that run
 * @returns Share, 1 for a gateway that runs nothing and so cannot know it
 */
export function estimateShare(room: ServiceRoom, ownRunning: number): number {
  return ownRunning === 0 ? 1 : ownRunning / Math.max(ownRunning, room.running);
}
