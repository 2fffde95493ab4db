/** Final state of an order as reported to its caller. */
export type ReportedState = 'done' | 'not-run' | 'unknown';

/** One order from the perspective of its caller. */
export interface PlacedOrder {
  readonly reportedState: ReportedState;
  readonly fault: string;
  /** Whether its agent was running and no upstream connection of that agent was reset in its round. */
  readonly reachable: boolean;
}

export interface OrderCounts {
  readonly orders: number;
  readonly done: number;
  readonly not_run: number;
  readonly unknown: number;
  /** Orders that were executed more than once. */
  readonly run_twice: number;
  /** Orders reported as `not-run` that ran. */
  readonly false_not_run: number;
  /** Orders reported as `done` that did not run. */
  readonly lost_done: number;
  readonly unknown_by_fault: Readonly<Record<string, number>>;
  /** Unknown outcomes among the reachable orders, 0 to 1. */
  readonly unknown_reachable_ratio: number;
}

/**
 * Compares the states reported to callers with the executions recorded by the services.
 *
 * @param placed - Orders by intent
 * @param runs - Recorded executions by intent
 * @returns Counts
 */
export function verifyOrders(
  placed: ReadonlyMap<string, PlacedOrder>,
  runs: ReadonlyMap<string, number>,
): OrderCounts {
  const counts = { done: 0, 'not-run': 0, unknown: 0 };
  const unknownByFault: Record<string, number> = {};
  let runTwice = 0;
  let falseNotRun = 0;
  let lostDone = 0;
  let reachable = 0;
  let unknownReachable = 0;
  for (const [intent, order] of placed) {
    const ran = runs.get(intent) ?? 0;
    counts[order.reportedState] += 1;
    if (ran > 1) runTwice += 1;
    if (order.reportedState === 'not-run' && ran > 0) falseNotRun += 1;
    if (order.reportedState === 'done' && ran === 0) lostDone += 1;
    if (order.reachable) reachable += 1;
    if (order.reportedState !== 'unknown') continue;
    unknownByFault[order.fault] = (unknownByFault[order.fault] ?? 0) + 1;
    if (order.reachable) unknownReachable += 1;
  }
  return {
    orders: placed.size,
    done: counts.done,
    not_run: counts['not-run'],
    unknown: counts.unknown,
    run_twice: runTwice,
    false_not_run: falseNotRun,
    lost_done: lostDone,
    unknown_by_fault: unknownByFault,
    unknown_reachable_ratio: reachable === 0 ? 0 : unknownReachable / reachable,
  };
}
