import type { Reservation } from '../admission/types.js';
import type { GatewayErrorCode } from './callerReply.js';
import type { FinalOutcome, Forwarding } from './forwarding.js';
import { CONFIGURATION_RETRY_AFTER_MS } from './forwarding.js';
import { logAbortedAttempt, logBrokenAttempt } from './forwardLog.js';
import { RESERVED_BYTES } from './bufferBudget.js';
import type { AttemptOutcome, BreakCode, ResponseProgress } from './types.js';

/** Responses from this status on are failures of the upstream. */
export const MIN_SERVER_ERROR_STATUS = 500;
/** Statuses with which a request is refused before it has run. */
const refusalStatuses: ReadonlySet<number> = new Set([408, 429, 503]);
/** A group that aborts work after a stall this long has lost a rank; a single broken response has no prior stall. */
const GROUP_FAILURE_STALL_MS = 700;
/** Events that an upstream may still send before it crashes on the request. */
const MAX_EVENTS_BEFORE_CRASH = 2;
/** Ways in which a response ends when its upstream aborts it; the others are found in what it sends. */
const connectionEndCodes: ReadonlySet<BreakCode> = new Set(['truncated', 'unproven']);
/** Parts of a body from which on their mean size tells about its upstream. */
const MIN_FRAGMENTS = 10_000;
/** Parts of a sound body are larger on average, even if it is sent in small writes. */
const MAX_FRAGMENT_BYTES = 4;
/** Upstreams that may be unreachable before the request fails. */
const MAX_UNREACHABLE_UPSTREAMS = 4;

type BrokenAttempt = Extract<AttemptOutcome, { kind: 'broken' }>;

/** Handles the outcome of an attempt; undefined requests another attempt. */
export const attemptHandlers: {
  readonly [Kind in AttemptOutcome['kind']]: (
    forwarding: Forwarding,
    outcome: Extract<AttemptOutcome, { kind: Kind }>,
    reservation: Reservation,
  ) => FinalOutcome | undefined | Promise<FinalOutcome | undefined>;
} = {
  answered: (forwarding, outcome, reservation) => {
    const { context, reply } = forwarding;
    // A complete response cannot continue a stream that has begun; another upstream may still resume it.
    if (reply.isStreaming) return undefined;
    const { status } = outcome.head;
    // To the caller these statuses mean that the request has not run, which the upstream has not stated.
    if (refusalStatuses.has(status) && !isRepeatAllowed(forwarding)) {
      forwarding.mayHaveRun = true;
      return endWithError(forwarding, 'broken');
    }
    const isFailure = status >= MIN_SERVER_ERROR_STATUS;
    if (isFailure && isRepeatAllowed(forwarding)) {
      forwarding.mayHaveRun = true;
      forwarding.failure.put(outcome, context.readClock());
      return undefined;
    }
    context.balancer.health.recordProgress(reservation.upstream.id, context.readClock());
    if (!isFailure) context.balancer.recordSuccess(reservation.upstream.id);
    recordSuccess(forwarding);
    reply.sendResponse(outcome.head, outcome.body);
    return 'answered';
  },
  streamed: (forwarding, outcome, reservation) => {
    const { context, reply } = forwarding;
    context.balancer.recordSuccess(reservation.upstream.id);
    recordSuccess(forwarding);
    // The head is sent with the first event, so a stream without events has not sent it yet.
    reply.startStream(outcome.head);
    reply.endStream();
    return 'streamed';
  },
  not_sent: (forwarding, _outcome, reservation) => {
    forwarding.context.balancer.recordFault(
      reservation.upstream.id,
      forwarding.context.readClock(),
    );
    // Nothing reached the upstream, so the attempt does not count towards the limit of the route.
    forwarding.attemptCount -= 1;
    return forwarding.tried.size > MAX_UNREACHABLE_UPSTREAMS ? endExhausted(forwarding) : undefined;
  },
  not_run: (forwarding, outcome, reservation) => {
    const { balancer, directory } = forwarding.context;
    const now = forwarding.context.readClock();
    const { faultyAddress, isInstanceMismatch } = outcome.head;
    // The caller may have asked for a version that no upstream has, which says nothing about this one.
    if (isInstanceMismatch && forwarding.metadata.hasVersion === true) return undefined;
    // A refusal that names a faulty rank, even the refusing one, applies to all ranks of the group, unless the upstream
    // is full.
    if (isInstanceMismatch) directory.markReplaced(reservation.upstream);
    else if (faultyAddress === undefined || balancer.isFull(reservation.upstream, now))
      balancer.recordFault(reservation.upstream.id, now);
    else balancer.health.recordFailure(reservation.upstream.id, now);
    return undefined;
  },
  broken: async (forwarding, outcome, reservation) => {
    const { context, admitted, keys } = forwarding;
    const now = context.readClock();
    forwarding.mayHaveRun = true;
    if (isUpstreamFault(outcome)) context.balancer.recordFault(reservation.upstream.id, now);
    const stalledMs = context.balancer.health.computeStallMs(reservation.upstream.id, now);
    const isGroupStalled =
      connectionEndCodes.has(outcome.code) && stalledMs > GROUP_FAILURE_STALL_MS;
    if (isGroupStalled) context.balancer.health.recordFailure(reservation.upstream.id, now);
    const confirmed = confirmCrash(forwarding, outcome, reservation, { isGroupStalled, stalledMs });
    if (!isRepeatAllowed(forwarding)) return endWithError(forwarding, 'broken');
    // A request that may have caused the crash waits until that is known, so that it does not crash another upstream.
    const hasCrashed = isCrashCandidate(outcome) && (await confirmed);
    const isRepeatSafe =
      !hasCrashed || context.crashes.isRepeatSafe(admitted.service, keys, context.readClock());
    return isRepeatSafe ? undefined : endWithError(forwarding, 'broken');
  },
  aborted: (forwarding, outcome, reservation) => {
    const { context } = forwarding;
    logAbortedAttempt(forwarding, outcome, reservation.upstream);
    if (outcome.reason === 'time_limit' && isFragmented(outcome.progress)) {
      context.metrics.addCount('responses_fragmented');
      context.balancer.recordFault(reservation.upstream.id, context.readClock());
    }
    forwarding.mayHaveRun = true;
    return endAborted(forwarding);
  },
};

/** A small response that was ended because others needed its memory says nothing about its upstream. */
function isUpstreamFault({ code, progress }: BrokenAttempt): boolean {
  return code !== 'memory' || progress.bodyBytes > RESERVED_BYTES;
}

/** Whether a body came in so many tiny parts that its upstream, and not its size, is why it did not end in time. */
function isFragmented({ bodyBytes, bodyParts }: ResponseProgress): boolean {
  return bodyParts >= MIN_FRAGMENTS && bodyBytes < bodyParts * MAX_FRAGMENT_BYTES;
}

/** Whether a request that may have run may be sent to another upstream; a stream that has begun only if resumable. */
function isRepeatAllowed({ admitted, reply }: Forwarding): boolean {
  const { kind, isResumable } = admitted.route;
  if (kind === 'stream') return isResumable;
  return kind === 'repeatable' && !reply.isStreaming;
}

/** Records a crash if the upstream no longer accepts connections; a broken response alone does not prove one. */
async function confirmCrash(
  forwarding: Forwarding,
  outcome: BrokenAttempt,
  { upstream }: Reservation,
  { isGroupStalled, stalledMs }: { readonly isGroupStalled: boolean; readonly stalledMs: number },
): Promise<boolean> {
  const { context, admitted, keys } = forwarding;
  const brokeAt = context.readClock();
  const isListening = await context.listenerProbes.probe(upstream.address);
  const causeWhileListening = isGroupStalled ? 'group_stalled' : 'response';
  const cause = isListening ? causeWhileListening : 'crash';
  logBrokenAttempt(forwarding, outcome, upstream, { cause, stalledMs });
  if (isListening) return false;
  if (isCrashCandidate(outcome)) {
    context.crashes.recordCrash(admitted.service, upstream.id, keys, brokeAt);
  }
  return true;
}

/** An upstream that crashes on a request does so when it begins to write the response. */
function isCrashCandidate({ progress }: BrokenAttempt): boolean {
  return progress.events <= MAX_EVENTS_BEFORE_CRASH;
}

/**
 * Records that a request has not crashed its upstream.
 *
 * @param forwarding - State of the request
 */
export function recordSuccess({ context, admitted, keys }: Forwarding): void {
  context.crashes.recordSuccess(admitted.service, keys, context.readClock());
}

/**
 * Ends a request that was aborted; see `AbortReason`.
 *
 * @param forwarding - State of the request
 * @returns Outcome of the request
 */
export function endAborted(forwarding: Forwarding): FinalOutcome {
  if (forwarding.signal.reason === 'caller_gone') {
    forwarding.reply.abortStream();
    return 'caller_gone';
  }
  if (forwarding.signal.reason === 'suspect') return endWithError(forwarding, 'suspect');
  if (forwarding.signal.reason === 'too_large') return endWithError(forwarding, 'broken');
  if (forwarding.signal.reason === 'stopping') {
    if (forwarding.mayHaveRun) return endWithError(forwarding, 'stopped');
    const { context } = forwarding;
    return endWithError(
      forwarding,
      'draining',
      context.stop.computeReturningMs(context.readClock()),
    );
  }
  if (forwarding.mayHaveRun) return endWithError(forwarding, 'time_limit');
  return endWithError(forwarding, 'overloaded');
}

/**
 * Ends a request that has no attempts left, with the last failure response of an upstream if there is one.
 *
 * @param forwarding - State of the request
 * @returns Outcome of the request
 */
export function endExhausted(forwarding: Forwarding): FinalOutcome {
  if (forwarding.signal.aborted) return endAborted(forwarding);
  if (!forwarding.mayHaveRun)
    return endWithError(forwarding, 'not_run', CONFIGURATION_RETRY_AFTER_MS);
  const { reply } = forwarding;
  const failure = forwarding.failure.take();
  if (failure === undefined || reply.isStreaming) return endWithError(forwarding, 'broken');
  reply.sendResponse(failure.head, failure.body);
  return 'answered';
}

/**
 * Ends a request with an error response of the gateway.
 *
 * @param forwarding - State of the request
 * @param code - Error code
 * @param retryAfterMs - Time after which the caller may retry
 * @returns The error code
 */
export function endWithError(
  forwarding: Forwarding,
  code: GatewayErrorCode,
  retryAfterMs?: number,
): FinalOutcome {
  forwarding.reply.sendGatewayError(code, retryAfterMs);
  return code;
}
