/**
 * Reads a monotonic clock that keeps running while the process is paused.
 *
 * @returns Milliseconds since the epoch
 */
export function readClock(): number {
  return performance.timeOrigin + performance.now();
}
