import type { Fingerprint } from '../../ids.js';
import type { Place } from '../admission/types.js';
import type { OwnAnswerCode } from './callerReply.js';
import type { FinalOutcome, Forwarding } from './forwarding.js';
import { STALE_RETRY_MS } from './forwarding.js';
import { probeListener } from './probeListener.js';
import type { AttemptOutcome, ForwardingContext } from './types.js';

const SERVER_ERROR = 500;
/** A group that breaks off work after such a silence has lost a rank; a single broken answer comes without one. */
const BROKEN_SILENCE_MS = 700;
/** Upstreams that may refuse the connection before the request is given up. */
const MAX_UNREACHABLE = 4;

/** What each end of an attempt means; undefined asks for another attempt. */
export const attemptHandlers: {
  readonly [Kind in AttemptOutcome['kind']]: (
    forwarding: Forwarding,
    outcome: Extract<AttemptOutcome, { kind: Kind }>,
    place: Place,
  ) => FinalOutcome | undefined;
} = {
  answered: (forwarding, outcome, place) => {
    const { context, admitted, reply, fingerprint } = forwarding;
    const isFailure = outcome.head.status >= SERVER_ERROR;
    if (isFailure && admitted.route.kind !== 'once') {
      forwarding.mayHaveRun = true;
      forwarding.failure = outcome;
      return undefined;
    }
    context.board.health.noteProgress(place.upstream.id, context.readNow());
    if (!isFailure) context.board.noteSuccess(place.upstream.id);
    context.suspects.noteSuccess(fingerprint);
    reply.sendAnswer(outcome.head, outcome.body);
    return 'answered';
  },
  streamed: (forwarding, _outcome, place) => {
    const { context, reply, fingerprint } = forwarding;
    context.board.noteSuccess(place.upstream.id);
    context.suspects.noteSuccess(fingerprint);
    reply.endStream();
    return 'streamed';
  },
  not_sent: (forwarding, _outcome, place) => {
    forwarding.context.board.noteFault(place.upstream.id, forwarding.context.readNow());
    // Nothing reached the upstream, so the attempt does not count against the route's limit.
    forwarding.sends -= 1;
    return forwarding.tried.size > MAX_UNREACHABLE ? sendExhausted(forwarding) : undefined;
  },
  not_run: (forwarding, outcome, place) => {
    const { board, directory } = forwarding.context;
    const now = forwarding.context.readNow();
    const { faultyAddress, isInstanceMismatch } = outcome.head;
    // A rank that names one at fault, also itself, speaks for its whole group, unless it is only full.
    if (isInstanceMismatch) directory.markReplaced(place.upstream);
    else if (faultyAddress === undefined || board.isFull(place.upstream, now))
      board.noteFault(place.upstream.id, now);
    else board.health.noteBroken(place.upstream.id, now);
    return undefined;
  },
  broken: (forwarding, _outcome, place) => {
    const { context, admitted, fingerprint } = forwarding;
    const now = context.readNow();
    forwarding.mayHaveRun = true;
    context.board.noteFault(place.upstream.id, now);
    if (context.board.health.computeSilence(place.upstream.id, now) > BROKEN_SILENCE_MS) {
      context.board.health.noteBroken(place.upstream.id, now);
    } else {
      void confirmCrash(context, place, fingerprint);
    }
    const { kind, isResumable } = admitted.route;
    const mayRepeat = kind === 'repeatable' || (kind === 'stream' && isResumable);
    return mayRepeat ? undefined : sendFinal(forwarding, 'broken');
  },
  aborted: (forwarding) => {
    forwarding.mayHaveRun = true;
    return sendAborted(forwarding);
  },
};

/** A broken answer alone blames nobody; an upstream that no longer listens has crashed while it ran the request. */
async function confirmCrash(
  context: ForwardingContext,
  place: Place,
  fingerprint: Fingerprint,
): Promise<void> {
  if (await probeListener(place.upstream.address)) return;
  const now = context.readNow();
  context.suspects.noteCrash(fingerprint, now);
  context.shareCrash(fingerprint);
  context.logger.warn(
    { upstream: place.upstream.id, fingerprint },
    'upstream crashed with a request',
  );
}

/**
 * Ends a request whose caller has left or whose time is up.
 *
 * @param forwarding - The request
 * @returns How it ended
 */
export function sendAborted(forwarding: Forwarding): FinalOutcome {
  if (forwarding.signal.reason === 'caller_gone') {
    forwarding.reply.breakStream();
    return 'caller_gone';
  }
  if (forwarding.mayHaveRun) return sendFinal(forwarding, 'time_limit');
  return sendFinal(forwarding, 'overloaded');
}

/**
 * Ends a request after its last attempt with what is known of it.
 *
 * @param forwarding - The request
 * @returns How it ended
 */
export function sendExhausted(forwarding: Forwarding): FinalOutcome {
  if (forwarding.signal.aborted) return sendAborted(forwarding);
  if (!forwarding.mayHaveRun) return sendFinal(forwarding, 'not_run', STALE_RETRY_MS);
  const { failure, reply } = forwarding;
  if (failure === undefined || reply.isStreaming) return sendFinal(forwarding, 'broken');
  reply.sendAnswer(failure.head, failure.body);
  return 'answered';
}

/**
 * Ends a request with an answer of the gateway's own.
 *
 * @param forwarding - The request
 * @param code - Cause
 * @param retryAfterMs - When the caller may come back
 * @returns The cause
 */
export function sendFinal(
  forwarding: Forwarding,
  code: OwnAnswerCode,
  retryAfterMs?: number,
): FinalOutcome {
  forwarding.reply.sendOwn(code, retryAfterMs);
  return code;
}
