import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import { buildConnector, Client, errors } from 'undici';
import { defaults } from '../defaults.js';
import { startTimeout } from '../startTimeout.js';
import { BodyBuffer } from './bodyBuffer.js';
import { FramingMeter } from './framingMeter.js';
import { connectMetered } from './meteredSocket.js';
import { observeReset } from './observeReset.js';
import type { ProcessWitness } from './processWitness.js';
import { createWitness } from './processWitness.js';
import {
  InvalidStatusError,
  isDefinedStatus,
  isStatusAskedFor,
  MIN_FINAL_STATUS,
} from './responseFraming.js';
import type { TlsMaterial } from './tlsOptions.js';

const DEFAULT_CONNECT_TIMEOUT_MS = 10_000;
/** The parser also reports statuses below the first class, such as 99, as informational. */
const MIN_STATUS = 100;
const DEFAULT_HTTP_PORT = 80;
const KEEP_ALIVE_DELAY_MS = 60_000;
/** Body of an error response to a request whose body is taken part by part. */
const MAX_ERROR_BYTES = 64 * 1024;
const HTTP_OK = 200;

/** Response headers with lower-case names. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** A response is not one that the request can have, or costs more than its content allows. */
export class BadResponseError extends Error {}

export interface BoundedRequest {
  readonly method: 'GET' | 'HEAD' | 'POST' | 'PUT' | 'DELETE';
  /** Path with its query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array | undefined;
  /** Maximum size of the body of the response, also of one that is not kept. */
  readonly maxBytes: number;
  /** Total time until the response has been read; without it, only the signal limits the time. */
  readonly timeoutMs?: number;
  /** Maximum time without any byte of the response. */
  readonly idleTimeoutMs?: number;
  /** Closes the connection. */
  readonly signal?: AbortSignal | undefined;
  /** Whether the connection may be used for another request. By default, the upstream is asked to close it. */
  readonly isKept?: boolean;
  /**
   * Called in the turn of the event loop in which the request is written.
   *
   * @returns Why the request must not be sent
   */
  readonly confirmSend?: () => Error | undefined;
  /**
   * Whether this process was paused shortly before. If it is given, a body without a length is complete only if a reset or
   * the end of the upstream did not cut it.
   */
  readonly hasPaused?: () => boolean;
  /** Whether the body of a response counts; if not, the end of the upstream within it is no failure. */
  readonly isBodyNeeded?: (status: number, headers: ResponseHeaders) => boolean;
  /** Called with the status of a response that is acceptable. */
  readonly onHead?: (status: number) => void;
  /** Takes the body of a response with status 200 part by part instead of keeping it; what it throws ends the exchange. */
  readonly onData?: (data: Buffer) => void;
}

export interface BoundedResponse {
  readonly status: number;
  readonly headers: ResponseHeaders;
  /** Empty if `onData` took it. */
  readonly body: Buffer<ArrayBuffer>;
}

export interface ConnectionOptions {
  /** Protocol, host and port. */
  readonly origin: string;
  readonly tls?: TlsMaterial | undefined;
  readonly connectTimeoutMs?: number;
}

/**
 * Connection to an upstream that this process reads within bounds: on the time, the body, the bytes that are not content,
 * and the time of the event loop that reading takes (see `ReadScheduler`; not on TLS connections).
 */
export class BoundedConnection {
  private readonly client: Client;
  private socket: Socket | undefined;
  private hasReset = false;

  /** @param options - Upstream */
  constructor(private readonly options: ConnectionOptions) {
    this.client = new Client(options.origin, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: this.createConnector(),
    });
  }

  /**
   * Sends a request and reads its response. Requests of one connection are sent one after the other.
   *
   * @param request - Request and bounds
   * @returns The complete response
   * @throws Error if a bound is exceeded, which closes the connection, if the connection fails or the signal is aborted
   */
  send(request: BoundedRequest): Promise<BoundedResponse> {
    const exchange = new ResponseExchange(request, {
      origin: this.options.origin,
      hasReset: () => this.hasReset,
      close: () => {
        this.close();
      },
    });
    return exchange.run((options, handler) => {
      this.client.dispatch(options, {
        ...handler,
        onRequestStart: (controller, context) => {
          this.observeRead(exchange);
          handler.onRequestStart?.(controller, context);
        },
      });
    });
  }

  /** Closes the connection immediately; exchanges on it fail. */
  close(): void {
    // The client may be parsing, and its parser does not expect the end of the connection from within.
    queueMicrotask(() => {
      this.socket?.destroy();
      this.client.destroy().catch(() => undefined);
    });
  }

  /** undici reads the socket on `readable`, so the listener only observes what it reads. */
  private observeRead(exchange: ResponseExchange): void {
    this.socket?.removeAllListeners('data');
    this.socket?.on('data', (data: Buffer) => {
      exchange.addReceived(data.length);
    });
  }

  private createConnector(): buildConnector.connector {
    const { tls, connectTimeoutMs: timeout = DEFAULT_CONNECT_TIMEOUT_MS } = this.options;
    const connectTls = buildConnector({ ...tls, timeout });
    return (options, callback) => {
      if (options.protocol === 'https:') {
        connectTls(options, (...[error, socket]) => {
          if (error !== null) {
            callback(error, null);
            return;
          }
          this.bindSocket(socket);
          callback(null, socket);
        });
        return;
      }
      this.openSocket(options, timeout, callback);
    };
  }

  private openSocket(
    { hostname, port }: buildConnector.Options,
    timeoutMs: number,
    callback: buildConnector.Callback,
  ): void {
    const address = { host: hostname, port: port === '' ? DEFAULT_HTTP_PORT : Number(port) };
    const socket = connectMetered(address, { onRead: () => undefined });
    socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    this.bindSocket(socket);
    const cancelTimeout = startTimeout(timeoutMs, () => {
      socket.destroy(new errors.ConnectTimeoutError('connection attempt timed out'));
    });
    let isOpen = false;
    socket.on('error', (error) => {
      cancelTimeout();
      if (!isOpen) callback(error, null);
    });
    socket.once('close', cancelTimeout);
    socket.once('connect', () => {
      cancelTimeout();
      isOpen = true;
      callback(null, socket);
    });
  }

  private bindSocket(socket: Socket): void {
    this.socket = socket;
    this.hasReset = false;
    observeReset(socket, () => {
      this.hasReset = true;
    });
  }
}

interface ExchangeConnection {
  readonly origin: string;
  hasReset(): boolean;
  close(): void;
}

type Dispatch = (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler) => void;

/** One request and its response. */
class ResponseExchange {
  private readonly framing = new FramingMeter(defaults.maxResponseFramingBytes);
  private body = new BodyBuffer(NaN);
  private bodyBytes = 0;
  private status = 0;
  private headers: ResponseHeaders = {};
  private witness: ProcessWitness | undefined;
  private cancelIdleTimeout: (() => void) | undefined;
  private hasEnded = false;
  private settle: ((end: BoundedResponse | Error) => void) | undefined;

  constructor(
    private readonly request: BoundedRequest,
    private readonly connection: ExchangeConnection,
  ) {}

  async run(dispatch: Dispatch): Promise<BoundedResponse> {
    const { signal, timeoutMs } = this.request;
    const abort = (): void => {
      this.fail(toError(signal?.reason));
    };
    let cancelTimeout: (() => void) | undefined;
    try {
      return await new Promise((resolve, reject) => {
        this.settle = (end) => {
          if (end instanceof Error) reject(end);
          else resolve(end);
        };
        if (signal?.aborted === true) {
          abort();
          return;
        }
        signal?.addEventListener('abort', abort, { once: true });
        if (timeoutMs !== undefined) cancelTimeout = startTimeout(timeoutMs, this.expire);
        this.dispatch(dispatch);
      });
    } finally {
      cancelTimeout?.();
      this.cancelIdleTimeout?.();
      signal?.removeEventListener('abort', abort);
      this.witness?.close();
    }
  }

  /**
   * Counts bytes that have been read, and will be parsed next.
   *
   * @param bytes - Number of bytes
   */
  addReceived(bytes: number): void {
    if (this.hasEnded) return;
    // The bytes of this read have not been parsed yet, so only the earlier ones are judged.
    if (this.framing.isExceeded) {
      const maxBytes = defaults.maxResponseFramingBytes;
      this.fail(new BadResponseError(`response has more than ${maxBytes} bytes of framing`));
      return;
    }
    this.framing.addReceived(bytes);
    this.startIdleTimeout();
  }

  private dispatch(dispatch: Dispatch): void {
    const { method, path, headers, body, isKept } = this.request;
    const bytes = body instanceof Uint8Array ? Buffer.from(body) : (body ?? null);
    const options: Dispatcher.DispatchOptions = {
      method,
      path,
      body: bytes,
      // A repeated or late response on a kept connection would count as the response to the next request.
      reset: isKept !== true,
      ...(headers === undefined ? {} : { headers }),
    };
    dispatch(options, {
      // undici calls this right before the first write, and would call it again before a retry.
      onRequestStart: (controller) => {
        const refusal = this.hasEnded
          ? new Error('request was aborted')
          : this.request.confirmSend?.();
        if (refusal === undefined) {
          this.startIdleTimeout();
          return;
        }
        this.end(refusal);
        controller.abort(refusal);
      },
      onResponseStart: (_controller, status, headers) => {
        this.acceptHead(status, headers);
      },
      onResponseData: (_controller, data) => {
        this.acceptData(data);
      },
      onResponseEnd: () => {
        this.finish();
      },
      onResponseError: (_controller, error) => {
        this.end(error);
      },
    });
  }

  private acceptHead(status: number, headers: ResponseHeaders): void {
    if (this.hasEnded) return;
    if (status >= MIN_STATUS && status < MIN_FINAL_STATUS) return;
    if (status < MIN_STATUS || !isDefinedStatus(status)) {
      this.fail(new BadResponseError(new InvalidStatusError(status).message));
      return;
    }
    if (!isStatusAskedFor(status, Object.entries(this.request.headers ?? {}).flat())) {
      this.fail(new BadResponseError(`response has the status ${status} unasked`));
      return;
    }
    this.status = status;
    this.headers = headers;
    this.request.onHead?.(status);
    const { hasPaused, method } = this.request;
    const length = Number(headers['content-length'] ?? NaN);
    if (method !== 'HEAD') this.body = new BodyBuffer(length);
    if (hasPaused !== undefined)
      this.witness = createWitness({ url: this.connection.origin, hasPaused }, status, headers);
  }

  private acceptData(data: Buffer): void {
    if (this.hasEnded) return;
    this.framing.addContent(data.length);
    this.bodyBytes += data.length;
    const { onData, maxBytes } = this.request;
    const isKept = onData === undefined || this.status !== HTTP_OK;
    if (this.bodyBytes > (onData !== undefined && isKept ? MAX_ERROR_BYTES : maxBytes)) {
      this.fail(new errors.ResponseExceededMaxSizeError());
      return;
    }
    if (isKept) {
      this.body.add(data);
      return;
    }
    try {
      onData(data);
    } catch (error) {
      this.fail(toError(error));
    }
  }

  private finish(): void {
    const { request, connection, status, headers, body, witness } = this;
    if (this.hasEnded) return;
    if (request.hasPaused === undefined) {
      this.end({ status, headers, body: body.take() });
      return;
    }
    if (connection.hasReset()) {
      this.end(new errors.SocketError('connection was reset within the response'));
      return;
    }
    const settle = (isComplete: boolean): void => {
      if (isComplete) this.end({ status, headers, body: body.take() });
      else this.end(new errors.SocketError('response ended with its upstream'));
    };
    const isBodyNeeded = request.isBodyNeeded?.(status, headers) ?? true;
    if (witness === undefined || !isBodyNeeded) settle(true);
    else void witness.confirm().then(settle);
  }

  private startIdleTimeout(): void {
    const { idleTimeoutMs } = this.request;
    if (idleTimeoutMs === undefined) return;
    this.cancelIdleTimeout?.();
    this.cancelIdleTimeout = startTimeout(idleTimeoutMs, this.expire);
  }

  private readonly expire = (): void => {
    this.fail(new DOMException('no response in time', 'TimeoutError'));
  };

  private fail(error: Error): void {
    this.end(error);
    this.connection.close();
  }

  private end(end: BoundedResponse | Error): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.settle?.(end);
  }
}

function toError(value: unknown): Error {
  return value instanceof Error ? value : new Error(String(value));
}
