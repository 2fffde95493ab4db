import type { PeerLink } from '../../connection/peerLink.js';
import type { RequestError } from '../../errors.js';
import { createError } from '../../errors.js';
import type { MessageOf } from '../../protocol/messages.js';

export type StopReason = 'preempt' | 'cancel' | 'timeout' | 'stalled' | 'drain';

/** State of one attempt that an entry sent to this agent. */
export interface Attempt {
  readonly message: MessageOf<'request'>;
  readonly link: PeerLink;
  readonly acceptedAt: number;
  exclusive: boolean;
  /** Exchanges started so far. Each has its own id, so that a delayed cancel cannot end a later one. */
  exchanges: number;
  /** The request has reached the upstream at least once. */
  started: boolean;
  /** Set while an exchange is running. */
  abort: AbortController | undefined;
  stopReason: StopReason | undefined;
  crashRecorded: boolean;
  chunks: number;
  generatedTokens: number;
  text: string;
  deadlineTimer: NodeJS.Timeout | undefined;
}

/** Errors reported for attempts that the agent ended itself. */
export const stopErrors: Readonly<Record<Exclude<StopReason, 'preempt'>, RequestError>> = {
  cancel: createError('cancelled', 'cancelled by the entry'),
  timeout: createError('timeout', 'deadline passed before the response was complete'),
  stalled: createError('upstream_failed', 'upstream is not making progress', 1_000),
  drain: createError('upstream_failed', 'agent stopped before the response was complete', 1_000),
};

/**
 * Creates the state of a new attempt.
 *
 * @param message - Request from the entry
 * @param link - Link for the response
 * @param exclusive - Starts only while nothing else runs at the upstream
 * @param now - Current time in milliseconds
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
