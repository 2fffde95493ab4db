import type { EngineModel } from '../../version/routing/types.js';
import type { PassForecast } from './passForecast.js';
import { computeRequests } from './passForecast.js';

/** Part of the accepted pause available to a pass; the rest covers transit to the caller. */
const PASS_TIME_SHARE = 0.9;
/** Requests that run even if no pass is short enough: fewer would not help those that run, and more would wait. */
const MIN_REQUESTS_PER_RANK = 1;
/** An engine without a group is observed through its own requests only. */
const MIN_REQUESTS_STANDALONE = 2;
/** Age of the counts of other gateways, within which each takes only its part of the free room. */
const COUNT_AGE_MS = 60;

/** Number of requests that a group may run. */
export interface GroupLimit {
  readonly requests: number;
  /** Whether even few requests are expected to see pauses that are too long. */
  readonly isSlow: boolean;
}

/**
 * Computes how many requests a group may run, so that nearly all of its next passes stay within the accepted pause.
 *
 * @param forecast - Forecast of the group
 * @param ranks - Ranks that take work
 * @param maxGapMs - Shortest pause accepted by callers
 * @param engine - Speed of a rank
 * @returns Limit for all gateways together
 */
export function computeGroupLimit(
  forecast: Pick<PassForecast, 'cautiousFactor'>,
  ranks: number,
  maxGapMs: number,
  engine: EngineModel,
): GroupLimit {
  const fewest = ranks === 1 ? MIN_REQUESTS_STANDALONE : ranks * MIN_REQUESTS_PER_RANK;
  const most = ranks * engine.slots;
  if (!Number.isFinite(maxGapMs)) return { requests: most, isSlow: false };
  const passMs = computePassLimitMs(maxGapMs);
  const requests = Math.floor(computeRequests(passMs, forecast.cautiousFactor, ranks, engine));
  return { requests: Math.min(Math.max(requests, fewest), most), isSlow: requests < fewest };
}

/**
 * Computes the time that a pass may take.
 *
 * @param maxGapMs - Shortest pause accepted by callers
 * @returns Milliseconds
 */
export function computePassLimitMs(maxGapMs: number): number {
  return maxGapMs * PASS_TIME_SHARE;
}

/** What one gateway knows of a group. */
export interface GroupUse {
  readonly limit: number;
  /** Requests of all gateways, those of the others as of their last counts. */
  readonly running: number;
  readonly own: number;
  readonly gateways: number;
}

/**
 * Part of the free room of a group that one gateway may use before the counts of the others show what they have used.
 *
 * Handles many gateways that would fill the same gap at once.
 */
export class GroupAllotment {
  private startedAt = -Infinity;
  private left = 0;

  constructor(private readonly draw: () => number = Math.random) {}

  /**
   * Checks whether this gateway may start a request in the group.
   *
   * @param use - Limit and requests of the group
   * @param now - Current time in milliseconds
   * @returns Whether there is room
   */
  hasRoom(use: GroupUse, now: number): boolean {
    if (use.running >= use.limit) return false;
    if (use.gateways === 1) return true;
    if (now - this.startedAt >= COUNT_AGE_MS) this.begin(use, now);
    return this.left >= 1;
  }

  /** Records a request that was started. */
  recordStart(): void {
    this.left -= 1;
  }

  /**
   * Records the end of an own request, whose room this gateway may use again unless it holds more than an equal part.
   *
   * @param use - Limit and requests of the group after the end
   */
  recordEnd(use: GroupUse): void {
    if (use.own < use.limit / use.gateways) this.left += 1;
  }

  private begin({ limit, running, own, gateways }: GroupUse, now: number): void {
    this.startedAt = now;
    const ownShare = running === 0 ? 1 / gateways : own / running;
    const share = (1 / gateways + ownShare) / 2;
    this.left = Math.floor((limit - running) * share + this.draw());
  }
}
