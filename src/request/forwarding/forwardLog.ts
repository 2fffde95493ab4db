import type { RequestMetadata } from '../../process/gateway/types.js';
import type { FinalOutcome, Forwarding } from './forwarding.js';
import type { ForwardingContext } from './types.js';

/**
 * Logs a request that was refused admission.
 *
 * @param context - Shared state of the gateway
 * @param statement - Decoded request headers of the caller
 * @param code - Error code
 * @param now - Suspend-aware clock
 */
export function logRefusal(
  context: ForwardingContext,
  statement: RequestMetadata,
  code: string,
  now: number,
): void {
  context.metrics.addCount(`outcome_${code}`);
  context.logger.info(
    {
      requestId: statement.requestId ?? '',
      outcome: code,
      configurationVersion: context.holder.version,
      proofAgeMs: Math.round(context.holder.computeAge(now)),
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
  const { context, admitted, statement } = forwarding;
  const now = context.readNow();
  context.metrics.addCount(`outcome_${outcome}`);
  context.metrics.recordLatency('request', now - forwarding.arrivedAt);
  context.logger.info(
    {
      requestId: statement.requestId ?? '',
      workspace: admitted.workspace?.id ?? '',
      service: admitted.service,
      route: admitted.route.name,
      outcome,
      attempts: forwarding.steps.trim(),
      waitedMs: Math.round(forwarding.waitedMs),
      tookMs: Math.round(now - forwarding.arrivedAt),
      lastEventId: forwarding.lastEventId,
      configurationVersion: admitted.held.configuration.version,
      proofAgeMs: Math.round(context.holder.computeAge(now)),
    },
    'request ended',
  );
}
