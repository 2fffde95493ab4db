import { setTimeout as sleep } from 'node:timers/promises';

/** Sends one request; resolves with the completed work (for example tokens), or rejects. */
export type SendRequest = (index: number) => Promise<number>;

export interface ClosedLoopResult {
  readonly completed: number;
  readonly failed: number;
  readonly work: number;
  readonly seconds: number;
}

/**
 * Sends requests in a closed loop: a fixed number of loops, each with one request in flight.
 *
 * @param send - One request
 * @param limits - Number of loops, and milliseconds after which no request is started
 * @returns Totals of the run
 */
export async function runClosedLoop(
  send: SendRequest,
  limits: { loops: number; durationMs: number },
): Promise<ClosedLoopResult> {
  const startedAt = performance.now();
  let completed = 0;
  let failed = 0;
  let work = 0;
  let index = 0;
  const runLoop = async (): Promise<void> => {
    while (performance.now() - startedAt < limits.durationMs) {
      index += 1;
      try {
        const done = await send(index);
        work += done;
        completed += 1;
      } catch {
        failed += 1;
      }
    }
  };
  await Promise.all(Array.from({ length: limits.loops }, runLoop));
  return { completed, failed, work, seconds: (performance.now() - startedAt) / 1000 };
}

/**
 * Sends requests alternately to two targets at a fixed rate, in an open loop: the rate does not depend on response
 * times.
 *
 * @param targets - The two targets
 * @param limits - Requests to each target, and requests to each target per second
 * @returns Durations in milliseconds by target, and failures
 */
export async function runPaired(
  targets: readonly [SendRequest, SendRequest],
  limits: { count: number; perSecond: number },
): Promise<{ durations: [number[], number[]]; failed: number }> {
  const durations: [number[], number[]] = [[], []];
  let failed = 0;
  const measure = async (target: 0 | 1, index: number): Promise<void> => {
    const startedAt = performance.now();
    try {
      await targets[target](index);
      durations[target].push(performance.now() - startedAt);
    } catch {
      failed += 1;
    }
  };
  const intervalMs = 1000 / (2 * limits.perSecond);
  const startedAt = performance.now();
  const pending: Promise<void>[] = [];
  for (let index = 0; index < 2 * limits.count; index += 1) {
    const delayMs = startedAt + index * intervalMs - performance.now();
    if (delayMs > 0) await sleep(delayMs);
    pending.push(measure(index % 2 === 0 ? 0 : 1, index));
  }
  await Promise.all(pending);
  return { durations, failed };
}

/**
 * Computes a percentile by nearest rank.
 *
 * @param values - Values in any order
 * @param percent - 0 to 100
 * @returns The percentile, or NaN for an empty list
 */
export function computePercentile(values: readonly number[], percent: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.ceil((percent / 100) * sorted.length);
  return sorted[Math.max(0, rank - 1)] ?? Number.NaN;
}
