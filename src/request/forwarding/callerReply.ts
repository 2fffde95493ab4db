import type { ServerResponse } from 'node:http';
import type { ResponseHead, HeaderCodec } from '../../process/gateway/types.js';

/** Error responses that the gateway generates itself, by code. */
export const gatewayErrors = {
  not_ready: { status: 503, message: 'no configuration has been read yet' },
  stale: { status: 503, message: 'the validity of the key cannot be proved at present' },
  no_route: { status: 404, message: 'no route matches the host and path' },
  unknown_key: { status: 401, message: 'no workspace holds this key' },
  body_too_large: { status: 413, message: 'the body exceeds the configured limit' },
  no_upstream: { status: 503, message: 'no upstream of the service is available' },
  overloaded: { status: 503, message: 'the service has no capacity at present' },
  not_run: { status: 503, message: 'the upstreams refused the request; it has not run' },
  suspect: {
    status: 502,
    message: 'the request, or a part of its prompt, has crashed several upstreams',
  },
  trial: { status: 503, message: 'a part of the prompt may crash upstreams and is being tried' },
  internal: { status: 500, message: 'the gateway failed; the request may have run' },
  broken: { status: 502, message: 'the upstream gave no whole answer; the request may have run' },
  time_limit: { status: 504, message: 'the time limit was reached; the request may have run' },
} as const;

export type GatewayErrorCode = keyof typeof gatewayErrors;

/** Writes the response to one caller, at most once. */
export class CallerReply {
  private hasSentHead = false;
  private hasEnded = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly codec: HeaderCodec,
    private readonly requestId: string | undefined,
    private readonly isDraining: () => boolean,
    /** Bytes that a slow caller may leave unread before its upstream is paused. */
    private readonly maxUnreadBytes: number,
  ) {}

  get isStreaming(): boolean {
    return this.hasSentHead;
  }

  get isEnded(): boolean {
    return this.hasEnded;
  }

  /** Whether the end of the connection marks the end of the body, as opposed to a length or a last chunk. */
  get endsWithConnection(): boolean {
    return !this.response.useChunkedEncodingByDefault;
  }

  /**
   * Forwards a complete response.
   *
   * @param head - Status and headers of the upstream's response
   * @param body - Complete body
   */
  sendResponse(head: ResponseHead, body: Buffer): void {
    if (this.hasEnded || this.hasSentHead) return;
    this.hasEnded = true;
    if (head.isFramed) {
      this.writeHead(head, [['Content-Length', String(body.length)]]);
    } else {
      this.writeUnframedHead(head);
    }
    this.response.end(body);
  }

  /**
   * Starts a streamed response.
   *
   * @param head - Status and headers of the first upstream's response
   */
  startStream(head: ResponseHead): void {
    if (this.hasEnded || this.hasSentHead) return;
    this.hasSentHead = true;
    if (head.isFramed) this.writeHead(head, []);
    else this.writeUnframedHead(head);
    if (!this.endsWithConnection) return;
    // Node closes the connection in order when the caller closes its sending half, which would mark the stream as complete.
    this.response.req.socket.prependOnceListener('end', () => {
      this.abortStream();
    });
  }

  /**
   * Forwards one event.
   *
   * @param bytes - Event as received
   * @returns If the caller has left too much unread, a promise that resolves when it has read that
   */
  sendEvent(bytes: Buffer): Promise<void> | undefined {
    if (this.hasEnded) return undefined;
    const { response } = this;
    if (response.write(bytes) || response.writableLength <= this.maxUnreadBytes) return undefined;
    return new Promise((resolve) => {
      response.once('drain', resolve);
    });
  }

  /** Ends a streamed response as complete. */
  endStream(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.response.end();
  }

  /** Closes the connection of a streamed response, so that the caller cannot take it for complete. */
  abortStream(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    // An orderly close would mark the stream as complete if the connection is its only end.
    if (this.endsWithConnection) this.response.socket?.resetAndDestroy();
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
    const { status, message } = gatewayErrors[code];
    const body = Buffer.from(JSON.stringify({ error: { code, message } }));
    const headers: [string, string][] = [
      ['Content-Type', 'application/json'],
      ['Content-Length', String(body.length)],
    ];
    if (this.requestId !== undefined) headers.push(this.codec.encodeRequestId(this.requestId));
    if (retryAfterMs !== undefined) headers.push(this.codec.encodeRetryAfter(retryAfterMs));
    if (this.isDraining()) headers.push(['Connection', 'close']);
    this.response.writeHead(status, headers.flat());
    this.response.end(body);
  }

  /** A body without a length may have been truncated; a length or a last chunk would mark it as complete. */
  private writeUnframedHead(head: ResponseHead): void {
    this.response.useChunkedEncodingByDefault = false;
    this.response.shouldKeepAlive = false;
    this.writeHead(head, [['Connection', 'close']]);
  }

  private writeHead(head: ResponseHead, extra: [string, string][]): void {
    const headers = [...head.headers, ...extra];
    const closesConnection = extra.some(([name]) => name === 'Connection');
    if (this.isDraining() && !closesConnection) headers.push(['Connection', 'close']);
    this.response.writeHead(head.status, headers.flat());
  }
}
