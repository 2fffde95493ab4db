import { errors } from 'undici';
import { BodyBuffer } from '../../connection/bodyBuffer.js';
import type { CallerMemory } from '../../connection/callerMemory.js';
import { RESERVED_BYTES as RESERVED_HOLD_BYTES } from '../../connection/callerMemory.js';
import { ProcessWitness } from '../../connection/processWitness.js';
import {
  bodylessStatuses,
  InvalidStatusError,
  isStatusAskedFor,
} from '../../connection/responseFraming.js';
import type { ResponseHead, HeaderCodec } from '../../process/gateway/types.js';
import type { BufferBudget } from './bufferBudget.js';
import { RESERVED_BYTES } from './bufferBudget.js';
import { EventSplitter } from './eventSplitter.js';
import type {
  AbortReason,
  AttemptOutcome,
  BreakCode,
  ResponseLimits,
  ResponseProgress,
} from './types.js';
import type { ExchangeRequest } from './upstreamExchange.js';
import { FramingError, UpstreamExchange } from './upstreamExchange.js';

const OK_STATUS = 200;
/** What a comment or an event costs beyond its bytes. */
const EVENT_COST_BYTES = 64;
const STREAM_TYPE = /^text\/event-stream/i;
const COMMENT_EVENT = /^(:[^\n]*\n)+\r?\n$/;

export interface AttemptOptions {
  readonly request: Omit<ExchangeRequest, 'maxFramingBytes'>;
  readonly limits: ResponseLimits;
  /** Memory shared by the responses of the process. */
  readonly buffers: BufferBudget;
  /** Memory shared with what callers make the process hold. */
  readonly memory: CallerMemory;
  /** Responses of one group get memory after those of groups that hold less. */
  readonly group: string;
  readonly readClock: () => number;
  readonly codec: HeaderCodec;
  readonly requestId: string | undefined;
  /** Id of the last event that the caller has received; events up to it are skipped. */
  readonly lastEventId: number;
  /** Aborted with an `AbortReason`. */
  readonly signal: AbortSignal;
  /** Checks right before the request is sent whether its deadline has passed; the timer of the deadline may be late. */
  isExpired(): boolean;
  /** Whether this process was paused shortly before, so that what it reads may be older than it seems. */
  hasPaused(): boolean;
  /** Called with status and headers of the response, before they are validated. */
  onHead(head: ResponseHead): void;
  /**
   * Called for each event of a stream, in order and without gaps.
   *
   * @param head - Status and headers of the response that contains the event
   * @returns If the caller reads too slowly, a promise that resolves when it has caught up
   */
  onEvent(head: ResponseHead, id: number, bytes: Buffer): Promise<void> | undefined;
  /** Called for comments between events; they are no progress. Returns as `onEvent` does. */
  onComment(head: ResponseHead, bytes: Buffer): Promise<void> | undefined;
  /**
   * Called at the orderly end of a response that has neither a length nor chunks.
   *
   * @param isComplete - Whether the upstream has outlived the response, so that the end was meant
   */
  onUnframedEnd(isComplete: boolean): void;
}

/**
 * Sends a request to one upstream and reads the response to its end.
 *
 * @param options - Request, values to verify and event listener
 * @returns Outcome of the attempt
 */
export function runAttempt(options: AttemptOptions): Promise<AttemptOutcome> {
  return new Promise((resolve) => {
    const reader = new ResponseReader(options);
    let witness: ProcessWitness | undefined;
    const settle = (outcome: AttemptOutcome): void => {
      options.signal.removeEventListener('abort', abort);
      witness?.close();
      reader.releaseBuffers();
      hold.release();
      exchange.abort();
      resolve(outcome);
    };
    const abort = (): void => {
      settle(reader.createAborted(options.signal.reason as AbortReason));
    };
    const pauseUntil = async (caughtUp: Promise<void>): Promise<void> => {
      exchange.pause();
      await caughtUp;
      exchange.resume();
    };
    const settleFinished = async (outcome: AttemptOutcome): Promise<void> => {
      if (witness !== undefined && isWhole(outcome)) {
        const isComplete = await witness.confirm();
        options.onUnframedEnd(isComplete);
        settle(isComplete ? outcome : reader.createUnproven());
      } else {
        settle(outcome);
      }
    };
    const { maxFramingBytes } = options.limits;
    const exchange = new UpstreamExchange(
      { ...options.request, maxFramingBytes },
      {
        confirmSend: () => {
          const isExpired = options.isExpired();
          if (isExpired) settle(reader.createAborted('time_limit'));
          return !isExpired;
        },
        onHead: (status, headers) => {
          const head = options.codec.decodeResponse(status, headers);
          options.onHead(head);
          const fault = reader.acceptHead(head);
          if (fault !== undefined) settle(fault);
          else if (endsWithConnection(head, options.request.method))
            witness = new ProcessWitness({ ...options, address: options.request.address });
        },
        onData: (data) => {
          const fault = reader.acceptData(data);
          if (Math.max(reader.keptBytes, hold.size) > RESERVED_HOLD_BYTES)
            hold.resize(reader.keptBytes, options.readClock());
          if (fault !== undefined) settle(fault);
          else if (reader.callerCaughtUp !== undefined) void pauseUntil(reader.callerCaughtUp);
        },
        onRead: (bytes, tookMs) => {
          reader.recordRead(bytes, tookMs);
        },
        onEnd: (isComplete, error) => {
          if (!exchange.mayHaveSent) {
            settle({ kind: 'not_sent', reason: error?.message ?? 'connection failed' });
          } else {
            void settleFinished(reader.finish(isComplete, error));
          }
        },
      },
    );
    const { memory, group, readClock } = options;
    const hold = memory.open(
      {
        kind: 'upstream',
        group,
        suspend: () => {
          exchange.pause();
        },
        resume: () => {
          exchange.resume();
        },
        evict: () => {
          settle(reader.createOutOfMemory());
        },
      },
      readClock(),
    );
    if (options.signal.aborted) {
      abort();
      return;
    }
    options.signal.addEventListener('abort', abort);
    exchange.start();
  });
}

/** Reads and validates one response as it arrives. */
class ResponseReader {
  private head: ResponseHead | undefined;
  private body = new BodyBuffer(NaN);
  private readonly splitter = new EventSplitter();
  private isStream = false;
  private lastEventId: number;
  private events = 0;
  private receivedBytes = 0;
  private bodyBytes = 0;
  private bodyParts = 0;
  private readMs = 0;
  private takenBytes = 0;
  /** Cost in bytes of comments, and of events that the caller has already received, since the last new event. */
  private repeatedBytes = 0;
  /** Set by the last read if the caller is too slow to receive more. */
  callerCaughtUp: Promise<void> | undefined;

  constructor(private readonly options: AttemptOptions) {
    this.lastEventId = options.lastEventId;
  }

  acceptHead(head: ResponseHead): AttemptOutcome | undefined {
    this.head = head;
    const isOwn = head.requestId === this.options.requestId;
    // Upstreams need not repeat the id of a request that they refuse.
    if (head.isNotExecuted && (isOwn || head.requestId === undefined)) {
      return { kind: 'not_run', head, reason: describeRefusal(head) };
    }
    if (!isOwn) return this.createBroken('head', 'response has the id of another request');
    const isSuccess = head.status >= OK_STATUS && head.status < 300;
    if (!isStatusAskedFor(head.status, this.options.request.headers))
      return this.createBroken('status', `response has the status ${head.status} unasked`);
    if (head.isEncoded) return this.createBroken('head', 'response has a content encoding');
    if (isSuccess && !head.isSigned)
      return this.createBroken('head', 'successful response without signature');
    const type = head.headers.find(([name]) => name.toLowerCase() === 'content-type');
    this.isStream = head.status === OK_STATUS && STREAM_TYPE.test(type?.[1] ?? '');
    if (this.isStream) return undefined;
    this.body = new BodyBuffer(head.contentLength ?? NaN);
    return this.checkBodySize(head.contentLength ?? 0);
  }

  acceptData(data: Buffer): AttemptOutcome | undefined {
    if (this.head === undefined) return undefined;
    this.bodyBytes += data.length;
    this.bodyParts += 1;
    if (!this.isStream) {
      this.body.add(data);
      return this.checkBodySize(this.bodyBytes) ?? this.takeBuffers();
    }
    this.callerCaughtUp = undefined;
    for (const event of this.splitter.readEvents(data)) {
      if (event.bytes.length > this.options.limits.maxEventBytes) return this.createEventFault();
      if (event.id === undefined) {
        if (!isComment(event.bytes)) return this.createBroken('event_order', 'event without an id');
        this.repeatedBytes += EVENT_COST_BYTES + event.bytes.length;
        this.callerCaughtUp = this.options.onComment(this.head, event.bytes);
        continue;
      }
      if (event.id <= this.lastEventId) {
        this.repeatedBytes += EVENT_COST_BYTES + event.bytes.length;
        continue;
      }
      if (event.id !== this.lastEventId + 1) {
        return this.createBroken(
          'event_order',
          `event ${event.id} received after event ${this.lastEventId}`,
        );
      }
      this.lastEventId = event.id;
      this.events += 1;
      this.repeatedBytes = 0;
      this.callerCaughtUp = this.options.onEvent(this.head, event.id, event.bytes);
    }
    const withoutProgress = this.repeatedBytes + this.splitter.partialEventBytes;
    return withoutProgress > this.options.limits.maxEventBytes
      ? this.createEventFault()
      : undefined;
  }

  /** Bytes of memory that hold a body, or an event, until it is complete. */
  get keptBytes(): number {
    return this.isStream ? this.splitter.heldBytes : this.body.capacity;
  }

  /**
   * Records a slice of the response.
   *
   * @param bytes - Bytes read
   * @param tookMs - Time that parsing them and handling the result took
   */
  recordRead(bytes: number, tookMs: number): void {
    this.receivedBytes += bytes;
    this.readMs += tookMs;
  }

  /** Returns the memory of the response to the budget. */
  releaseBuffers(): void {
    this.options.buffers.release(this.takenBytes);
    this.takenBytes = 0;
  }

  private takeBuffers(): AttemptOutcome | undefined {
    const missingBytes = this.bodyBytes - RESERVED_BYTES - this.takenBytes;
    if (missingBytes <= 0) return undefined;
    if (this.options.buffers.tryTake(missingBytes)) {
      this.takenBytes += missingBytes;
      return undefined;
    }
    return this.createOutOfMemory();
  }

  /** Creates the outcome of a response for which no memory is left; its body is not kept for the rest of the request. */
  createOutOfMemory(): AttemptOutcome {
    this.body = new BodyBuffer(NaN);
    return this.createBroken(
      'memory',
      `no memory left for a response body of ${this.bodyBytes} bytes`,
    );
  }

  private checkBodySize(bytes: number): AttemptOutcome | undefined {
    const { maxBodyBytes } = this.options.limits;
    if (bytes <= maxBodyBytes) return undefined;
    // A rejected body is not kept for the rest of the request.
    this.body = new BodyBuffer(NaN);
    return this.createBroken('body_size', `response body exceeds ${maxBodyBytes} bytes`);
  }

  /** Creates the outcome of a response whose end may be that of its upstream. */
  createUnproven(): AttemptOutcome {
    return this.createBroken('unproven', 'response without a length ended with its upstream');
  }

  /**
   * Creates the outcome of an attempt that was aborted.
   *
   * @param reason - Why it was aborted
   */
  createAborted(reason: AbortReason): AttemptOutcome {
    return { kind: 'aborted', reason, progress: this.describeProgress() };
  }

  private createBroken(code: BreakCode, reason: string): AttemptOutcome {
    return { kind: 'broken', code, reason, progress: this.describeProgress() };
  }

  private describeProgress(): ResponseProgress {
    const { events, receivedBytes, bodyBytes, bodyParts, readMs } = this;
    const hasHead = this.head !== undefined;
    return { hasHead, events, receivedBytes, bodyBytes, bodyParts, readMs };
  }

  private createEventFault(): AttemptOutcome {
    const { maxEventBytes } = this.options.limits;
    return this.createBroken(
      'event_size',
      `no new event within ${maxEventBytes} bytes of the stream`,
    );
  }

  finish(isComplete: boolean, error: Error | undefined): AttemptOutcome {
    const code = findBreakCode(error);
    if (this.head === undefined)
      return this.createBroken(code, error?.message ?? 'connection closed before a response');
    if (!isComplete) return this.createBroken(code, error?.message ?? 'response was truncated');
    if (!this.isStream) {
      return { kind: 'answered', head: this.head, body: this.body.take() };
    }
    if (this.splitter.partialEventBytes > 0)
      return this.createBroken('truncated', 'stream ended within an event');
    return { kind: 'streamed', head: this.head };
  }
}

function isWhole({ kind }: AttemptOutcome): boolean {
  return kind === 'answered' || kind === 'streamed';
}

function findBreakCode(error: Error | undefined): BreakCode {
  if (error instanceof FramingError || error instanceof errors.HeadersOverflowError)
    return 'framing';
  return error instanceof InvalidStatusError ? 'status' : 'truncated';
}

/** Whether only the end of the connection marks the end of the response. */
function endsWithConnection({ isFramed, status }: ResponseHead, method: string): boolean {
  return !isFramed && method !== 'HEAD' && !bodylessStatuses.has(status);
}

/** Whether an event has only comment lines, with which an upstream keeps a silent stream open. */
function isComment(bytes: Buffer): boolean {
  return COMMENT_EVENT.test(bytes.toString('latin1'));
}

/** Formats the status and, where given, the address that the refusal reports as faulty. */
function describeRefusal({ status, faultyAddress }: ResponseHead): string {
  return faultyAddress === undefined ? String(status) : `${status}, ${faultyAddress} at fault`;
}
