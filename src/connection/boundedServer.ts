import type { IncomingMessage, Server, ServerOptions } from 'node:http';
import { createServer, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerMemory } from './callerMemory.js';
import { RESERVED_BYTES } from './callerMemory.js';
import type { ReaderOptions, RequestLimits } from './requestReader.js';
import { ReaderLoad } from './readerLoad.js';
import { RequestReader } from './requestReader.js';
import type { UnreadResponse } from './unreadResponse.js';

/** Interval of the checks for heads that are late; that of Node is 30 s by default. */
const CONNECTIONS_CHECK_MS = 500;

export interface BoundedServerOptions extends ServerOptions {
  readonly requestLimits: RequestLimits;
  /** Memory in which unread responses count, and requests that were sent ahead. */
  readonly memory?: CallerMemory;
  /** Current time in milliseconds. */
  readonly readClock: () => number;
}

const readers = new WeakMap<Socket, RequestReader>();

/** Response that counts as in progress from the head of its request on, also if Node itself writes it. */
class TrackedResponse<Request extends IncomingMessage> extends ServerResponse<Request> {
  private readonly reader: RequestReader | undefined;
  private unread: UnreadResponse | undefined;

  constructor(...args: unknown[]) {
    super(...(args as [Request]));
    this.reader = readers.get(this.req.socket);
    this.reader?.track(this);
  }

  override write(...args: unknown[]): boolean {
    const hasRoom = super.write(...(args as Parameters<ServerResponse<Request>['write']>));
    if (!hasRoom) this.countUnread();
    return hasRoom;
  }

  override end(...args: unknown[]): this {
    super.end(...(args as Parameters<ServerResponse<Request>['end']>));
    this.countUnread();
    return this;
  }

  private countUnread(): void {
    if (this.unread === undefined) {
      if (this.writableLength <= RESERVED_BYTES) return;
      this.unread = this.reader?.createUnread(this);
    }
    this.unread?.update();
  }
}

/**
 * Creates an HTTP server that parses no more requests of a connection than may be in progress at the same time.
 *
 * @param options - Options of the server and bounds on requests in progress
 * @returns The server, not listening
 */
export function createBoundedServer(options: BoundedServerOptions): Server {
  const { requestLimits: limits, memory, readClock, ...serverOptions } = options;
  const readerOptions: ReaderOptions = { limits, load: new ReaderLoad(), memory, readClock };
  const server = createServer({
    connectionsCheckingInterval: CONNECTIONS_CHECK_MS,
    ...serverOptions,
    ServerResponse: TrackedResponse,
  });
  server.on('connection', (socket: Socket) => {
    readers.set(socket, new RequestReader(socket, readerOptions));
  });
  return server;
}

/**
 * Finds the reader of a connection.
 *
 * @param socket - Connection that a bounded server has accepted
 * @returns Its reader
 */
export function getRequestReader(socket: Socket): RequestReader {
  const reader = readers.get(socket);
  if (reader === undefined) throw new Error('the connection was not accepted by a bounded server');
  return reader;
}
