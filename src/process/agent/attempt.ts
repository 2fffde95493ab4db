import type { PeerLink } from '../../connection/peerLink.js';
import type { RequestError } from '../../errors.js';
import { createError } from '../../errors.js';
import type { MessageOf } from '../../protocol/messages.js';

export type StopReason = 'preempt' | 'cancel' | 'timeout' | 'stalled' | 'drain';

/** One attempt of an entry's request at this agent. */
export interface Attempt {
  readonly message: MessageOf<'request'>;
  readonly link: PeerLink;
  readonly acceptedAt: number;
  exclusive: boolean;
  /** Exchanges so far; each has its own id, so that a late cancel cannot hit a later one. */
  exchanges: number;
  /** The request has reached the upstream at least once. */
  started: boolean;
  /** An exchange is running at present. */
  abort: AbortController | undefined;
  stopReason: StopReason | undefined;
  crashRecorded: boolean;
  chunks: number;
  generatedTokens: number;
  text: string;
  deadlineTimer: NodeJS.Timeout | undefined;
}

/** Codes and texts for exchanges that the agent itself ended. */
export const stopErrors: Readonly<Record<Exclude<StopReason, 'preempt'>, RequestError>> = {
  cancel: createError('cancelled', 'cancelled by the entry'),
  timeout: createError('timeout', 'deadline passed before the answer was complete'),
  stalled: createError('upstream_failed', 'upstream makes no progress', 1_000),
  drain: createError('upstream_failed', 'agent stopped before the answer was complete', 1_000),
};

/**
 * Creates the state of a new attempt.
 *
 * @param message - Request of the entry
 * @param link - Link for the answer
 * @param exclusive - Starts only while nothing else runs
 * @param now - Milliseconds
 * @returns The attempt
 */
export function createAttempt(
  message: MessageOf<'request'>,
  link: PeerLink,
  exclusive: boolean,
  now: number,
): Attempt {
  return {
    message,
    link,
    acceptedAt: now,
    exclusive,
    exchanges: 0,
    started: false,
    abort: undefined,
    stopReason: undefined,
    crashRecorded: false,
    chunks: 0,
    generatedTokens: 0,
    text: '',
    deadlineTimer: undefined,
  };
}
