import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { StandIn } from './httpServer.js';
import { listenOnLoopback } from './httpServer.js';

/** Behaviour of a worker on a request. */
export type WorkerBehaviour =
  | 'serve'
  /** Closes the connection in the middle of the third event. */
  | 'truncatedStream'
  | 'closedBeforeResponse'
  | 'notExecuted'
  | 'wrongInstance'
  | 'error'
  | 'wrongRequestId'
  | 'unsigned'
  /** Sends a body without content length and resets the connection. */
  | 'unframedReset'
  /** Sends a body without content length, terminated by closing the connection. */
  | 'unframed'
  /** Sends a chunked body without the terminating chunk and closes the connection normally. */
  | 'truncatedChunked'
  /** Sends a stream without content length or chunks, terminated by closing the connection. */
  | 'unframedStream'
  /** The same, closed in the middle of the third event. */
  | 'truncatedUnframedStream'
  | 'hang'
  /** Stops listening and closes the connection. */
  | 'crash';

export interface ReceivedRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Monotonic time of the arrival, milliseconds. */
  readonly receivedAt: number;
  /** The connection was closed before the response was complete. */
  isAbandoned: boolean;
}

export interface WorkerStandIn extends StandIn {
  readonly id: string;
  behaviour: WorkerBehaviour;
  readonly receivedRequests: ReceivedRequest[];
  /** Delay between two events, milliseconds. */
  eventIntervalMs: number;
  /** Part of a prompt that ends the worker when it begins to write a response; see `restartMs`. */
  crashingPart: string | undefined;
  /** Time after which a worker that has crashed listens again, milliseconds. */
  restartMs: number;
  /** Called when the worker listens again. */
  onRestarted: (() => void) | undefined;
  /** Value of the rate limit header in each signed response; none is sent while undefined. */
  rateLimit: string | undefined;
  /** Further headers of each response, also of refusals. */
  statedHeaders: Readonly<Record<string, string>>;
  /** Called for each request, before the behaviour of the response is chosen. */
  onReceived: (() => void) | undefined;
  stopListening(): void;
}

const EVENT_COUNT = 6;
/** Time from the head of a response to the crash of the worker that writes it. */
const CRASH_DELAY_MS = 20;
const EVENTS_BEFORE_TRUNCATION = 2;

/**
 * Formats a server-sent event of the workers.
 *
 * @param id - Event id
 * @returns Text of the event
 */
export function formatEvent(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

function formatEvents(from: number, until: number): string {
  let text = '';
  for (let id = from; id <= until; id += 1) text += formatEvent(id);
  return text;
}

function formatUnframedHead(requestId: string): string {
  return [
    'HTTP/1.1 200 OK',
    'Content-Type: text/event-stream',
    `Request-Id: ${requestId}`,
    'Server-Seal: s',
    'Connection: close',
    '\r\n',
  ].join('\r\n');
}

/** Number of events of each stream. */
export const eventsPerStream = EVENT_COUNT;

/**
 * Starts a worker that streams events for POST requests to `/chat/` and responds to others with a short body.
 *
 * @param id - Instance id
 * @returns The running stand-in
 */
export async function startPlatformWorker(id: string): Promise<WorkerStandIn> {
  const state = {
    id,
    behaviour: 'serve' as WorkerBehaviour,
    receivedRequests: [] as ReceivedRequest[],
    eventIntervalMs: 5,
    crashingPart: undefined as string | undefined,
    restartMs: 500,
    onRestarted: undefined as (() => void) | undefined,
    rateLimit: undefined as string | undefined,
    statedHeaders: {} as Readonly<Record<string, string>>,
    onReceived: undefined as (() => void) | undefined,
    stopListening: () => {
      server.close();
    },
    crashAndRestart: () => {
      if (!server.listening) return;
      server.close();
      server.closeAllConnections();
      setTimeout(() => {
        server.listen(port, '127.0.0.1', () => state.onRestarted?.());
      }, state.restartMs).unref();
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

/**
 * Lists the parts of the prompt of a request.
 *
 * @param request - Request as the worker received it
 * @returns Ids of all parts, in order
 */
export function listPromptParts({ headers }: Pick<ReceivedRequest, 'headers'>): string[] {
  const value = String(headers['prefix-hash'] ?? '');
  return value.split(',').map((part) => part.split(':')[0] ?? '');
}

type RespondToRequest = (response: ServerResponse, requestId: string, from: number) => unknown;

async function serve(
  state: Pick<
    WorkerStandIn,
    | 'id'
    | 'behaviour'
    | 'receivedRequests'
    | 'eventIntervalMs'
    | 'rateLimit'
    | 'statedHeaders'
    | 'onReceived'
    | 'stopListening'
    | 'crashingPart'
  > & { crashAndRestart(): void },
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const receivedAt = performance.now();
  const chunks: Buffer[] = [];
  for await (const part of request) chunks.push(part as Buffer);
  const received: ReceivedRequest = {
    method: request.method ?? '',
    url: request.url ?? '',
    headers: request.headers,
    body: Buffer.concat(chunks).toString('utf8'),
    receivedAt,
    isAbandoned: false,
  };
  state.receivedRequests.push(received);
  state.onReceived?.();
  response.once('close', () => {
    if (!response.writableFinished) received.isAbandoned = true;
  });
  const requestId = String(request.headers['request-id']);
  const signedHeaders = {
    'Request-Id': requestId,
    'Server-Seal': `seal.${state.id}`,
    ...(state.rateLimit === undefined ? {} : { 'Server-Limit': state.rateLimit }),
    ...state.statedHeaders,
  };
  const isStream = request.method === 'POST' && request.url?.startsWith('/chat/') === true;
  const stream = async (until: number, from: number): Promise<void> => {
    response.writeHead(200, { 'Content-Type': 'text/event-stream', ...signedHeaders });
    for (let event = from + 1; event <= until; event += 1) {
      response.write(formatEvent(event));
      await new Promise((resolve) => setTimeout(resolve, state.eventIntervalMs));
    }
  };
  const parts = listPromptParts(received);
  if (state.crashingPart !== undefined && parts.includes(state.crashingPart)) {
    response.writeHead(200, { 'Content-Type': 'text/event-stream', ...signedHeaders });
    response.flushHeaders();
    setTimeout(() => {
      state.crashAndRestart();
    }, CRASH_DELAY_MS);
    return;
  }
  const behaviours: Readonly<Record<WorkerBehaviour, RespondToRequest>> = {
    serve: async (_response, _id, from) => {
      if (isStream) {
        await stream(EVENT_COUNT, from);
        response.end();
      } else
        response
          .writeHead(200, { 'Content-Type': 'text/plain', ...signedHeaders })
          .end('balance 12');
    },
    truncatedStream: async (_response, _id, from) => {
      await stream(from + EVENTS_BEFORE_TRUNCATION, from);
      response.write(formatEvent(from + EVENTS_BEFORE_TRUNCATION + 1).slice(0, 9));
      setTimeout(() => response.destroy(), state.eventIntervalMs);
    },
    closedBeforeResponse: () => response.destroy(),
    notExecuted: () =>
      response.writeHead(503, { 'Not-Executed': '1', ...state.statedHeaders }).end(),
    wrongInstance: () =>
      response.writeHead(421, { 'Instance-Id': 'other', ...state.statedHeaders }).end(),
    error: () => response.writeHead(500, signedHeaders).end('failed'),
    wrongRequestId: () =>
      response.writeHead(200, { ...signedHeaders, 'Request-Id': 'other' }).end('wrong'),
    unsigned: () => response.writeHead(200, { 'Request-Id': requestId }).end('unsigned'),
    unframedReset: () => {
      const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Seal: s\r\nConnection: close\r\n\r\n`;
      response.socket?.write(`${head}half of a bal`, () => {
        setTimeout(() => response.socket?.resetAndDestroy(), state.eventIntervalMs);
      });
    },
    unframed: () => {
      const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Seal: s\r\nConnection: close\r\n\r\n`;
      response.socket?.end(`${head}half of a bal`);
    },
    truncatedChunked: () => {
      const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Seal: s\r\nConnection: close\r\n`;
      response.socket?.end(`${head}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`);
    },
    unframedStream: (_response, _id, from) => {
      const events = formatEvents(from + 1, EVENT_COUNT);
      response.socket?.end(`${formatUnframedHead(requestId)}${events}`);
    },
    truncatedUnframedStream: (_response, _id, from) => {
      const last = from + EVENTS_BEFORE_TRUNCATION;
      const events = `${formatEvents(from + 1, last)}${formatEvent(last + 1).slice(0, 9)}`;
      response.socket?.end(`${formatUnframedHead(requestId)}${events}`);
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
