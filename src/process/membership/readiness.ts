export const REQUIRED_PEERS = 2;

export interface ReadinessInput {
  readonly startedAt: number;
  readonly readyTimeoutMs: number;
  readonly mergedPeers: number;
  /** Known other entries (settings and live list); undefined if peers connect to this process. */
  readonly knownPeers: number | undefined;
  /** `none`: no platform is configured. */
  readonly platformRead: 'none' | 'pending' | 'done' | 'failed';
  readonly objects: number;
}

export interface Readiness {
  readonly ready: boolean;
  /** Sources that have not been merged; empty if all have been merged. */
  readonly missing: readonly string[];
}

/**
 * Decides whether a started process has enough configuration to accept traffic.
 *
 * @param input - State of the merge from peers and the platform
 * @param now - Current time in milliseconds
 * @returns Readiness with a description of every source that has not been merged
 */
export function decideReadiness(input: ReadinessInput, now: number): Readiness {
  const missing: string[] = [];
  if (input.mergedPeers < REQUIRED_PEERS) {
    missing.push(`merged from ${input.mergedPeers} of ${REQUIRED_PEERS} peers`);
  }
  if (input.platformRead === 'none') missing.push('no platform in the settings');
  if (input.platformRead === 'pending') missing.push('platform not read yet');
  if (input.platformRead === 'failed') missing.push('platform could not be read');
  const neededPeers = Math.min(REQUIRED_PEERS, input.knownPeers ?? REQUIRED_PEERS);
  const isSettled = input.platformRead === 'done' || input.platformRead === 'none';
  const isWaitOver = now - input.startedAt >= input.readyTimeoutMs;
  // Without configuration every request would fail authentication, so the process is not ready.
  const hasConfiguration = input.objects > 0 || input.platformRead === 'done';
  const hasSources = input.mergedPeers >= neededPeers && isSettled;
  return { ready: hasConfiguration && (hasSources || isWaitOver), missing };
}
