import { setTimeout as sleep } from 'node:timers/promises';

const DEFAULT_TIMEOUT_MS = 10_000;
const DEFAULT_INTERVAL_MS = 20;

/**
 * Waits for a fixed time.
 *
 * @param durationMs - Duration in milliseconds
 */
export async function waitMs(durationMs: number): Promise<void> {
  await sleep(durationMs);
}

/**
 * Polls a condition until it holds.
 *
 * @param description - Name of the condition in the error message
 * @param condition - Returns true when it holds; an exception counts as false
 * @param limits - Time-out and poll interval in milliseconds
 * @returns Milliseconds waited
 * @throws Error after the time-out, with the last failure of the condition
 */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
  limits: { timeoutMs?: number; intervalMs?: number } = {},
): Promise<number> {
  const startedAt = performance.now();
  const timeoutMs = limits.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  let lastFailure = 'condition is false';
  while (performance.now() - startedAt < timeoutMs) {
    try {
      if (await condition()) return performance.now() - startedAt;
      lastFailure = 'condition is false';
    } catch (error) {
      lastFailure = String(error);
    }
    await sleep(limits.intervalMs ?? DEFAULT_INTERVAL_MS);
  }
  throw new Error(`${description}: not reached within ${timeoutMs} ms (${lastFailure})`);
}
