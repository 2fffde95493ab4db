import type { Socket } from 'node:net';
import { connect } from 'node:net';
import type { Dispatcher } from 'undici';
import type { buildConnector } from 'undici';
import { Client } from 'undici';
import { parseAddress } from '../../connection/linkClient.js';

/** A host that is up accepts within a round trip; zones are under 20 ms apart. */
const CONNECT_TIMEOUT_MS = 400;

export interface ExchangeRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

export interface ExchangeEvents {
  onHead(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void;
  onData(data: Buffer): void;
  /**
   * Called exactly once.
   *
   * @param isWhole - The answer ended as its framing says, without a reset
   * @param error - Why the connection ended otherwise
   */
  onEnd(isWhole: boolean, error: Error | undefined): void;
}

/**
 * One request on a connection of its own.
 *
 * A connection that is used once cannot carry a late, doubled or surplus answer of another request, is never closed by
 * the upstream while idle, and cannot have gone silent before. The price is one round trip.
 */
export class UpstreamExchange {
  private readonly client: Client;
  private socket: Socket | undefined;
  private wasReset = false;
  private hasEnded = false;
  /** Bytes of the request may have reached the upstream. */
  wasSent = false;

  constructor(
    private readonly request: ExchangeRequest,
    private readonly events: ExchangeEvents,
  ) {
    this.client = new Client(`http://${request.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (_options, callback) => {
        this.openSocket(callback);
      },
    });
  }

  /** Sends the request. */
  start(): void {
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: () => {
        this.wasSent = true;
      },
      onResponseStart: (_controller, status, headers) => {
        if (!this.hasEnded) this.events.onHead(status, headers);
      },
      onResponseData: (_controller, data) => {
        if (!this.hasEnded) this.events.onData(data);
      },
      onResponseEnd: () => {
        this.finish(!this.wasReset, undefined);
      },
      onResponseError: (_controller, error) => {
        this.finish(false, error);
      },
    };
    const { method, path, headers, body } = this.request;
    try {
      this.client.dispatch({ method: method, path, headers, body: body ?? null }, handler);
    } catch (error) {
      this.finish(false, error instanceof Error ? error : new Error(String(error)));
    }
  }

  /** Closes the connection at once; the upstream drops the request. */
  abort(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.close();
  }

  private openSocket(callback: buildConnector.Callback): void {
    const { host, port } = parseAddress(this.request.address);
    const socket = connect({ host, port, noDelay: true });
    this.socket = socket;
    const timer = setTimeout(() => {
      socket.destroy(new Error('connection attempt timed out'));
    }, CONNECT_TIMEOUT_MS);
    let isOpen = false;
    // undici takes a reset after a body without a length for its end, so the reset is noted before it hears of it.
    socket.prependListener('error', (error) => {
      this.wasReset = true;
      clearTimeout(timer);
      if (!isOpen) callback(error, null);
    });
    socket.once('connect', () => {
      clearTimeout(timer);
      isOpen = true;
      callback(null, socket);
    });
  }

  private finish(isWhole: boolean, error: Error | undefined): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.close();
    this.events.onEnd(isWhole, error);
  }

  private close(): void {
    this.socket?.destroy();
    void this.client.destroy().catch(() => undefined);
  }
}
