import type { RequestMetadata } from '../../process/gateway/types.js';
import type { UpstreamEntry } from '../../version/routing/types.js';
import type { FinalOutcome, Forwarding } from './forwarding.js';
import type {
  AttemptOutcome,
  CallerExchange,
  ForwardingContext,
  ResponseProgress,
} from './types.js';

/**
 * Logs a request that was refused admission.
 *
 * @param context - Shared state of the gateway
 * @param exchange - Request and response
 * @param metadata - Decoded request headers of the caller
 * @param code - Error code
 */
export function logRefusal(
  context: ForwardingContext,
  { progress }: CallerExchange,
  metadata: RequestMetadata,
  code: string,
): void {
  const now = context.readClock();
  progress.phase = 'delivering';
  context.metrics.addCount(`outcome_${code}`);
  context.logger.info(
    {
      requestId: metadata.requestId ?? '',
      outcome: code,
      configurationVersion: context.configurationCache.version,
      proofAgeMs: Math.round(context.configurationCache.computeAge(now)),
      ...describeStop(context, progress.arrivedAt),
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
  if (outcome === 'answered' || outcome === 'streamed')
    context.durations.record(admitted.route.name, now - forwarding.arrivedAt);
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
      ...describeStop(context, forwarding.arrivedAt),
    },
    'request ended',
  );
}

/** Describes when a request arrived, relative to the graceful stop of the process if it has begun. */
function describeStop(
  { stop }: ForwardingContext,
  arrivedAt: number,
): { readonly afterStopMs?: number } {
  const afterStopMs = stop.computeElapsedMs(arrivedAt);
  return afterStopMs === undefined ? {} : { afterStopMs: Math.round(afterStopMs) };
}

/** Why an attempt broke off: the response alone, the upstream's process, or a lost rank of its group. */
export interface BreakFinding {
  readonly cause: 'response' | 'crash' | 'group_stalled';
  /** Time without progress of the group. */
  readonly stalledMs: number;
}

/**
 * Logs an attempt that ended without a complete response, with what its prompt shares with others.
 *
 * @param forwarding - State of the request
 * @param outcome - Outcome of the attempt
 * @param upstream - Upstream of the attempt
 * @param finding - Why it broke off
 */
export function logBrokenAttempt(
  { context, metadata }: Forwarding,
  { code, reason, progress }: Extract<AttemptOutcome, { kind: 'broken' }>,
  upstream: UpstreamEntry,
  { cause, stalledMs }: BreakFinding,
): void {
  context.metrics.addCount(`attempts_broken_${cause}`);
  context.metrics.addCount(`responses_broken_${code}`);
  context.logger.info(
    {
      requestId: metadata.requestId ?? '',
      upstream: upstream.id,
      cause,
      code,
      reason,
      ...formatProgress(progress),
      stalledMs: Math.round(stalledMs),
      promptParts: metadata.promptParts.join(','),
    },
    'attempt broke off',
  );
}

/**
 * Logs an attempt that was aborted after a part of its response had arrived.
 *
 * @param forwarding - State of the request
 * @param outcome - Outcome of the attempt
 * @param upstream - Upstream of the attempt
 */
export function logAbortedAttempt(
  { context, metadata }: Forwarding,
  { reason, progress }: Extract<AttemptOutcome, { kind: 'aborted' }>,
  upstream: UpstreamEntry,
): void {
  if (progress.receivedBytes === 0) return;
  context.metrics.addCount(`responses_aborted_${reason}`);
  const { requestId = '' } = metadata;
  context.logger.info(
    { requestId, upstream: upstream.id, reason, ...formatProgress(progress) },
    'attempt aborted within its response',
  );
}

function formatProgress({ readMs, ...progress }: ResponseProgress): ResponseProgress {
  return { ...progress, readMs: Math.round(readMs) };
}
