import type { ChangeTimer } from './changeTimer.js';
import type { GroupView, RankState } from './groupView.js';
import type { OrderOutcome, RankOrder, RankReport } from './types.js';

/** Minimum time between two sends of an order to a rank; a link hop and a local call take about 8 ms. */
export const RESEND_INTERVAL_MS = 60;

/** Delay before an unanswered order is sent again; an engine that is unreachable fails each one at once. */
const RETRY_DELAY_MS = 20;

/** What a coordinator keeps from one order to the next. */
export interface ChangeContext {
  readonly view: GroupView;
  readonly readClock: () => number;
  /** Aborted when the coordinator stops: no pass is held any more, and a held one is released. */
  readonly stopSignal?: AbortSignal;
  /** Lowest pass that no earlier change has named; a late order of an earlier change must not match a new one. */
  firstUnusedPass: number;
  /** Time at which an order last remained unanswered. */
  lastUnansweredOrderAt: number;
  /** Estimated time from the hold to the release of a pass; undefined until measured. */
  armMs?: number | undefined;
  /** Measures the change in progress. */
  timer?: ChangeTimer | undefined;
}

/**
 * Sends an order to a rank once.
 *
 * @param context - Ranks and clock
 * @param state - Rank
 * @param order - Order
 * @param epoch - Epoch of the group
 * @returns Outcome as seen by the coordinator
 */
export async function sendOrder(
  context: ChangeContext,
  state: RankState,
  order: RankOrder,
  epoch: number,
): Promise<OrderOutcome> {
  const sentAt = context.readClock();
  const outcome = await state.sendOrder(order, epoch);
  context.timer?.recordOrder(context.readClock() - sentAt);
  if (outcome === 'unknown') context.lastUnansweredOrderAt = context.readClock();
  return outcome;
}

/**
 * Releases a held pass at one rank.
 *
 * @param context - Ranks and clock
 * @param rank - Rank that holds the pass
 * @param epoch - Epoch of the hold
 * @param pass - Held pass
 */
export async function releasePass(
  context: ChangeContext,
  rank: number,
  epoch: number,
  pass: number,
): Promise<void> {
  for (;;) {
    const state = context.view.ranks.get(rank);
    if (state?.report.epoch !== epoch) {
      if (rank === 0 || context.view.ranks.get(0)?.report.epoch !== epoch) return;
      await context.view.waitForStatus(RESEND_INTERVAL_MS);
      continue;
    }
    const outcome = await sendOrder(context, state, { kind: 'release', pass }, epoch);
    if (outcome !== 'unknown') return;
    await waitToRetry();
  }
}

/**
 * Checks whether a rank is armed for a pass.
 *
 * @param report - Report of the rank
 * @param version - Version of the map
 * @param pass - Pass before which the rank switches
 * @returns True if it switches to this version before this pass
 */
export function isArmedFor({ armed }: RankReport, version: number, pass: number): boolean {
  return armed?.version === version && armed.pass === pass;
}

/**
 * Checks whether the group has re-formed, which invalidates all orders.
 *
 * @param states - Ranks
 * @param epoch - Epoch of the orders
 * @returns True if a rank reports another epoch or a broken group
 */
export function hasOtherEpoch(states: readonly RankState[], epoch: number): boolean {
  return states.some(({ report }) => report.epoch !== epoch || !report.isOpen);
}

/** Waits before an unanswered order is sent again. */
export function waitToRetry(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
}
