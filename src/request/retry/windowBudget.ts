import { defaults } from '../../defaults.js';

interface Sends {
  readonly at: number;
  firsts: number;
  repeats: number;
}

/** Width of the buckets in which sends are counted. */
const BUCKET_MS = 500;

/**
 * One gateway's part of the second sends that a service may get in any window.
 *
 * All gateways together may send `ratio` repeats per request plus `extra`. Requests count where they arrive, so the
 * ratio needs no talk between gateways; the extra is split evenly over the gateways that may exist.
 */
export class WindowBudget {
  private readonly buckets: Sends[] = [];

  constructor(
    private readonly windowMs: number,
    private readonly ratio: number,
    private readonly extra: number,
  ) {}

  /**
   * Counts the first send of a request.
   *
   * @param now - Milliseconds
   */
  noteFirst(now: number): void {
    this.openBucket(now).firsts += 1;
  }

  /**
   * Takes one repeat.
   *
   * @param now - Milliseconds
   * @returns False when the window holds no further repeat
   */
  takeRepeat(now: number): boolean {
    const bucket = this.openBucket(now);
    let firsts = 0;
    let repeats = 0;
    for (const sends of this.buckets) {
      firsts += sends.firsts;
      repeats += sends.repeats;
    }
    const allowed = this.extra + firsts * this.ratio * defaults.repeatBudgetUse;
    if (repeats + 1 > allowed) return false;
    bucket.repeats += 1;
    return true;
  }

  private openBucket(now: number): Sends {
    for (const [index, sends] of this.buckets.entries()) {
      if (sends.at < now - this.windowMs) continue;
      if (index > 0) this.buckets.splice(0, index);
      break;
    }
    const last = this.buckets.at(-1);
    if (last !== undefined && now - last.at < BUCKET_MS) return last;
    const opened = { at: now, firsts: 0, repeats: 0 };
    this.buckets.push(opened);
    return opened;
  }
}
