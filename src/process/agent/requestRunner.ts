import type { PeerLink } from '../../connection/peerLink.js';
import type { ErrorCode, RequestError } from '../../errors.js';
import { createError } from '../../errors.js';
import type { MessageOf } from '../../protocol/messages.js';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';
import type { Attempt, StopReason } from './attempt.js';
import { createAttempt, stopErrors } from './attempt.js';
import type { Dispatcher } from './dispatcher.js';
import type { SuspectTable } from './suspectTable.js';
import type { ExchangeResult, UpstreamAdapter } from './upstreams/types.js';

export interface RequestContext {
  readonly dispatcher: Dispatcher;
  readonly suspects: SuspectTable;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly readClock: () => number;
  readonly getAdapter: () => UpstreamAdapter | undefined;
  readonly getMaxOutputTokens: () => number;
  /** Computes the engine priority for new work of a workspace. */
  readonly computePriority: (workspace: string) => number;
  /** Returns an error when the request must be refused. */
  readonly checkAdmission: (message: MessageOf<'request'>) => RequestError | undefined;
  readonly onTokens: () => void;
  readonly onUpstreamUnavailable: () => void;
}

/** Runs repeatable requests: admits and queues them, streams tokens, resumes preempted streams and replies. */
export class RequestRunner {
  private readonly attempts = new Map<string, Attempt>();

  constructor(private readonly context: RequestContext) {}

  get count(): number {
    return this.attempts.size;
  }

  /** Number of exchanges running at the upstream. */
  get runningCount(): number {
    let count = 0;
    for (const attempt of this.attempts.values()) if (attempt.abort !== undefined) count += 1;
    return count;
  }

  /**
   * Accepts or refuses an attempt.
   *
   * @param message - Attempt from an entry
   * @param link - Link for the response
   */
  accept(message: MessageOf<'request'>, link: PeerLink): void {
    if (this.attempts.has(message.attempt)) return;
    const { dispatcher, metrics, readClock, checkAdmission } = this.context;
    const now = readClock();
    const refusal = checkAdmission(message) ?? this.checkPoisonRequest(message, now);
    const isSuspect = this.context.suspects.decide(message.fingerprint, now) === 'exclusive';
    const exclusive = isSuspect || message.suspect === true;
    const attempt = createAttempt(message, link, exclusive, now);
    metrics.addCount('requests');
    if (refusal !== undefined) {
      this.fail(attempt, refusal);
      return;
    }
    this.attempts.set(message.attempt, attempt);
    const accepted = dispatcher.accept(this.createJob(attempt, now), now);
    if (accepted.isErr()) {
      this.fail(attempt, accepted.error);
      return;
    }
    if (!this.attempts.has(message.attempt)) return;
    attempt.deadlineTimer = setTimeout(() => {
      this.stop(attempt, 'timeout');
    }, message.remainingMs);
  }

  /**
   * Ends an attempt that the entry no longer needs.
   *
   * @param id - Attempt id
   * @param link - Link of the cancelling entry; an attempt can be cancelled only over its own link
   */
  cancel(id: string, link: PeerLink): void {
    const attempt = this.attempts.get(id);
    if (attempt?.link === link) this.stop(attempt, 'cancel');
  }

  /**
   * Cancels all attempts of a closed link.
   *
   * @param link - Closed link
   */
  cancelAttemptsOfLink(link: PeerLink): void {
    for (const attempt of [...this.attempts.values()]) {
      if (attempt.link === link) this.stop(attempt, 'cancel');
    }
  }

  /**
   * Ends all attempts with the error for the given reason.
   *
   * @param reason - Stalled upstream, or end of the drain
   */
  stopAll(reason: 'stalled' | 'drain'): void {
    for (const attempt of [...this.attempts.values()]) this.stop(attempt, reason);
  }

  private createJob(attempt: Attempt, now: number) {
    const { message } = attempt;
    return {
      id: message.attempt,
      workspace: message.workspace,
      get cost() {
        return Math.max(1, message.cost - attempt.generatedTokens);
      },
      expiresAt: now + message.remainingMs,
      get exclusive() {
        return attempt.exclusive;
      },
      preemptible: message.kind === 'chat',
      run: () => this.run(attempt),
      refuse: (error: RequestError) => {
        this.fail(attempt, error);
      },
      refuseInDrain: (error: RequestError) => {
        this.fail(attempt, error);
      },
      expire: () => {
        this.fail(attempt, stopErrors.timeout);
      },
      preempt: () => {
        this.context.metrics.addCount('preemptions');
        this.stop(attempt, 'preempt');
      },
    };
  }

  private async run(attempt: Attempt): Promise<'finished' | 'requeue'> {
    const { message } = attempt;
    const { readClock, metrics, suspects } = this.context;
    const adapter = this.context.getAdapter();
    if (adapter === undefined) {
      this.fail(attempt, createError('upstream_refused', 'service is not configured'));
      return 'finished';
    }
    const now = readClock();
    // The request may have become a suspect while it was queued.
    const refusal = this.checkPoisonRequest(message, now);
    if (refusal !== undefined) {
      this.fail(attempt, refusal);
      return 'finished';
    }
    if (!attempt.exclusive && suspects.decide(message.fingerprint, now) === 'exclusive') {
      attempt.exclusive = true;
      return 'requeue';
    }
    if (attempt.generatedTokens === 0) metrics.recordLatency('queue', now - attempt.acceptedAt);
    const abort = new AbortController();
    attempt.abort = abort;
    attempt.stopReason = undefined;
    attempt.crashRecorded = false;
    attempt.exchanges += 1;
    const end = await adapter.run({
      id: `${message.attempt}.${attempt.exchanges}`,
      body: message.body,
      resumeAfter: message.resumeAfter + attempt.generatedTokens,
      resumeText: message.resumeText + attempt.text,
      priority: this.context.computePriority(message.workspace),
      maxOutputTokens: this.context.getMaxOutputTokens(),
      isExpired: () => this.context.readClock() >= attempt.acceptedAt + message.remainingMs,
      signal: abort.signal,
      onTokens: (tokens) => {
        this.sendTokens(attempt, tokens);
      },
    });
    attempt.abort = undefined;
    return this.finishRun(attempt, end);
  }

  private finishRun(attempt: Attempt, end: ExchangeResult): 'finished' | 'requeue' {
    // The failure of a cancelled or timed-out attempt has already been reported.
    if (!this.attempts.has(attempt.message.attempt)) return 'finished';
    if (end.kind === 'done') {
      this.end(attempt, end);
      return 'finished';
    }
    attempt.started ||= end.started;
    if (attempt.stopReason === 'preempt' && end.code === 'cancelled') return 'requeue';
    const now = this.context.readClock();
    if (end.possibleCrash && !attempt.crashRecorded) this.recordCrash(attempt, now);
    // An engine that refuses a request gets no more work until it shows progress again.
    const refused = end.code === 'upstream_refused' && attempt.message.kind === 'chat';
    if (end.unreachable || refused) this.context.onUpstreamUnavailable();
    const poisonError = end.possibleCrash
      ? this.checkPoisonRequest(attempt.message, now)
      : undefined;
    this.fail(attempt, poisonError ?? createError(end.code, end.message));
    return 'finished';
  }

  private stop(attempt: Attempt, reason: StopReason): void {
    attempt.stopReason = reason;
    attempt.started ||= attempt.abort !== undefined;
    attempt.abort?.abort();
    if (reason === 'preempt') return;
    this.context.dispatcher.remove(attempt.message.attempt);
    this.fail(attempt, stopErrors[reason]);
  }

  private sendTokens(attempt: Attempt, tokens: string[]): void {
    const { message, link } = attempt;
    if (!this.attempts.has(message.attempt)) return;
    if (attempt.generatedTokens === 0) {
      const elapsed = this.context.readClock() - attempt.acceptedAt;
      this.context.metrics.recordLatency('firstToken', elapsed);
    }
    attempt.started = true;
    // A resumed suspect is now past the token at which the upstream crashed, so other jobs may run alongside it.
    attempt.exclusive = false;
    attempt.generatedTokens += tokens.length;
    attempt.text += tokens.join('');
    link.send({ type: 'chunk', attempt: message.attempt, sequence: attempt.chunks, tokens });
    attempt.chunks += 1;
    this.context.metrics.addCount('tokens', tokens.length);
    this.context.onTokens();
  }

  private end(attempt: Attempt, end: Extract<ExchangeResult, { kind: 'done' }>): void {
    const { message, link, chunks } = attempt;
    const { suspects, metrics, readClock } = this.context;
    this.removeAttempt(attempt);
    suspects.clear(message.fingerprint);
    metrics.addCount('completed');
    metrics.recordLatency('total', readClock() - attempt.acceptedAt);
    this.context.onTokens();
    const outputTokens = message.resumeAfter + attempt.generatedTokens;
    const { status, body, finishReason, promptTokens } = end;
    const usage = { promptTokens, outputTokens };
    const answer = { attempt: message.attempt, chunks, status, body, finishReason, usage };
    link.send({ type: 'end', ...answer });
  }

  private fail(attempt: Attempt, error: RequestError): void {
    const { message, link, started } = attempt;
    this.removeAttempt(attempt);
    this.context.metrics.addCount(`failed.${error.code}`);
    const retryFields =
      error.retryAfterMs === undefined ? {} : { retryAfterMs: error.retryAfterMs };
    const { code, message: text } = error;
    link.send({
      type: 'fail',
      attempt: message.attempt,
      code,
      message: text,
      started,
      ...retryFields,
    });
  }

  private removeAttempt(attempt: Attempt): void {
    clearTimeout(attempt.deadlineTimer);
    this.attempts.delete(attempt.message.attempt);
  }

  /** One crash breaks all connections, so it is recorded once for all requests in flight. */
  private recordCrash(first: Attempt, now: number): void {
    const inFlight = [first.message.fingerprint];
    for (const attempt of this.attempts.values()) {
      if (attempt.abort === undefined || attempt.crashRecorded) continue;
      attempt.crashRecorded = true;
      inFlight.push(attempt.message.fingerprint);
    }
    this.context.suspects.recordCrash(inFlight, first.exclusive, now);
    this.context.metrics.addCount('crashes');
    const fields = { inFlight: inFlight.length, alone: first.exclusive };
    this.context.logger.warn(fields, 'upstream crashed; in-flight requests marked as suspects');
  }

  private checkPoisonRequest(message: MessageOf<'request'>, now: number): RequestError | undefined {
    if (this.context.suspects.decide(message.fingerprint, now) !== 'refuse') return undefined;
    const code: ErrorCode = 'poisonous_request';
    return createError(code, 'this request crashed the upstream repeatedly');
  }
}
