import type { ServerResponse } from 'node:http';
import { BodyBuffer } from '../../connection/bodyBuffer.js';
import { bodylessStatuses } from '../../connection/responseFraming.js';
import type { ResponseHead, HeaderCodec } from '../../process/gateway/types.js';
import type { BufferBudget } from './bufferBudget.js';

/** Error responses that the gateway generates itself, by code. */
export const gatewayErrors = {
  not_ready: { status: 503, message: 'no configuration has been read yet' },
  stale: { status: 503, message: 'the validity of the key cannot be proved at present' },
  no_route: { status: 404, message: 'no route matches the host and path' },
  unknown_key: { status: 401, message: 'no workspace holds this key' },
  no_request_id: { status: 400, message: 'the request needs exactly one id; it has not run' },
  body_too_large: { status: 413, message: 'the body exceeds the configured limit' },
  body_timeout: {
    status: 408,
    message: 'the body did not come in the time of the request, which has not run',
  },
  no_memory: { status: 503, message: 'no memory is left for the body; the request has not run' },
  no_upstream: { status: 503, message: 'no upstream of the service is available' },
  overloaded: { status: 503, message: 'the service has no capacity at present' },
  not_run: { status: 503, message: 'the upstreams refused the request; it has not run' },
  suspect: {
    status: 502,
    message: 'the request, or a part of its prompt, has crashed several upstreams',
  },
  trial: { status: 503, message: 'a part of the prompt may crash upstreams and is being tried' },
  draining: {
    status: 503,
    message: 'the gateway is stopping and has no time left for the request; it has not run',
  },
  internal: { status: 500, message: 'the gateway failed; the request may have run' },
  broken: { status: 502, message: 'the upstream gave no whole answer; the request may have run' },
  stopped: {
    status: 504,
    message: 'the gateway stopped before the upstream answered; the request may have run',
  },
  time_limit: { status: 504, message: 'the time limit was reached; the request may have run' },
} as const;

export type GatewayErrorCode = keyof typeof gatewayErrors;

/** Events and comments are written at the end of the turn of the event loop, or when they reach this size. */
const MAX_PENDING_BYTES = 16 * 1024;

/** Memory that a response may take which is kept until it is complete. */
export interface ReplyLimits {
  /** Bytes that a slow caller may leave unread before its upstream is paused. */
  readonly maxUnreadBytes: number;
  /** Bytes of a stream for a caller that reads no chunks. */
  readonly maxBodyBytes: number;
  /** Memory shared by the responses of the process. */
  readonly buffers: BufferBudget;
}

/**
 * Writes the response to one caller, at most once.
 *
 * Each response has a length or chunks. One that ended with its connection would look complete if this process were
 * killed, because the operating system closes the connections of a killed process in order. A caller of HTTP/1.0 reads
 * no chunks, so it gets a stream as a whole, with its length.
 */
export class CallerReply {
  private hasSentHead = false;
  private hasEnded = false;
  /** Resolves when the caller has read what it left unread; one for all events until then. */
  private drained: Promise<void> | undefined;
  /** Stream that is kept for a caller that reads no chunks. */
  private kept: KeptStream | undefined;
  /** Events and comments of this turn of the event loop, which are written at once. */
  private pending: Buffer[] = [];
  private pendingBytes = 0;

  constructor(
    private readonly response: ServerResponse,
    private readonly codec: HeaderCodec,
    private readonly requestId: string | undefined,
    /** Called right before the head is written. */
    private readonly announcesClose: () => boolean,
    private readonly limits: ReplyLimits,
  ) {}

  /** Whether events have been passed on, so that another run may only follow where streams may be resumed. */
  get isStreaming(): boolean {
    return this.hasSentHead || this.kept !== undefined;
  }

  get isEnded(): boolean {
    return this.hasEnded;
  }

  /**
   * Forwards a complete response.
   *
   * @param head - Status and headers of the upstream's response
   * @param body - Complete body
   */
  sendResponse(head: ResponseHead, body: Buffer): void {
    if (this.hasEnded || this.isStreaming) return;
    this.sendWhole(head, body);
  }

  /**
   * Starts a streamed response.
   *
   * @param head - Status and headers of the first upstream's response
   */
  startStream(head: ResponseHead): void {
    if (this.hasEnded || this.isStreaming) return;
    if (!this.response.useChunkedEncodingByDefault) {
      this.kept = { head, body: new BodyBuffer(NaN) };
      this.response.once('close', () => {
        this.takeKept();
      });
      return;
    }
    this.hasSentHead = true;
    this.writeHead(head, []);
  }

  /**
   * Forwards one event.
   *
   * @param bytes - Event as received
   * @returns If the caller has left too much unread, a promise that resolves when it has read that
   */
  sendEvent(bytes: Buffer): Promise<void> | undefined {
    if (this.hasEnded) return undefined;
    if (this.kept !== undefined) {
      this.keepEvent(this.kept, bytes);
      return undefined;
    }
    if (this.pending.length === 0) {
      process.nextTick(() => {
        this.writePending();
      });
    }
    this.pending.push(bytes);
    this.pendingBytes += bytes.length;
    if (this.pendingBytes >= MAX_PENDING_BYTES) this.writePending();
    return this.waitForCaller();
  }

  /** A write for each event of a read would take far more memory than their bytes until the caller has read them. */
  private writePending(): void {
    const { pending, pendingBytes } = this;
    if (pending.length === 0) return;
    this.pending = [];
    this.pendingBytes = 0;
    const [first] = pending;
    this.response.write(pending.length === 1 ? first : Buffer.concat(pending, pendingBytes));
  }

  private waitForCaller(): Promise<void> | undefined {
    const { response, limits } = this;
    if (!response.writableNeedDrain || response.writableLength <= limits.maxUnreadBytes)
      return undefined;
    this.drained ??= new Promise((resolve) => {
      response.once('drain', () => {
        this.drained = undefined;
        resolve();
      });
    });
    return this.drained;
  }

  /** Ends a streamed response as complete. */
  endStream(): void {
    if (this.hasEnded) return;
    const kept = this.takeKept();
    if (kept !== undefined) {
      this.sendWhole(kept.head, kept.body.take());
      return;
    }
    this.writePending();
    this.hasEnded = true;
    this.response.end();
  }

  /** Closes the connection of a streamed response, so that the caller cannot take it for complete. */
  abortStream(): void {
    if (this.hasEnded) return;
    this.writePending();
    this.hasEnded = true;
    this.response.destroy();
  }

  /**
   * Sends an error response of the gateway, or aborts a stream that has started.
   *
   * @param code - Error code
   * @param retryAfterMs - Time after which the caller may retry
   */
  sendGatewayError(code: GatewayErrorCode, retryAfterMs?: number): void {
    if (this.hasSentHead) {
      this.abortStream();
      return;
    }
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.takeKept();
    const { status, message } = gatewayErrors[code];
    const body = Buffer.from(JSON.stringify({ error: { code, message } }));
    const headers: [string, string][] = [
      ['Content-Type', 'application/json'],
      ['Content-Length', String(body.length)],
    ];
    if (this.requestId !== undefined) headers.push(this.codec.encodeRequestId(this.requestId));
    if (retryAfterMs !== undefined) headers.push(this.codec.encodeRetryAfter(retryAfterMs));
    if (this.announcesClose()) headers.push(['Connection', 'close']);
    this.response.writeHead(status, headers.flat());
    this.response.end(body);
  }

  private keepEvent(kept: KeptStream, bytes: Buffer): void {
    const { maxBodyBytes, buffers } = this.limits;
    if (kept.body.size + bytes.length > maxBodyBytes || !buffers.tryTake(bytes.length)) {
      this.sendGatewayError('broken');
      return;
    }
    kept.body.add(bytes);
  }

  /** Takes the kept stream and returns its memory to the budget. */
  private takeKept(): KeptStream | undefined {
    const { kept } = this;
    this.kept = undefined;
    this.limits.buffers.release(kept?.body.size ?? 0);
    return kept;
  }

  private sendWhole(head: ResponseHead, body: Buffer): void {
    this.hasEnded = true;
    const length = this.findLength(head, body);
    this.writeHead(head, length === undefined ? [] : [['Content-Length', String(length)]]);
    this.response.end(body);
  }

  /** Finds the length to state; the response to a HEAD request states that of the body that it leaves out. */
  private findLength(head: ResponseHead, body: Buffer): number | undefined {
    if (bodylessStatuses.has(head.status)) return undefined;
    return this.response.req.method === 'HEAD' ? head.contentLength : body.length;
  }

  private writeHead(head: ResponseHead, extra: [string, string][]): void {
    const headers = [...head.headers, ...extra];
    if (this.announcesClose()) headers.push(['Connection', 'close']);
    this.response.writeHead(head.status, headers.flat());
  }
}

/** Stream for a caller that gets it as a whole. */
interface KeptStream {
  readonly head: ResponseHead;
  readonly body: BodyBuffer;
}
