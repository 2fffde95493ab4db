import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import type { buildConnector } from 'undici';
import { Client } from 'undici';
import { parseAddress } from '../../connection/linkClient.js';
import { FramingMeter } from '../../connection/framingMeter.js';
import { connectMetered } from '../../connection/meteredSocket.js';
import type { ReadFlow } from '../../connection/readScheduler.js';
import { observeReset } from '../../connection/observeReset.js';
import {
  InvalidStatusError,
  isDefinedStatus,
  MIN_FINAL_STATUS,
} from '../../connection/responseFraming.js';

/** A live host accepts within one round trip, which is below 20 ms between availability zones. */
const CONNECT_TIMEOUT_MS = 400;

/** The head or the framing of a response exceeds its limit. */
export class FramingError extends Error {}

export interface ExchangeRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** Responses of one flow share its part of the time for reading. */
  readonly flow: ReadFlow;
  /** Maximum size of head and framing of the response; see `FramingMeter`. */
  readonly maxFramingBytes: number;
}

export interface ExchangeEvents {
  /**
   * Called when the connection is open, right before the request is written.
   *
   * @returns False if the request must not be sent; the exchange is aborted then
   */
  confirmSend(): boolean;
  onHead(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void;
  onData(data: Buffer): void;
  /**
   * Called after each slice of the response has been parsed.
   *
   * @param bytes - Bytes read
   * @param tookMs - Time that this took, in milliseconds
   */
  onRead(bytes: number, tookMs: number): void;
  /**
   * Called exactly once.
   *
   * @param isComplete - Whether the response ended as its framing declares, without a reset
   * @param error - Cause of an early end of the connection
   */
  onEnd(isComplete: boolean, error: Error | undefined): void;
}

/**
 * Sends one request on a dedicated connection.
 *
 * A single-use connection cannot carry a late, duplicate or surplus response to another request, is never closed by the
 * upstream while idle, and cannot be stale. The cost is one round trip.
 */
export class UpstreamExchange {
  private client: Client | undefined;
  private socket: Socket | undefined;
  private hasReset = false;
  private hasEnded = false;
  private controller: Dispatcher.DispatchController | undefined;
  private isPaused = false;
  private readonly framing: FramingMeter;
  /** Whether bytes of the request may have reached the upstream. */
  mayHaveSent = false;

  constructor(
    private readonly request: ExchangeRequest,
    private readonly events: ExchangeEvents,
  ) {
    this.framing = new FramingMeter(request.maxFramingBytes);
  }

  /** Sends the request. */
  start(): void {
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: (controller) => {
        this.mayHaveSent = true;
        this.controller = controller;
      },
      onResponseStart: (_controller, status, headers) => {
        if (this.hasEnded || status < MIN_FINAL_STATUS) return;
        if (isDefinedStatus(status)) this.events.onHead(status, headers);
        else this.finish(false, new InvalidStatusError(status));
      },
      onResponseData: (_controller, data) => {
        this.framing.addContent(data.length);
        // The parser reports no bytes when it continues after the last ones.
        if (!this.hasEnded && data.length > 0) this.events.onData(data);
      },
      onResponseEnd: () => {
        this.finish(!this.hasReset, undefined);
      },
      onResponseError: (_controller, error) => {
        this.finish(false, error);
      },
    };
    const { address, method, path, headers, body } = this.request;
    try {
      this.client = new Client(`http://${address}`, {
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: (_options, callback) => {
          this.openSocket(callback);
        },
      });
      this.client.dispatch({ method, path, headers, body: body ?? null }, handler);
    } catch (error) {
      this.finish(false, error instanceof Error ? error : new Error(String(error)));
    }
  }

  /** Closes the connection immediately, which cancels the request at the upstream. */
  abort(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.close();
  }

  /** Stops reading the response, so that flow control reaches the upstream. */
  pause(): void {
    if (this.hasEnded) return;
    this.isPaused = true;
    this.controller?.pause();
  }

  /** Continues to read a paused response. */
  resume(): void {
    this.isPaused = false;
    // Another exchange may be reading, for example one whose end frees memory, and the client can't read two at once.
    queueMicrotask(() => {
      if (!this.hasEnded && !this.isPaused) this.controller?.resume();
    });
  }

  private meterFraming(bytes: number): void {
    this.framing.addReceived(bytes);
    if (!this.framing.isExceeded) return;
    const { maxFramingBytes } = this.request;
    this.finish(
      false,
      new FramingError(`response has more than ${maxFramingBytes} bytes of framing`),
    );
  }

  private openSocket(callback: buildConnector.Callback): void {
    const { host, port } = parseAddress(this.request.address);
    const socket = connectMetered(
      { host, port },
      {
        flow: this.request.flow,
        onRead: (bytes, tookMs) => {
          this.events.onRead(bytes, tookMs);
          this.meterFraming(bytes);
        },
      },
    );
    this.socket = socket;
    const timer = setTimeout(() => {
      socket.destroy(new Error('connection attempt timed out'));
    }, CONNECT_TIMEOUT_MS);
    let isOpen = false;
    observeReset(socket, () => {
      this.hasReset = true;
    });
    socket.on('error', (error) => {
      clearTimeout(timer);
      if (!isOpen) callback(error, null);
    });
    socket.once('connect', () => {
      clearTimeout(timer);
      // A process that is short of processor time reads many events at once, and a disconnect of the caller may be the
      // last of them.
      setImmediate(() => {
        if (this.hasEnded || socket.destroyed || !this.events.confirmSend()) return;
        isOpen = true;
        callback(null, socket);
      });
    });
  }

  private finish(isComplete: boolean, error: Error | undefined): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.close();
    this.events.onEnd(isComplete, error);
  }

  private close(): void {
    // As in `resume`, another exchange may be reading.
    queueMicrotask(() => {
      // The client throws, where nobody catches it, if its parser is paused when the connection is closed.
      this.controller?.resume();
      this.socket?.destroy();
      void this.client?.destroy().catch(() => undefined);
    });
  }
}
