import type { ServerResponse } from 'node:http';
import type { ResponseHead, HeaderCodec } from '../../process/gateway/types.js';

/** What the gateway answers itself, by cause. */
export const ownAnswers = {
  not_ready: { status: 503, message: 'no configuration has been read yet' },
  stale: { status: 503, message: 'the validity of the key cannot be proved at present' },
  no_route: { status: 404, message: 'no route matches the host and path' },
  unknown_key: { status: 401, message: 'no workspace holds this key' },
  body_too_large: { status: 413, message: 'the body exceeds the configured limit' },
  no_upstream: { status: 503, message: 'no upstream of the service is available' },
  overloaded: { status: 503, message: 'the service has no capacity at present' },
  not_run: { status: 503, message: 'the upstreams refused the request; it has not run' },
  suspect: { status: 502, message: 'the request has ended several upstreams' },
  broken: { status: 502, message: 'the upstream gave no whole answer; the request may have run' },
  time_limit: { status: 504, message: 'the time limit was reached; the request may have run' },
} as const;

export type OwnAnswerCode = keyof typeof ownAnswers;

/** The answer to one caller; it is given at most once. */
export class CallerReply {
  private hasHead = false;
  private hasEnded = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly codec: HeaderCodec,
    private readonly requestId: string | undefined,
    private readonly isDraining: () => boolean,
  ) {}

  get isStreaming(): boolean {
    return this.hasHead;
  }

  get isEnded(): boolean {
    return this.hasEnded;
  }

  /**
   * Passes a whole answer on.
   *
   * @param head - Head of the upstream's answer
   * @param body - Its whole body
   */
  sendAnswer(head: ResponseHead, body: Buffer): void {
    if (this.hasEnded || this.hasHead) return;
    this.hasEnded = true;
    if (head.isFramed) {
      this.writeHead(head, [['Content-Length', String(body.length)]]);
    } else {
      // Nobody can tell whether a body without a length was cut; a length of our own would vouch for it.
      this.response.useChunkedEncodingByDefault = false;
      this.response.shouldKeepAlive = false;
      this.writeHead(head, [['Connection', 'close']]);
    }
    this.response.end(body);
  }

  /**
   * Starts a streamed answer.
   *
   * @param head - Head of the first upstream's answer
   */
  startStream(head: ResponseHead): void {
    if (this.hasEnded || this.hasHead) return;
    this.hasHead = true;
    this.writeHead(head, []);
  }

  /**
   * Passes one event on.
   *
   * @param bytes - Event as received
   */
  sendEvent(bytes: Buffer): void {
    if (!this.hasEnded) this.response.write(bytes);
  }

  /** Ends a streamed answer as complete. */
  endStream(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.response.end();
  }

  /** Breaks a streamed answer off so that it cannot look complete. */
  breakStream(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.response.destroy();
  }

  /**
   * Gives an answer of the gateway's own.
   *
   * @param code - Cause
   * @param retryAfterMs - When the caller may come back
   */
  sendOwn(code: OwnAnswerCode, retryAfterMs?: number): void {
    if (this.hasHead) {
      this.breakStream();
      return;
    }
    if (this.hasEnded) return;
    this.hasEnded = true;
    const { status, message } = ownAnswers[code];
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

  private writeHead(head: ResponseHead, extra: [string, string][]): void {
    const headers = [...head.headers, ...extra];
    const closes = extra.some(([name]) => name === 'Connection');
    if (this.isDraining() && !closes) headers.push(['Connection', 'close']);
    this.response.writeHead(head.status, headers.flat());
  }
}
