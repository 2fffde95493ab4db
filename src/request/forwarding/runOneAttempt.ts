import type { Reservation } from '../admission/types.js';
import { MIN_SERVER_ERROR_STATUS, recordSuccess } from './attemptHandlers.js';
import type { Forwarding } from './forwarding.js';
import { runAttempt } from './runAttempt.js';
import type { AttemptOutcome } from './types.js';

/** Events after which an upstream would have crashed on the request, if it did. */
const EVENTS_OF_SOUND_REQUEST = 8;

/**
 * Sends a request to the upstream of a reservation, and passes on what comes back.
 *
 * @param forwarding - State of the request
 * @param reservation - Reservation, released when the attempt ends
 * @returns Outcome of the attempt
 */
export async function runOneAttempt(
  forwarding: Forwarding,
  reservation: Reservation,
): Promise<AttemptOutcome> {
  const { context, admitted, metadata, exchange, reply } = forwarding;
  const { upstream, passedOver } = reservation;
  if (passedOver.length > 0) forwarding.steps += ` rate_limited(${passedOver.join(',')})`;
  context.rateLimits.countUses('skips', passedOver);
  const startedAt = context.readClock();
  if (forwarding.attemptCount === 0)
    context.getRepeatBudget(admitted.service).recordFirstSend(startedAt);
  forwarding.attemptCount += 1;
  exchange.progress.phase = reply.isStreaming ? 'responding' : 'sent';
  forwarding.tried.add(upstream.id);
  const recordEnd = context.crashes.recordSend(admitted.service, forwarding.keys, startedAt);
  context.rateLimits.countSend(upstream);
  forwarding.lastEventAt = undefined;
  forwarding.attemptEvents = 0;
  const isResuming = forwarding.lastEventId > 0 || metadata.lastEventId !== undefined;
  let isWhole = false;
  const outcome = await runAttempt({
    request: {
      address: upstream.address,
      method: exchange.request.method ?? 'GET',
      path: exchange.request.url ?? '/',
      headers: context.codec.encodeRequest(exchange.request.rawHeaders, {
        upstream: upstream.id,
        remainingMs: forwarding.deadlineAt - startedAt,
        workspace: admitted.workspace?.id,
        lastEventId: isResuming ? forwarding.lastEventId : undefined,
      }),
      body: forwarding.body,
      flow: context.getReadFlow(admitted.service),
    },
    limits: context.responseLimits,
    buffers: context.responseBuffers,
    memory: context.callerMemory,
    group: admitted.workspace?.id ?? '',
    readClock: () => context.readClock(),
    codec: context.codec,
    requestId: metadata.requestId,
    lastEventId: forwarding.lastEventId,
    signal: forwarding.signal,
    isExpired: () => context.readClock() >= forwarding.deadlineAt,
    hasPaused: () => context.hasPaused(),
    onHead: (head) => {
      const { requestId } = metadata;
      const response = { upstream, head, requestId, sentAt: startedAt };
      const now = context.readClock();
      context.rateLimits.observeResponse(response, now);
      context.statements.observeResponse(response, now);
    },
    onEvent: (head, id, bytes) => {
      const now = context.readClock();
      recordEvent(forwarding, reservation, now, startedAt);
      forwarding.lastEventId = id;
      exchange.progress.phase = 'responding';
      reply.startStream(head);
      const caughtUp = sendToCaller(forwarding, bytes);
      // The next gap includes the pause, so it says nothing about the pace of the engine.
      if (caughtUp !== undefined) forwarding.lastEventAt = undefined;
      return caughtUp;
    },
    onComment: (head, bytes) => {
      reply.startStream(head);
      return sendToCaller(forwarding, bytes);
    },
    onUnframedEnd: (isComplete) => {
      context.metrics.addCount(isComplete ? 'unframed_complete' : 'unframed_unproven');
    },
  })
    .then((ended) => {
      isWhole = !isResuming && isServed(ended);
      return ended;
    })
    .finally(() => {
      recordEnd();
      releaseReservation(forwarding, reservation, isWhole ? admitted.route.name : undefined);
    });
  if (!reply.isStreaming) exchange.progress.phase = 'waiting';
  const endedAt = context.readClock();
  const reason = 'reason' in outcome ? `(${outcome.reason})` : '';
  forwarding.steps += ` ${upstream.id}:${outcome.kind}${reason}:${Math.round(endedAt - startedAt)}ms`;
  return outcome;
}

/** Sends bytes of a stream, and ends the request if they can't be kept for its caller. */
function sendToCaller({ reply, exchange }: Forwarding, bytes: Buffer): Promise<void> | undefined {
  const caughtUp = reply.sendEvent(bytes);
  if (reply.isEnded) exchange.controller.abort('too_large');
  return caughtUp;
}

/**
 * Releases a reservation, with which a queued request may be sent.
 *
 * @param forwarding - State of the request
 * @param reservation - Reservation
 * @param servedRoute - Name of the route if the request was served, whose duration then counts
 */
export function releaseReservation(
  { context, admitted }: Forwarding,
  reservation: Reservation,
  servedRoute?: string,
): void {
  const now = context.readClock();
  reservation.release(now);
  const queue = context.getQueue(admitted.service);
  queue.recordRelease(reservation, servedRoute, now);
  queue.dispatchQueued(now);
}

/** Whether an attempt ended with a response that shows how long such requests take. */
function isServed(outcome: AttemptOutcome): boolean {
  if (outcome.kind === 'answered') return outcome.head.status < MIN_SERVER_ERROR_STATUS;
  return outcome.kind === 'streamed';
}

function recordEvent(
  forwarding: Forwarding,
  reservation: Reservation,
  now: number,
  startedAt: number,
): void {
  const { context } = forwarding;
  context.balancer.health.recordProgress(reservation.upstream.id, now);
  if (forwarding.lastEventAt === undefined) {
    context.metrics.recordLatency('first_event', now - startedAt);
    const { service, route } = forwarding.admitted;
    context.getQueue(service).recordFirstEvent(route.name, now - startedAt);
  } else {
    const gapMs = now - forwarding.lastEventAt;
    context.balancer.recordEventGap(reservation.upstream, gapMs, now);
    context.metrics.recordLatency('event_gap', gapMs);
  }
  forwarding.attemptEvents += 1;
  if (forwarding.attemptEvents === EVENTS_OF_SOUND_REQUEST) recordSuccess(forwarding);
  forwarding.lastEventAt = now;
  forwarding.deliveredAt = now;
}
