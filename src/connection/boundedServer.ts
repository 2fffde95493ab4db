import type { IncomingMessage, Server, ServerOptions } from 'node:http';
import { createServer, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ReaderOptions, RequestLimits } from './requestReader.js';
import { RequestReader } from './requestReader.js';

/** Interval of the checks for heads that are late; that of Node is 30 s by default. */
const CONNECTIONS_CHECK_MS = 500;

export interface BoundedServerOptions extends ServerOptions {
  readonly requestLimits: RequestLimits;
  /** Current time in milliseconds. */
  readonly readClock: () => number;
}

const readers = new WeakMap<Socket, RequestReader>();

/** Response that counts as in progress from the head of its request on, also if Node itself writes it. */
class TrackedResponse<Request extends IncomingMessage> extends ServerResponse<Request> {
  constructor(...args: unknown[]) {
    super(...(args as [Request]));
    readers.get(this.req.socket)?.track(this);
  }
}

/**
 * Creates an HTTP server that parses no more requests of a connection than may be in progress at the same time.
 *
 * @param options - Options of the server and bounds on requests in progress
 * @returns The server, not listening
 */
export function createBoundedServer(options: BoundedServerOptions): Server {
  const { requestLimits: limits, readClock, ...serverOptions } = options;
  const readerOptions: ReaderOptions = { limits, count: { inProgress: 0 }, readClock };
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
