import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Logger } from '../../process/logging.js';
import type { Metrics } from '../../process/metrics.js';
import type { ConfigurationCache } from '../../process/gateway/configurationCache.js';
import type { GracefulStop } from '../../process/gateway/gracefulStop.js';
import type { UpstreamDirectory } from '../../process/gateway/upstreamDirectory.js';
import type { ResponseHead, HeaderCodec } from '../../process/gateway/types.js';
import type { CallerMemory } from '../../connection/callerMemory.js';
import type { ReadFlow } from '../../connection/readScheduler.js';
import type { RequestReader } from '../../connection/requestReader.js';
import type { ServiceId } from '../../ids.js';
import type { UpstreamStatements } from '../admission/upstreamStatements.js';
import type { UpstreamBalancer } from '../admission/upstreamBalancer.js';
import type { AdmissionQueue } from '../admission/admissionQueue.js';
import type { CrashContainment } from '../containment/crashContainment.js';
import type { BufferBudget } from './bufferBudget.js';
import type { RequestDurations } from './requestDurations.js';
import type { ListenerProbes } from './listenerProbes.js';
import type { RateLimitObserver } from '../rateLimit/rateLimitObserver.js';
import type { SlidingWindowBudget } from '../retry/slidingWindowBudget.js';

/** Bounds on what one response may hold in memory. */
export interface ResponseLimits {
  /** Head and framing, in bytes. */
  readonly maxFramingBytes: number;
  /** Body that is not a stream, in bytes. */
  readonly maxBodyBytes: number;
  /** One event of a stream, and bytes of a stream without a new event. */
  readonly maxEventBytes: number;
}

/** State shared by all requests of a gateway. */
export interface ForwardingContext {
  readonly configurationCache: ConfigurationCache;
  readonly directory: UpstreamDirectory;
  readonly balancer: UpstreamBalancer;
  readonly statements: UpstreamStatements;
  readonly crashes: CrashContainment;
  readonly listenerProbes: ListenerProbes;
  readonly rateLimits: RateLimitObserver;
  readonly responseLimits: ResponseLimits;
  readonly responseBuffers: BufferBudget;
  /** Bytes of a stream that a slow caller may leave unread before its upstream is paused. */
  readonly maxUnreadBytes: number;
  readonly codec: HeaderCodec;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Monotonic clock that includes time suspended, in milliseconds. */
  readClock(): number;
  /** Whether this process was paused shortly before. */
  hasPaused(): boolean;
  /** False after start-up until the initial configuration is known and may be relied on. */
  isConfigured(): boolean;
  /** Waits after start-up for the initial configuration and upstream list. */
  waitUntilConfigured(timeoutMs: number): Promise<void>;
  getQueue(service: ServiceId): AdmissionQueue;
  /** Responses of one service share its part of the time for reading. */
  getReadFlow(service: ServiceId): ReadFlow;
  getRepeatBudget(service: ServiceId): SlidingWindowBudget;
  /** The graceful stop of the process. */
  readonly stop: Pick<
    GracefulStop,
    'isDraining' | 'limitMs' | 'computeElapsedMs' | 'computeRemainingMs' | 'computeReturningMs'
  >;
  readonly durations: RequestDurations;
  /** Whether the response of an exchange has to wait for that to an earlier request on the connection. */
  isBehindOther(exchange: CallerExchange): boolean;
  /** Decides whether the response of an exchange announces the close of its connection. */
  tryAnnounceClose(exchange: CallerExchange): boolean;
  /** Discards the rest of a body that is refused. */
  discardBody(exchange: CallerExchange): void;
  /** Whether the connection of an exchange ends because the rest of a refused body is not read. */
  hasUnreadBody(exchange: CallerExchange): boolean;
  /** Memory that the callers of this process share. */
  readonly callerMemory: CallerMemory;
}

/** How far the gateway has come with a request. */
export type RequestPhase =
  /** Waits for the first configuration, or its body is being read. */
  | 'reading'
  /** Waits for capacity, or between two attempts. */
  | 'waiting'
  /** Was sent to an upstream; nothing of the response has been passed on. */
  | 'sent'
  /** A part of the response has been passed on. */
  | 'responding'
  /** The response has ended; its caller has not read all of it. */
  | 'delivering';

/** What is known of a request before its response has been handed to the operating system. */
export interface RequestProgress {
  /** Empty until the headers have been decoded. */
  requestId: string;
  readonly arrivedAt: number;
  phase: RequestPhase;
  /** Decides whether a request that waits, or whose body is being read, has time to run before the process stops. */
  hasTime: (now: number) => boolean;
}

/** One caller's request and the response to it. */
export interface CallerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Reads the connection of the request. */
  readonly reader: Pick<RequestReader, 'suspend' | 'resume'>;
  readonly progress: RequestProgress;
  /** Aborts the request with an `AbortReason`. */
  readonly controller: AbortController;
}

/**
 * Why a request was aborted: its caller disconnected, its time limit was reached, it would crash its upstream, the process
 * stops, or its stream is too large to be kept for a caller that reads no chunks.
 */
export type AbortReason = 'caller_gone' | 'time_limit' | 'suspect' | 'stopping' | 'too_large';

/** How far the response of an attempt had come. */
export interface ResponseProgress {
  readonly hasHead: boolean;
  /** New events of a stream. */
  readonly events: number;
  /** Bytes read from the connection, head and framing included. */
  readonly receivedBytes: number;
  /** Bytes of the body. */
  readonly bodyBytes: number;
  /** Parts in which the parser delivered the body; a chunk is at least one. */
  readonly bodyParts: number;
  /** Time that reading the response has taken, in milliseconds. */
  readonly readMs: number;
}

/** What a response violated, or how it ended early. */
export type BreakCode =
  /** The response has the id of another request, no signature, or an encoding that was not asked for. */
  | 'head'
  /** The status is one that HTTP does not define, or that the request did not ask for. */
  | 'status'
  /** Head or framing exceed their limit. */
  | 'framing'
  /** The body exceeds its limit. */
  | 'body_size'
  /** An event, or bytes without a new event, exceed their limit. */
  | 'event_size'
  /** An event has no id, or one that is not the next. */
  | 'event_order'
  /** No memory is left for the response. */
  | 'memory'
  /** The connection ended within the response. */
  | 'truncated'
  /** The end of a response without a length may be that of its upstream. */
  | 'unproven';

/** Outcome of one attempt at an upstream. */
export type AttemptOutcome =
  /** Complete response that is not an event stream. */
  | { readonly kind: 'answered'; readonly head: ResponseHead; readonly body: Buffer }
  /** Event stream that ended as its framing declares; all events were forwarded. */
  | { readonly kind: 'streamed'; readonly head: ResponseHead }
  /** No byte of the request left this process. */
  | { readonly kind: 'not_sent'; readonly reason: string }
  /** The upstream reported that the request has not run. */
  | { readonly kind: 'not_run'; readonly head: ResponseHead; readonly reason: string }
  /** The request may have run, but no complete response was received. */
  | {
      readonly kind: 'broken';
      readonly code: BreakCode;
      readonly reason: string;
      readonly progress: ResponseProgress;
    }
  | {
      readonly kind: 'aborted';
      readonly reason: AbortReason;
      readonly progress: ResponseProgress;
    };
