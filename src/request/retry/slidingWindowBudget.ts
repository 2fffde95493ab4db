import { defaults } from '../../defaults.js';

interface SendBucket {
  readonly at: number;
  firstSends: number;
  repeats: number;
}

const BUCKET_WIDTH_MS = 500;

/**
 * One gateway's share of the repeated sends (retries) that a service allows in any sliding window.
 *
 * All gateways together may send `ratio` repeats per request plus `extra`. Each gateway counts the requests that it
 * receives, so the ratio needs no coordination; `extra` is split evenly over the largest possible number of gateways.
 */
export class SlidingWindowBudget {
  private readonly buckets: SendBucket[] = [];

  constructor(
    private readonly windowMs: number,
    private readonly ratio: number,
    private readonly extra: number,
  ) {}

  /**
   * Records the first send of a request.
   *
   * @param now - Current time in milliseconds
   */
  recordFirstSend(now: number): void {
    this.getCurrentBucket(now).firstSends += 1;
  }

  /**
   * Takes one repeat from the budget.
   *
   * @param now - Current time in milliseconds
   * @returns False when the budget of the window is exhausted
   */
  tryTakeRepeat(now: number): boolean {
    const bucket = this.getCurrentBucket(now);
    let firstSends = 0;
    let repeats = 0;
    for (const sends of this.buckets) {
      firstSends += sends.firstSends;
      repeats += sends.repeats;
    }
    const allowed = this.extra + firstSends * this.ratio * defaults.repeatBudgetUse;
    if (repeats + 1 > allowed) return false;
    bucket.repeats += 1;
    return true;
  }

  private getCurrentBucket(now: number): SendBucket {
    let expired = 0;
    for (const { at } of this.buckets) {
      if (at >= now - this.windowMs) break;
      expired += 1;
    }
    this.buckets.splice(0, expired);
    const last = this.buckets.at(-1);
    if (last !== undefined && now - last.at < BUCKET_WIDTH_MS) return last;
    const opened = { at: now, firstSends: 0, repeats: 0 };
    this.buckets.push(opened);
    return opened;
  }
}
