import type { Plan } from '../../version/expertMap/planStore.js';
import type { GroupBody } from './types.js';

/** A plan holds the experts of all ranks, which is too large to resend with each protocol message. */
const RESEND_INTERVAL_MS = 3_000;

/** Sends plans to ranks with a limited resend rate. */
export class PlanSender {
  private readonly sent = new Map<number, { version: number; at: number }>();

  constructor(private readonly sendBody: (rank: number, body: GroupBody) => void) {}

  /**
   * Sends a plan unless it was sent to this rank within the resend interval.
   *
   * @param rank - Receiving rank
   * @param plan - Version and content
   * @param now - Current time in milliseconds
   */
  send(rank: number, plan: Plan, now: number): void {
    const last = this.sent.get(rank);
    if (last?.version === plan.version && now - last.at < RESEND_INTERVAL_MS) return;
    this.sent.set(rank, { version: plan.version, at: now });
    this.sendBody(rank, { type: 'plan', ...plan });
  }

  /**
   * Resets the resend limit of a rank, because its link is new.
   *
   * @param rank - Rank number
   */
  resetRank(rank: number): void {
    this.sent.delete(rank);
  }
}
