import type { UpstreamId, UpstreamIncarnation } from '../../ids.js';
import { toId } from '../../ids.js';
import type { ResponseHead } from '../../process/gateway/types.js';
import type { UpstreamStart } from '../../process/gateway/leavingUpstreams.js';
import type { UpstreamDirectory } from '../../process/gateway/upstreamDirectory.js';
import type { Logger } from '../../process/logging.js';
import type { Metrics } from '../../process/metrics.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { UpstreamEntry } from '../../version/routing/types.js';
import { toIncarnation } from '../rateLimit/types.js';
import type { UpstreamBalancer } from './upstreamBalancer.js';

/** Bounds the memory of what has been logged. */
const MAX_LOGGED_UPSTREAMS = 1_000;

export interface UpstreamStatementsOptions {
  readonly directory: Pick<UpstreamDirectory, 'markLeaving' | 'listLeaving'>;
  readonly balancer: Pick<UpstreamBalancer, 'pauseUpstream'>;
  /** Longest pause that an upstream may ask for, in milliseconds; a longer one is cut to it. */
  readonly maxPauseMs: number;
  /** Sends a message to all gateways that know its type. */
  readonly broadcast: (message: Message) => void;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A response whose head has been received. */
export interface StatedResponse {
  readonly upstream: UpstreamEntry;
  readonly head: ResponseHead;
  /** Id of the request that was sent. */
  readonly requestId: string | undefined;
}

/** Applies what upstreams state in their responses about new requests: that they leave, or want none for a while. */
export class UpstreamStatements {
  /** Upstreams whose invalid statement has been logged. */
  private readonly invalidUpstreams = new Set<UpstreamIncarnation>();

  constructor(private readonly options: UpstreamStatementsOptions) {}

  /**
   * Applies the statements in the head of a response.
   *
   * @param response - The response and the request that it answers
   * @param now - Current time in milliseconds
   */
  observeResponse({ upstream, head, requestId }: StatedResponse, now: number): void {
    const { leaving, retryAfter } = head;
    if (leaving === 'none' && retryAfter.kind === 'none') return;
    const isOwn = head.requestId === requestId && !head.isEncoded;
    if (head.isInstanceMismatch || (!isOwn && !head.isNotExecuted)) {
      this.options.metrics.addCount('upstream_statements_foreign');
      return;
    }
    if (leaving === 'stated') this.recordLeaving(upstream);
    if (leaving === 'invalid' || retryAfter.kind === 'invalid') {
      this.logInvalid(upstream, retryAfter.kind === 'invalid' ? retryAfter.text : '');
    }
    if (retryAfter.kind === 'stated') this.recordPause(upstream, retryAfter.delayMs, now);
  }

  /**
   * Applies that an upstream leaves, as it has told this gateway.
   *
   * @param upstream - Start of the upstream
   */
  recordLeaving(upstream: UpstreamStart): void {
    if (!this.options.directory.markLeaving(upstream)) return;
    this.options.metrics.addCount('upstream_leaving_stated');
    this.options.logger.info({ upstream: upstream.id, source: 'response' }, 'upstream leaves');
    this.options.broadcast(encodeLeaving(upstream));
  }

  /**
   * Applies that an upstream leaves, as it has told another gateway.
   *
   * @param message - Received message
   * @param sender - Process id of the other gateway
   */
  receiveLeaving(message: MessageOf<'upstreamLeaving'>, sender: string): void {
    const upstream = toId<UpstreamId>(message.upstream);
    const { startedAt } = message;
    if (!this.options.directory.markLeaving({ id: upstream, startedAt })) return;
    this.options.logger.info({ upstream, source: sender }, 'upstream leaves');
  }

  /**
   * Creates the messages for a gateway that has just been linked.
   *
   * @returns A message for each upstream that leaves
   */
  createMessages(): Message[] {
    return this.options.directory.listLeaving().map(encodeLeaving);
  }

  private logInvalid(upstream: UpstreamEntry, value: string): void {
    this.options.metrics.addCount('upstream_statements_invalid');
    const incarnation = toIncarnation(upstream);
    if (this.invalidUpstreams.has(incarnation)) return;
    if (this.invalidUpstreams.size >= MAX_LOGGED_UPSTREAMS) this.invalidUpstreams.clear();
    this.invalidUpstreams.add(incarnation);
    this.options.logger.warn(
      { upstream: upstream.id, value },
      'ignored an invalid statement of an upstream',
    );
  }

  private recordPause(upstream: UpstreamEntry, statedMs: number, now: number): void {
    const pauseMs = Math.min(statedMs, this.options.maxPauseMs);
    this.options.balancer.pauseUpstream(upstream, now + pauseMs, now);
    this.options.metrics.addCount('upstream_pauses');
    this.options.logger.info({ upstream: upstream.id, pauseMs }, 'upstream wants a pause');
  }
}

function encodeLeaving({ id, startedAt }: UpstreamStart): Message {
  return {
    type: 'upstreamLeaving',
    upstream: id,
    ...(startedAt === undefined ? {} : { startedAt }),
  };
}
