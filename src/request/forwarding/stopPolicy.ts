/** What a stopping gateway knows of a request when it decides whether to begin work for it. */
export interface StopSituation {
  /** Time until the gateway ends all requests, `Infinity` unless it is stopping. */
  readonly remainingMs: number;
  /** Time until the request ends by its own time limit. */
  readonly limitMs: number;
  /** Time that such requests take, undefined if not known. */
  readonly expectedMs: number | undefined;
  /** Time for which the load balancer may still open connections to this gateway. */
  readonly listeningMs: number;
}

/**
 * Decides whether a gateway takes a request.
 *
 * While the load balancer still opens connections to a stopping gateway, a refused caller would probably come back to
 * it, so requests are taken that are expected to finish. After that, a refusal costs one round trip to another gateway,
 * and only a request that ends by its own time limit before the stop is certain not to be cut.
 *
 * @param situation - Remaining times
 * @returns False if it is refused; it has not run
 */
export function decideTaking(situation: StopSituation): boolean {
  const { remainingMs, limitMs, listeningMs } = situation;
  if (limitMs <= remainingMs) return true;
  return listeningMs > 0 && decideSending(situation);
}

/**
 * Decides whether a request that was taken is sent to an upstream, for the first time or once more.
 *
 * @param situation - Remaining times
 * @returns False if it is expected to be cut
 */
export function decideSending({ remainingMs, limitMs, expectedMs }: StopSituation): boolean {
  return limitMs <= remainingMs || (remainingMs > 0 && (expectedMs ?? 0) <= remainingMs);
}
