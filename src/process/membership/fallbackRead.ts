/** Maximum backoff, before jitter, between direct platform reads of a process without peers. */
const MAX_BACKOFF_MS = 300_000;
const MAX_DOUBLINGS = 10;

/** Maximum number of values read in one fallback read; the rest remains pending. */
export const MAX_FALLBACK_CALLS = 32;

export interface FallbackState {
  /** Time of the last digest or configuration from a peer or successful platform read. */
  readonly lastSourceAt: number;
  readonly lastFallbackAt: number;
  /** Number of consecutive direct reads without a message from a peer in between. */
  readonly consecutiveFallbacks: number;
  /** Uniform value in [0, 1), constant per process; desynchronizes the reads of the fleet. */
  readonly jitter: number;
}

/**
 * Decides whether a process without a configuration source reads the platform directly. The pause
 * between reads backs off exponentially, so that a fleet without peers stays within the rate limit
 * of the platform.
 *
 * @param state - Times of the last updates and reads
 * @param fallbackAfterMs - Time without updates before the first direct read
 * @param now - Current time in milliseconds
 * @returns True when a direct read is due
 */
export function decideFallbackRead(
  state: FallbackState,
  fallbackAfterMs: number,
  now: number,
): boolean {
  const backoffMs = fallbackAfterMs * 2 ** Math.min(state.consecutiveFallbacks, MAX_DOUBLINGS);
  const boundedMs = Math.max(fallbackAfterMs, Math.min(backoffMs, MAX_BACKOFF_MS));
  const pause = boundedMs * (1 + state.jitter);
  return now - Math.max(state.lastSourceAt, state.lastFallbackAt) >= pause;
}
