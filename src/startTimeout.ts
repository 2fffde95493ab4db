/** A timer that fires later than this was delayed by work of the process itself. */
const DELAY_TOLERANCE_MS = 5;

/**
 * Starts a time-out for a message of another process. If this process was busy when the time ran out, what has arrived
 * meanwhile is read first: the time-out is extended by the delay, and it ends after the next input has been handled.
 *
 * @param durationMs - Time to wait
 * @param onTimeout - Called if the time-out is not cancelled
 * @returns Cancels the time-out
 */
export function startTimeout(durationMs: number, onTimeout: () => void): () => void {
  const dueAt = performance.now() + durationMs;
  let immediate: NodeJS.Immediate | undefined;
  let isExtended = false;
  const expire = (): void => {
    const delayMs = performance.now() - dueAt;
    if (delayMs > DELAY_TOLERANCE_MS && !isExtended) {
      isExtended = true;
      timer = setTimeout(expire, Math.min(delayMs, durationMs));
      return;
    }
    // Timers fire before the event loop reads its sockets.
    immediate = setImmediate(onTimeout);
  };
  let timer = setTimeout(expire, durationMs);
  return () => {
    clearTimeout(timer);
    if (immediate !== undefined) clearImmediate(immediate);
  };
}
