import type { Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import type { StandIn } from './httpServer.js';
import { listenOnLoopback } from './httpServer.js';

/** A request as it arrived on a connection. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

export interface RepeatingServer extends StandIn {
  readonly requests: readonly ReceivedRequest[];
}

const HEAD_END = '\r\n\r\n';

/**
 * Starts a faulty server that keeps connections open, and writes its last response on a connection once more before
 * the response to the next request.
 *
 * @param respond - Creates the response to a request, head and body
 * @param isRepeated - Whether a response is written once more; all by default
 * @returns The running stand-in
 */
export async function startRepeatingServer(
  respond: (request: ReceivedRequest, index: number) => string,
  isRepeated: (response: string) => boolean = () => true,
): Promise<RepeatingServer> {
  const requests: ReceivedRequest[] = [];
  const sockets = new Set<Socket>();
  const server: Server = createServer({ noDelay: true }, (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    let received = '';
    let last = '';
    socket.setEncoding('utf8').on('data', (text: string) => {
      received += text;
      for (;;) {
        const request = parseRequest(received);
        if (request === undefined) return;
        received = '';
        requests.push(request);
        const response = respond(request, requests.length - 1);
        socket.write(last + response);
        last = isRepeated(response) ? response : '';
      }
    });
  });
  const port = await listenOnLoopback(server, 0);
  return {
    port,
    url: `http://127.0.0.1:${port}`,
    requests,
    close: () =>
      new Promise<void>((resolve) => {
        for (const socket of sockets) socket.destroy();
        server.close(() => {
          resolve();
        });
      }),
  };
}

/**
 * Formats a response with a length.
 *
 * @param status - Status code
 * @param value - JSON body
 * @param headers - Further header lines
 * @returns Text of the response
 */
export function formatResponse(
  status: number,
  value: unknown,
  headers: readonly string[] = [],
): string {
  const body = JSON.stringify(value);
  const lines = [
    `HTTP/1.1 ${status} Status`,
    'Content-Type: application/json',
    ...headers,
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  return `${lines.join('\r\n')}${HEAD_END}${body}`;
}

function parseRequest(text: string): ReceivedRequest | undefined {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd === -1) return undefined;
  const [requestLine = '', ...lines] = text.slice(0, headEnd).split('\r\n');
  const headers = new Map(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const body = text.slice(headEnd + HEAD_END.length);
  if (body.length < Number(headers.get('content-length') ?? 0)) return undefined;
  const [method = '', path = ''] = requestLine.split(' ');
  return { method, path, headers, body };
}
