import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { StandIn } from './httpServer.js';
import { listenOnLoopback } from './httpServer.js';

/** What a worker does with a request. */
export type WorkerBehaviour =
  | 'serve'
  /** Breaks off in the middle of the third event. */
  | 'cut'
  | 'cutBeforeAnswer'
  | 'notExecuted'
  | 'otherInstance'
  | 'error'
  | 'otherRequestId'
  | 'unsealed'
  /** A body without length that ends with a reset. */
  | 'unframedReset'
  /** A body without length that ends with the connection. */
  | 'unframed'
  /** A chunked body that ends without its last chunk, on a connection that closes in order. */
  | 'chunkedCut'
  | 'hang'
  /** Stops listening and breaks the connection. */
  | 'crash';

export interface SeenRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** The connection was closed before the answer was whole. */
  isAbandoned: boolean;
}

export interface WorkerStandIn extends StandIn {
  readonly id: string;
  behaviour: WorkerBehaviour;
  readonly seen: SeenRequest[];
  /** Pause between two events, milliseconds. */
  gapMs: number;
  stopListening(): void;
}

const EVENTS = 6;
const CUT_AFTER = 2;

/**
 * Formats one event as the workers do.
 *
 * @param id - Event id
 * @returns Bytes of the event
 */
export function formatEvent(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Number of events of each stream. */
export const eventsPerStream = EVENTS;

/**
 * Starts a worker that streams events for POST and answers GET with a short body.
 *
 * @param id - Instance id
 * @returns The running worker
 */
export async function startPlatformWorker(id: string): Promise<WorkerStandIn> {
  const state = {
    id,
    behaviour: 'serve' as WorkerBehaviour,
    seen: [] as SeenRequest[],
    gapMs: 5,
    stopListening: () => {
      server.close();
    },
  };
  const server: Server = createServer((request, response) => {
    void serve(state, request, response);
  });
  const port = await listenOnLoopback(server, 0);
  return Object.assign(state, {
    port,
    url: `http://127.0.0.1:${port}`,
    close: () =>
      new Promise<void>((resolve) => {
        server.closeAllConnections();
        server.close(() => {
          resolve();
        });
      }),
  });
}

type Serve = (response: ServerResponse, requestId: string, from: number) => unknown;

async function serve(
  state: Pick<WorkerStandIn, 'id' | 'behaviour' | 'seen' | 'gapMs' | 'stopListening'>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  const seen: SeenRequest = {
    method: request.method ?? '',
    url: request.url ?? '',
    headers: request.headers,
    body: Buffer.concat(parts).toString('utf8'),
    isAbandoned: false,
  };
  state.seen.push(seen);
  response.once('close', () => {
    if (!response.writableFinished) seen.isAbandoned = true;
  });
  const requestId = String(request.headers['request-id']);
  const seal = { 'Request-Id': requestId, 'Server-Seal': `seal.${state.id}` };
  const isStream = request.method === 'POST' && request.url?.startsWith('/chat/') === true;
  const stream = async (until: number, from: number): Promise<void> => {
    response.writeHead(200, { 'Content-Type': 'text/event-stream', ...seal });
    for (let event = from + 1; event <= until; event += 1) {
      response.write(formatEvent(event));
      await new Promise((resolve) => setTimeout(resolve, state.gapMs));
    }
  };
  const behaviours: Readonly<Record<WorkerBehaviour, Serve>> = {
    serve: async (_response, _id, from) => {
      if (isStream) {
        await stream(EVENTS, from);
        response.end();
      } else response.writeHead(200, { 'Content-Type': 'text/plain', ...seal }).end('balance 12');
    },
    cut: async (_response, _id, from) => {
      await stream(from + CUT_AFTER, from);
      response.write(formatEvent(from + CUT_AFTER + 1).slice(0, 9));
      setTimeout(() => response.destroy(), state.gapMs);
    },
    cutBeforeAnswer: () => response.destroy(),
    notExecuted: () => response.writeHead(503, { 'Not-Executed': '1' }).end(),
    otherInstance: () => response.writeHead(421, { 'Instance-Id': 'other' }).end(),
    error: () => response.writeHead(500, seal).end('failed'),
    otherRequestId: () => response.writeHead(200, { ...seal, 'Request-Id': 'other' }).end('wrong'),
    unsealed: () => response.writeHead(200, { 'Request-Id': requestId }).end('unsigned'),
    unframedReset: () => {
      const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Seal: s\r\nConnection: close\r\n\r\n`;
      response.socket?.write(`${head}half of a bal`, () => {
        setTimeout(() => response.socket?.resetAndDestroy(), state.gapMs);
      });
    },
    unframed: () => {
      const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Seal: s\r\nConnection: close\r\n\r\n`;
      response.socket?.end(`${head}half of a bal`);
    },
    chunkedCut: () => {
      const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Seal: s\r\nConnection: close\r\n`;
      response.socket?.end(`${head}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`);
    },
    hang: () => undefined,
    crash: () => {
      state.stopListening();
      response.destroy();
    },
  };
  await behaviours[state.behaviour](
    response,
    requestId,
    Number(request.headers['last-event-id'] ?? 0),
  );
}
