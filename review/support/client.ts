import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { HOST, KEY } from './store.js';

/** How the answer to one request ended. */
export type Ending =
  /** Its length, last chunk or, without either, the orderly end of the connection was reached. */
  | 'complete'
  | 'truncated'
  | 'reset'
  /** The connection ended before the head of an answer. */
  | 'none'
  | 'timeout';

export interface ClientAnswer {
  readonly requestId: string;
  readonly path: string;
  readonly gateway: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly framing: 'length' | 'chunked' | 'connection' | 'none';
  readonly body: Buffer;
  readonly ending: Ending;
}

interface Head {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly framing: 'length' | 'chunked' | 'connection';
  readonly bodyStart: number;
}

export interface ClientRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly requestId: string;
  readonly deadlineMs: number;
  readonly body?: string;
  readonly headers?: readonly string[];
  readonly key?: string;
}

/**
 * Sends one request on a new connection and reads its answer as the protocol page describes it.
 *
 * @param target - Address of the gateway
 * @param request - Request
 * @param readClock - Milliseconds since the start of the run
 * @returns The answer with the way in which it ended
 */
export function sendRequest(
  target: { readonly ip: string; readonly front: number; readonly node: string },
  request: ClientRequest,
  readClock: () => number,
): Promise<ClientAnswer> {
  return new Promise((resolve) => {
    const sentAt = readClock();
    const socket = connect({ host: target.ip, port: target.front, noDelay: true });
    let received: Buffer = Buffer.alloc(0);
    let isSettled = false;
    const finish = (ending: Ending): void => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      const head = parseHead(received);
      const body = head === undefined ? Buffer.alloc(0) : readBody(received, head).body;
      socket.destroy();
      resolve({
        requestId: request.requestId,
        path: request.path,
        gateway: target.node,
        sentAt,
        endedAt: readClock(),
        status: head?.status ?? 0,
        headers: head?.headers ?? new Map<string, string>(),
        framing: head?.framing ?? 'none',
        body,
        ending,
      });
    };
    const timer = setTimeout(() => {
      finish('timeout');
    }, request.deadlineMs);
    socket.on('connect', () => {
      socket.write(formatRequest(request));
    });
    socket.on('data', (data: Buffer) => {
      received = Buffer.concat([received, data]);
      const head = parseHead(received);
      if (head !== undefined && readBody(received, head).isComplete) finish('complete');
    });
    socket.on('end', () => {
      const head = parseHead(received);
      if (head === undefined) finish('none');
      else if (isReset(socket)) finish('reset');
      else finish(head.framing === 'connection' ? 'complete' : 'truncated');
    });
    socket.on('error', () => {
      finish(parseHead(received) === undefined ? 'none' : 'reset');
    });
    socket.on('close', () => {
      finish('none');
    });
  });
}

/** The runtime may report a reset that arrives with the last bytes as an orderly end; then the peer is unknown. */
function isReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

export function formatRequest(request: ClientRequest): string {
  const { method, path, requestId, deadlineMs, body, headers, key = KEY } = request;
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `Request-Id: ${requestId}`,
    `Deadline-Ms: ${deadlineMs}`,
    `X-Api-Key: ${key}`,
    ...(headers ?? []),
    ...(body === undefined ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body ?? ''}`;
}

export function parseHead(received: Buffer): Head | undefined {
  const end = received.indexOf('\r\n\r\n');
  if (end === -1) return undefined;
  const [statusLine = '', ...lines] = received.subarray(0, end).toString('latin1').split('\r\n');
  const headers = new Map<string, string>();
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers.set(line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim());
  }
  const isChunked = /chunked\s*$/i.test(headers.get('transfer-encoding') ?? '');
  const unframed = headers.has('content-length') ? 'length' : 'connection';
  return {
    status: Number(statusLine.split(' ')[1] ?? 0),
    headers,
    framing: isChunked ? 'chunked' : unframed,
    bodyStart: end + 4,
  };
}

export function readBody(received: Buffer, head: Head): { body: Buffer; isComplete: boolean } {
  const rest = received.subarray(head.bodyStart);
  if (head.framing === 'connection') return { body: rest, isComplete: false };
  if (head.framing === 'length') {
    const length = Number(head.headers.get('content-length') ?? 0);
    return { body: rest.subarray(0, length), isComplete: rest.length >= length };
  }
  const chunks: Buffer[] = [];
  let position = 0;
  for (;;) {
    const lineEnd = rest.indexOf('\r\n', position);
    if (lineEnd === -1) return { body: Buffer.concat(chunks), isComplete: false };
    const size = Number.parseInt(rest.subarray(position, lineEnd).toString('latin1'), 16);
    const start = lineEnd + 2;
    if (size === 0) return { body: Buffer.concat(chunks), isComplete: rest.length >= start + 2 };
    chunks.push(rest.subarray(start, Math.min(rest.length, start + size)));
    position = start + size + 2;
    if (rest.length < position) return { body: Buffer.concat(chunks), isComplete: false };
  }
}

/**
 * Lists the ids of the whole events of a stream.
 *
 * @param body - Body of the answer
 * @returns Ids in order, and whether bytes of an incomplete event follow
 */
export function listEvents(body: Buffer): { ids: number[]; isPartial: boolean } {
  const parts = body.toString('utf8').split('\n\n');
  const rest = parts.pop() ?? '';
  const ids = parts.map((part) => Number(/^id: (\d+)$/m.exec(part)?.[1] ?? Number.NaN));
  return { ids, isPartial: rest !== '' };
}
