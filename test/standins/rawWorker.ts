import type { Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import type { StandIn } from './httpServer.js';
import { listenOnLoopback } from './httpServer.js';

/** A request that a raw worker has read completely. */
export interface RawRequest {
  /** Number of requests that this worker received before, counted from 0. */
  readonly index: number;
  readonly path: string;
  readonly requestId: string;
  readonly lastEventId: number;
}

export interface RawWorker extends StandIn {
  readonly id: string;
  readonly requests: readonly RawRequest[];
  readonly openConnections: number;
  /** Refuses new connections; those that are open go on, as those of a draining worker. */
  stopListening(): void;
  /**
   * Refuses new connections and ends the open ones in order, as the operating system does for a killed process.
   *
   * @param first - Connection that ends first, the others 50 ms later, as on a busy host; by default all end at once
   */
  die(first?: Socket): void;
}

const CLOSING_MS = 50;
/** A connection without a byte of a request for this long counts as idle. */
const IDLE_MS = 50;
const HEAD_END = '\r\n\r\n';

/**
 * Starts a worker whose responses are written as raw bytes.
 *
 * @param id - Instance id
 * @param respond - Writes the response; called once per request with the socket that it arrived on
 * @param listenPort - Port of an earlier worker in whose place this one starts; a free one by default
 * @param onIdle - Called with each connection on which no request arrives for a while
 * @returns The running stand-in
 */
export async function startRawWorker(
  id: string,
  respond: (socket: Socket, request: RawRequest) => void,
  listenPort = 0,
  onIdle?: (socket: Socket) => void,
): Promise<RawWorker> {
  const requests: RawRequest[] = [];
  const sockets = new Set<Socket>();
  // With half-open connections allowed, the end of a response is written by `respond` alone.
  const server: Server = createServer({ allowHalfOpen: true, noDelay: true }, (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('end', () => {
      socket.destroy();
    });
    const idleTimer = setTimeout(() => onIdle?.(socket), IDLE_MS);
    socket.once('close', () => {
      clearTimeout(idleTimer);
    });
    let received = '';
    socket.setEncoding('latin1').on('data', (text: string) => {
      received += text;
      clearTimeout(idleTimer);
      const parsed = parseRequest(received, requests.length);
      if (parsed === undefined) return;
      received = '';
      requests.push(parsed);
      respond(socket, parsed);
    });
  });
  const port = await listenOnLoopback(server, listenPort);
  const die = (first?: Socket): void => {
    server.close();
    first?.destroy();
    const closeAll = (): void => {
      for (const socket of sockets) socket.destroy();
    };
    if (first === undefined) closeAll();
    else setTimeout(closeAll, CLOSING_MS);
  };
  return {
    id,
    port,
    url: `http://127.0.0.1:${port}`,
    requests,
    get openConnections() {
      return sockets.size;
    },
    stopListening: () => {
      server.close();
    },
    die,
    close: () =>
      new Promise<void>((resolve) => {
        if (server.listening) {
          server.once('close', () => {
            resolve();
          });
          die();
        } else {
          for (const socket of sockets) socket.destroy();
          resolve();
        }
      }),
  };
}

/**
 * Formats the head of a signed response.
 *
 * @param requestId - Id of the request that it answers
 * @param headers - Further header lines
 * @param status - Status code and reason
 * @returns Text of the head with its blank line
 */
export function formatHead(
  requestId: string,
  headers: readonly string[] = [],
  status = '200 OK',
): string {
  const lines = [`Request-Id: ${requestId}`, `Server-Seal: seal.${requestId}`, ...headers];
  return `HTTP/1.1 ${status}\r\n${lines.join('\r\n')}${HEAD_END}`;
}

/**
 * Formats text as one chunk of a chunked body.
 *
 * @param text - Content in ASCII; empty for the last chunk
 * @returns The chunk
 */
export function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function parseRequest(text: string, index: number): RawRequest | undefined {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd === -1) return undefined;
  const head = text.slice(0, headEnd);
  const readHeader = (name: string): string =>
    new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1]?.trim() ?? '';
  const bodyLength = Number(readHeader('content-length'));
  if (text.length < headEnd + HEAD_END.length + bodyLength) return undefined;
  return {
    index,
    path: head.split(' ')[1] ?? '',
    requestId: readHeader('request-id'),
    lastEventId: Number(readHeader('last-event-id')),
  };
}
