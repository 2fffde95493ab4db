import type { PeerLink } from '../../connection/peerLink.js';
import type { AttemptId, WorkspaceId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { MessageHandlers } from '../../connection/peerLink.js';
import type { MessageOf } from '../../protocol/messages.js';
import type { ErrorCode } from '../../errors.js';
import { errorTraits } from '../../errors.js';
import type { Metrics } from '../metrics.js';
import type { AgentState } from './agentState.js';

/** How an attempt ended; only `end` stands for a complete response. */
export type AttemptOutcome =
  | { readonly kind: 'end'; readonly end: MessageOf<'end'> }
  | {
      readonly kind: 'fail';
      readonly code: ErrorCode;
      readonly message: string;
      readonly started: boolean;
      readonly retryAfterMs?: number | undefined;
    };

interface OpenAttempt {
  readonly agent: AgentState;
  readonly link: PeerLink;
  nextSequence: number;
  readonly onTokens: (tokens: readonly string[]) => void;
  readonly settle: (outcome: AttemptOutcome) => void;
}

export interface AttemptOptions {
  readonly agent: AgentState;
  readonly request: MessageOf<'request'>;
  readonly onTokens: (tokens: readonly string[]) => void;
  /** Cancels the attempt, here and at the agent. */
  readonly signal: AbortSignal;
  readonly now: number;
}

/** Tracks open attempts by id; messages of any other attempt are dropped and counted. */
export class AttemptTable {
  private readonly open = new Map<string, OpenAttempt>();

  constructor(private readonly metrics: Metrics) {}

  /** Handlers of the messages with which agents respond to attempts. */
  readonly handlers: MessageHandlers = {
    chunk: (message) => {
      this.handleChunk(message);
    },
    end: (message) => {
      this.handleEnd(message);
    },
    fail: (message) => {
      this.handleFail(message);
    },
  };

  get size(): number {
    return this.open.size;
  }

  /**
   * Runs one attempt.
   *
   * @param options - Agent, request, token listener and abort signal
   * @returns How it ended; an aborted attempt fails with `cancelled`
   */
  run(options: AttemptOptions): Promise<AttemptOutcome> {
    const { agent, request, signal } = options;
    const { link } = agent;
    const id = request.attempt as AttemptId;
    if (link?.send(request) !== true)
      return Promise.resolve(createTruncatedOutcome('link is down', false));
    agent.recordSend(id, toId<WorkspaceId>(request.workspace), request.cost, options.now);
    return new Promise((resolve) => {
      const cancel = (): void => {
        link.send({ type: 'cancel', attempt: id });
        settle({ kind: 'fail', code: 'cancelled', message: 'attempt cancelled', started: true });
      };
      const settle = (outcome: AttemptOutcome): void => {
        this.open.delete(id);
        agent.recordOutcome(id);
        signal.removeEventListener('abort', cancel);
        resolve(outcome);
      };
      this.open.set(id, { agent, link, nextSequence: 0, onTokens: options.onTokens, settle });
      signal.addEventListener('abort', cancel, { once: true });
      if (signal.aborted) cancel();
    });
  }

  /**
   * Fails all attempts on a closed link.
   *
   * @param link - The closed link
   */
  failLink(link: PeerLink): void {
    for (const attempt of [...this.open.values()])
      if (attempt.link === link)
        attempt.settle(createTruncatedOutcome('link to the agent broke', true));
  }

  /**
   * Fails the attempts on stalled agents, so that they are resumed on other agents.
   *
   * @param now - Current time in milliseconds
   */
  failStalled(now: number): void {
    for (const [id, attempt] of [...this.open])
      if (attempt.agent.isStalled(now)) this.failAttempt(id, attempt, 'agent makes no progress');
  }

  private handleChunk(message: MessageOf<'chunk'>): void {
    const attempt = this.find(message.attempt);
    if (attempt === undefined) return;
    if (message.sequence !== attempt.nextSequence) {
      this.failAttempt(message.attempt, attempt, 'chunk out of sequence');
      return;
    }
    attempt.nextSequence += 1;
    attempt.agent.recordProgress(Date.now());
    attempt.onTokens(message.tokens);
  }

  private handleEnd(message: MessageOf<'end'>): void {
    const attempt = this.find(message.attempt);
    if (attempt === undefined) return;
    if (message.chunks !== attempt.nextSequence) {
      this.failAttempt(message.attempt, attempt, 'end marker does not match the chunks');
      return;
    }
    attempt.agent.recordProgress(Date.now());
    attempt.settle({ kind: 'end', end: message });
  }

  private handleFail(message: MessageOf<'fail'>): void {
    const attempt = this.find(message.attempt);
    if (attempt === undefined) return;
    const code = message.code in errorTraits ? (message.code as ErrorCode) : 'internal';
    if (code === 'draining') attempt.agent.markDraining();
    const { started, retryAfterMs } = message;
    attempt.settle({ kind: 'fail', code, message: message.message, started, retryAfterMs });
  }

  private find(id: string): OpenAttempt | undefined {
    const attempt = this.open.get(id);
    if (attempt === undefined) this.metrics.addCount('late_messages_dropped');
    return attempt;
  }

  private failAttempt(id: string, attempt: OpenAttempt, reason: string): void {
    this.metrics.addCount('broken_attempts');
    attempt.link.send({ type: 'cancel', attempt: id });
    attempt.settle(createTruncatedOutcome(reason, true));
  }
}

function createTruncatedOutcome(message: string, started: boolean): AttemptOutcome {
  return { kind: 'fail', code: 'answer_cut', message, started };
}
