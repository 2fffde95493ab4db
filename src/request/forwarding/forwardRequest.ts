import { createHash } from 'node:crypto';
import { setImmediate as waitForTurn } from 'node:timers/promises';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { BodyFailure, ReceivedBody } from '../../connection/bodyReceiver.js';
import { BodyReceiver } from '../../connection/bodyReceiver.js';
import type { Fingerprint } from '../../ids.js';
import { toId } from '../../ids.js';
import type { Refusal } from '../admission/types.js';
import type { AdmittedRequest } from './admitRequest.js';
import { admitRequest } from './admitRequest.js';
import { attemptHandlers, endAborted, endExhausted, endWithError } from './attemptHandlers.js';
import type { GatewayErrorCode } from './callerReply.js';
import { CallerReply } from './callerReply.js';
import { logOutcome, logRefusal } from './forwardLog.js';
import type { FinalOutcome, Forwarding } from './forwarding.js';
import { CONFIGURATION_RETRY_AFTER_MS } from './forwarding.js';
import { observeDisconnect } from '../../connection/responseClose.js';
import { KeptFailure } from './keptFailure.js';
import { createReservationRequest } from './reservationRequest.js';
import { releaseReservation, runOneAttempt } from './runOneAttempt.js';
import { decideTaking } from './stopPolicy.js';
import { describeStop, findStopRefusal, hasTimeToSend } from './stopRefusal.js';
import type { AbortReason, CallerExchange, ForwardingContext } from './types.js';

/** The time limit is shortened by this margin, so that the final response arrives in time. */
const RESPONSE_MARGIN_MS = 20;
/** Time in which a request shows whether it crashes its upstream. */
const TRIAL_RETRY_AFTER_MS = 1_000;

/** Time after which memory for a body is expected. */
const MEMORY_RETRY_AFTER_MS = 1_000;

type BodyRefusal = 'body_too_large' | 'body_timeout' | 'no_memory' | 'draining' | 'caller_gone';

/**
 * Forwards one caller's request, from admission to the final response.
 *
 * @param context - Shared state of the gateway
 * @param exchange - Request and response
 */
export async function forwardRequest(
  context: ForwardingContext,
  exchange: CallerExchange,
): Promise<void> {
  const { request, progress, controller } = exchange;
  const { arrivedAt } = progress;
  const metadata = context.codec.decodeRequest(request.rawHeaders);
  progress.requestId = metadata.requestId ?? '';
  const reply = createReply(context, exchange, metadata.requestId);
  const refuse = (code: GatewayErrorCode, retryAfterMs?: number): void => {
    context.discardBody(exchange);
    reply.sendGatewayError(code, retryAfterMs);
    logRefusal(context, exchange, metadata, code);
  };
  if (!context.isConfigured()) await waitForConfiguration(context, exchange);
  const url = request.url ?? '/';
  const now = context.readClock();
  const admitted = admitRequest(context, request.headers.host ?? '', url, metadata, now);
  if (admitted.isErr()) {
    const code = admitted.error;
    const isUnknown = code === 'not_ready' || code === 'stale';
    refuse(code, isUnknown ? CONFIGURATION_RETRY_AFTER_MS : undefined);
    return;
  }
  const { route } = admitted.value;
  const timeLimitMs =
    Math.min(route.timeoutMs, metadata.deadlineMs ?? Infinity) - RESPONSE_MARGIN_MS;
  const deadlineAt = arrivedAt + timeLimitMs;
  const hasTimeToTake = (now: number): boolean =>
    decideTaking(describeStop(context, exchange, route, deadlineAt, now));
  const refuseAtStop = (): boolean => {
    if (hasTimeToTake(context.readClock())) return false;
    refuse('draining', context.stop.computeReturningMs(context.readClock()));
    return true;
  };
  if (refuseAtStop()) return;
  progress.hasTime = hasTimeToTake;
  const timer = setTimeout(() => {
    controller.abort('time_limit');
  }, deadlineAt - context.readClock());
  const received = await receiveRequestBody(context, exchange, admitted.value);
  if (received.isErr()) {
    clearTimeout(timer);
    const code = received.error;
    if (code === 'caller_gone') logRefusal(context, exchange, metadata, code);
    else refuse(code, computeBodyReturn(context, code));
    return;
  }
  const { bytes: body, release } = received.value;
  // A body that came slowly may have taken the time that was left.
  if (refuseAtStop()) {
    clearTimeout(timer);
    release?.();
    return;
  }
  observeDisconnect(exchange, () => {
    controller.abort('caller_gone');
  });
  const forwarding: Forwarding = {
    context,
    exchange,
    reply,
    metadata,
    admitted: admitted.value,
    body,
    keys: {
      request: hashRequest(admitted.value, url, body),
      parts: metadata.promptParts,
    },
    arrivedAt,
    deadlineAt,
    signal: controller.signal,
    tried: new Set(),
    attemptCount: 0,
    mayHaveRun: false,
    lastEventId: metadata.lastEventId ?? 0,
    lastEventAt: undefined,
    deliveredAt: undefined,
    attemptEvents: 0,
    failure: new KeptFailure(context.callerMemory, admitted.value.workspace?.id ?? ''),
    waitedMs: 0,
    steps: '',
  };
  progress.phase = 'waiting';
  progress.hasTime = (now) => hasTimeToSend(forwarding, now);
  const removeRunning = context.durations.begin(route.name, arrivedAt);
  const unregister = context.crashes.register({
    service: admitted.value.service,
    keys: forwarding.keys,
    isUnanswered: () => forwarding.attemptEvents === 0,
    abort: () => {
      controller.abort('suspect');
    },
  });
  try {
    await readPendingEvents();
    const outcome = await runAttempts(forwarding);
    progress.phase = 'delivering';
    logOutcome(forwarding, outcome);
  } finally {
    removeRunning();
    unregister();
    clearTimeout(timer);
    forwarding.failure.release();
    release?.();
  }
}

/** Waits for the first configuration, and leaves the body of the request unread meanwhile. */
async function waitForConfiguration(
  context: ForwardingContext,
  { reader }: CallerExchange,
): Promise<void> {
  reader.suspend();
  await context.waitUntilConfigured(CONFIGURATION_RETRY_AFTER_MS);
  reader.resume();
}

async function receiveRequestBody(
  context: ForwardingContext,
  { request, reader, controller }: CallerExchange,
  { held, workspace }: AdmittedRequest,
): Promise<Result<ReceivedBody, BodyRefusal>> {
  const { signal } = controller;
  if (signal.aborted) return Err(bodyRefusals.aborted(signal.reason as AbortReason));
  const receiver = new BodyReceiver(request, {
    maxBytes: held.configuration.limits.maxBodyBytes,
    memory: context.callerMemory,
    group: workspace?.id ?? '',
    reader,
    readClock: () => context.readClock(),
  });
  const abort = (): void => {
    receiver.abort();
  };
  signal.addEventListener('abort', abort);
  const received = await receiver.receive();
  signal.removeEventListener('abort', abort);
  if (received.isOk()) return Ok(received.value);
  return Err(bodyRefusals[received.error](signal.reason as AbortReason));
}

/** Outcome of a request whose body was not received; nothing of it has been sent. */
const bodyRefusals: Readonly<Record<BodyFailure, (reason: AbortReason) => BodyRefusal>> = {
  too_large: () => 'body_too_large',
  closed: () => 'caller_gone',
  evicted: () => 'no_memory',
  aborted: (reason) => (reason === 'time_limit' ? 'body_timeout' : 'draining'),
};

function computeBodyReturn(context: ForwardingContext, code: BodyRefusal): number | undefined {
  if (code === 'draining') return context.stop.computeReturningMs(context.readClock());
  return code === 'no_memory' ? MEMORY_RETRY_AFTER_MS : undefined;
}

/**
 * Ends a request whose handling threw an error. Other requests are not affected.
 *
 * @param context - Shared state of the gateway
 * @param exchange - Request and response
 * @param error - Thrown value
 */
export function failRequest(
  context: ForwardingContext,
  exchange: CallerExchange,
  error: unknown,
): void {
  const { request, response } = exchange;
  context.metrics.addCount('outcome_internal');
  const { requestId } = context.codec.decodeRequest(request.rawHeaders);
  const cause = error instanceof Error ? (error.stack ?? error.message) : String(error);
  context.logger.error(
    { requestId: requestId ?? '', cause },
    'request failed on an internal error',
  );
  const reply = createReply(context, exchange, requestId);
  if (response.headersSent) reply.abortStream();
  else reply.sendGatewayError('internal');
}

function createReply(
  context: ForwardingContext,
  exchange: CallerExchange,
  requestId: string | undefined,
): CallerReply {
  const { codec, maxUnreadBytes, responseLimits, responseBuffers: buffers } = context;
  const limits = { maxUnreadBytes, maxBodyBytes: responseLimits.maxBodyBytes, buffers };
  const announcesClose = (): boolean =>
    (context.stop.isDraining || context.hasUnreadBody(exchange)) &&
    context.tryAnnounceClose(exchange);
  return new CallerReply(exchange.response, codec, requestId, announcesClose, limits);
}

/**
 * Waits until the event loop has read its sockets once, which shows whether the caller has left while its request lay
 * unread. A gateway that is behind would otherwise spend most of its time on requests whose callers are gone.
 */
async function readPendingEvents(): Promise<void> {
  await waitForTurn();
  await waitForTurn();
}

async function runAttempts(forwarding: Forwarding): Promise<FinalOutcome> {
  const { context, admitted } = forwarding;
  const maxAttempts = Math.max(1, admitted.route.maxAttempts);
  while (forwarding.attemptCount < maxAttempts) {
    const refused =
      findStopRefusal(forwarding, context.readClock()) ?? findCrashRefusal(forwarding);
    if (refused !== undefined) return refused;
    if (forwarding.attemptCount > 0 && !tryTakeRepeat(forwarding)) break;
    const requestedAt = context.readClock();
    const acquired = await acquireReservation(forwarding, requestedAt);
    forwarding.waitedMs += context.readClock() - requestedAt;
    if (acquired.isErr()) {
      recordRefusal(forwarding, acquired.error);
      if (forwarding.signal.aborted) return endAborted(forwarding);
      if (forwarding.attemptCount > 0) break;
      const code = acquired.error.code === 'no_upstream' ? 'no_upstream' : 'overloaded';
      return endWithError(forwarding, code, acquired.error.retryAfterMs);
    }
    // While this one waited, the stop may have come near, or another request may have crashed its upstream or begun to
    // try the same key.
    const refusal =
      findStopRefusal(forwarding, context.readClock()) ?? findCrashRefusal(forwarding);
    if (refusal !== undefined) {
      releaseReservation(forwarding, acquired.value);
      return refusal;
    }
    const outcome = await runOneAttempt(forwarding, acquired.value);
    const final = await attemptHandlers[outcome.kind](forwarding, outcome as never, acquired.value);
    if (final !== undefined) return final;
  }
  return endExhausted(forwarding);
}

/** Refuses a request that would probably crash its upstream, or that could crash one beside another request. */
function findCrashRefusal(forwarding: Forwarding): FinalOutcome | undefined {
  const { context, admitted, keys } = forwarding;
  const now = context.readClock();
  if (context.crashes.findBlockedKey(admitted.service, keys, now) !== undefined) {
    return endWithError(forwarding, 'suspect');
  }
  if (!context.crashes.hasToRunAlone(admitted.service, keys, now)) return undefined;
  if (forwarding.mayHaveRun) return endWithError(forwarding, 'broken');
  return endWithError(forwarding, 'trial', TRIAL_RETRY_AFTER_MS);
}

function recordRefusal(forwarding: Forwarding, refusal: Refusal): void {
  const { code, cause, waiting, estimatedWaitMs, rateLimited, waitedMs } = refusal;
  const reason = cause === undefined ? code : `${code}, ${cause}`;
  const limits = rateLimited.length === 0 ? '' : `; rate limits of ${rateLimited.join(',')}`;
  const expectedMs = Math.round(estimatedWaitMs);
  const waited = waitedMs === 0 ? '' : `; waited ${Math.round(waitedMs)}ms`;
  forwarding.steps += ` refused(${reason}; ${waiting} waiting, ${expectedMs}ms expected${limits}${waited})`;
  forwarding.context.rateLimits.countUses('refusals', rateLimited);
}

/** Takes a repeat from the budget of the service, if the request may still be served. */
function tryTakeRepeat(forwarding: Forwarding): boolean {
  const { context, admitted } = forwarding;
  const now = context.readClock();
  if (forwarding.signal.aborted) return false;
  const request = createReservationRequest(forwarding, context.stop.computeRemainingMs(now), now);
  if (!context.getQueue(admitted.service).hasTime(request, now)) return false;
  const isAllowed = context.getRepeatBudget(admitted.service).tryTakeRepeat(now);
  if (!isAllowed) forwarding.steps += ' repeat_budget_used';
  return isAllowed;
}

function acquireReservation(
  forwarding: Forwarding,
  now: number,
): ReturnType<ReturnType<ForwardingContext['getQueue']>['acquire']> {
  const { context, admitted, signal } = forwarding;
  const remainingMs = context.stop.computeRemainingMs(now);
  const request = createReservationRequest(forwarding, remainingMs, now);
  return context.getQueue(admitted.service).acquire(request, now, signal);
}

function hashRequest(
  admitted: AdmittedRequest,
  url: string,
  body: Buffer | undefined,
): Fingerprint {
  const hash = createHash('sha1').update(`${admitted.workspace?.id ?? ''}\n${url}\n`);
  if (body !== undefined) hash.update(body);
  return toId<Fingerprint>(hash.digest('base64'));
}
