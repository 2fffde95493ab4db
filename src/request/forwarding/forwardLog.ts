import type { RequestMetadata } from '../../process/gateway/types.js';
import type { FinalOutcome, Forwarding } from './forwarding.js';
import type { ForwardingContext } from './types.js';

/**
 * Logs a request that was refused admission.
 *
 * @param context - Shared state of the gateway
 * @param metadata - Decoded request headers of the caller
 * @param code - Error code
 * @param now - Current time on the suspend-aware clock, in milliseconds
 */
export function logRefusal(
  context: ForwardingContext,
  metadata: RequestMetadata,
  code: string,
  now: number,
): void {
  context.metrics.addCount(`outcome_${code}`);
  context.logger.info(
    {
      requestId: metadata.requestId ?? '',
      outcome: code,
      configurationVersion: context.configurationCache.version,
      proofAgeMs: Math.round(context.configurationCache.computeAge(now)),
    },
    'request refused',
  );
}

/**
 * Logs the outcome of an admitted request.
 *
 * @param forwarding - State of the request
 * @param outcome - Outcome of the request
 */
export function logOutcome(forwarding: Forwarding, outcome: FinalOutcome): void {
  const { context, admitted, metadata } = forwarding;
  const now = context.readClock();
  context.metrics.addCount(`outcome_${outcome}`);
  context.metrics.recordLatency('request', now - forwarding.arrivedAt);
  context.logger.info(
    {
      requestId: metadata.requestId ?? '',
      workspace: admitted.workspace?.id ?? '',
      service: admitted.service,
      route: admitted.route.name,
      outcome,
      attempts: forwarding.steps.trim(),
      waitedMs: Math.round(forwarding.waitedMs),
      tookMs: Math.round(now - forwarding.arrivedAt),
      lastEventId: forwarding.lastEventId,
      configurationVersion: admitted.held.configuration.version,
      proofAgeMs: Math.round(context.configurationCache.computeAge(now)),
    },
    'request ended',
  );
}
