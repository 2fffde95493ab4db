import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { formatChunk } from '../standins/rawWorker.js';
import { waitMs } from './waiting.js';

/** How the requests of a crowd look to the process that serves them. */
export interface CrowdTarget {
  readonly url: string;
  /** Path of a route that accepts bodies. */
  readonly path: string;
  /** Path of a route with a large response. */
  readonly largePath: string;
  /** Header lines that authenticate the caller; empty for a caller without a key. */
  readonly keyLines: readonly string[];
  /** Largest body that the process accepts. */
  readonly maxBodyBytes: number;
}

/** Callers of one kind, each with one connection that it keeps open. */
export interface CrowdKind {
  readonly connections: number;
  /** Whether the callers read what they get. */
  readonly isReading: boolean;
  /** Whether the process has to close all of the connections. */
  readonly isClosed: boolean;
  /** Pause between two writes. */
  readonly intervalMs?: number;
  /** Creates what one caller writes, in order. */
  createWrites(target: CrowdTarget): Iterable<Buffer>;
}

/** Bytes of one write of a large body. */
const WRITE_BYTES = 64 * 1024;
const REQUESTS_AHEAD = 4_000;
const TINY_CHUNKS = 60_000;
const OVERSIZED_BYTES = 10 * 1024 * 1024;
const UNFINISHED_HEAD_BYTES = 15 * 1024;
const EXTENSION_BYTES = 12 * 1024;
const LARGE_RESPONSES = 4;

const formatHead = (method: string, path: string, lines: readonly string[]): string =>
  `${[`${method} ${path} HTTP/1.1`, 'Host: app.example', ...lines].join('\r\n')}\r\n\r\n`;

const ID_LINE = 'Request-Id: crowd';

const formatPost = ({ path, keyLines }: CrowdTarget, line: string): Buffer =>
  Buffer.from(formatHead('POST', path, [...keyLines, ID_LINE, line]));

/** Creates the chunks of a body of a given size. */
function* createChunks(bytes: number): Iterable<Buffer> {
  const chunk = Buffer.from(formatChunk('x'.repeat(WRITE_BYTES)));
  let left = bytes;
  for (; left > WRITE_BYTES; left -= WRITE_BYTES) yield chunk;
  yield Buffer.from(formatChunk('x'.repeat(left)));
}

function* repeat(bytes: Buffer, count: number): Iterable<Buffer> {
  for (let index = 0; index < count; index += 1) yield bytes;
}

/** Requests in writes of 100, without an id, a time limit or a body. */
function* createRequestsAhead(request: string): Iterable<Buffer> {
  yield* repeat(Buffer.from(request.repeat(100)), REQUESTS_AHEAD / 100);
}

/** Crowds of callers that do not behave, by what they send. */
export const crowdKinds = {
  'requests sent ahead, whose responses nobody reads': {
    connections: 40,
    isReading: false,
    isClosed: false,
    createWrites: ({ path, keyLines }) =>
      createRequestsAhead(`${formatHead('POST', path, [...keyLines, 'Content-Length: 2'])}{}`),
  },
  'requests with ids sent ahead, whose responses nobody reads': {
    connections: 40,
    isReading: false,
    isClosed: false,
    *createWrites({ path, keyLines }) {
      for (let index = 0; index < REQUESTS_AHEAD; index += 1) {
        const lines = [...keyLines, `Request-Id: ahead-${index}`, 'Content-Length: 2'];
        yield Buffer.from(`${formatHead('POST', path, lines)}{}`);
      }
    },
  },
  'requests with Expect sent ahead, whose responses nobody reads': {
    connections: 40,
    isReading: false,
    isClosed: false,
    createWrites: ({ path, keyLines }) => {
      const lines = [...keyLines, ID_LINE, 'Expect: 100-continue', 'Content-Length: 2'];
      return createRequestsAhead(`${formatHead('POST', path, lines)}{}`);
    },
  },
  'unfinished bodies in chunks of one byte': {
    connections: 60,
    isReading: true,
    isClosed: true,
    *createWrites(target) {
      yield formatPost(target, 'Transfer-Encoding: chunked');
      yield* repeat(Buffer.from(formatChunk('x').repeat(1_000)), TINY_CHUNKS / 1_000);
    },
  },
  'bodies that stop one byte short of the limit': {
    connections: 250,
    isReading: true,
    isClosed: true,
    *createWrites(target) {
      yield formatPost(target, 'Transfer-Encoding: chunked');
      yield* createChunks(target.maxBodyBytes - 1);
    },
  },
  'bodies far over the limit, announced': {
    connections: 60,
    isReading: true,
    isClosed: true,
    *createWrites(target) {
      yield formatPost(target, `Content-Length: ${2 ** 31}`);
      yield* repeat(Buffer.alloc(WRITE_BYTES, 'x'), OVERSIZED_BYTES / WRITE_BYTES);
    },
  },
  'bodies far over the limit, just sent': {
    connections: 60,
    isReading: true,
    isClosed: true,
    *createWrites(target) {
      yield formatPost(target, 'Transfer-Encoding: chunked');
      yield* createChunks(OVERSIZED_BYTES);
    },
  },
  'chunk extensions without end': {
    connections: 40,
    isReading: true,
    isClosed: true,
    *createWrites(target) {
      yield formatPost(target, 'Transfer-Encoding: chunked');
      const chunk = `1;${'e'.repeat(EXTENSION_BYTES)}\r\nx\r\n`;
      yield* repeat(Buffer.from(chunk), OVERSIZED_BYTES / EXTENSION_BYTES);
    },
  },
  'heads that stop short of their end': {
    connections: 300,
    isReading: true,
    isClosed: true,
    *createWrites({ path }) {
      const head = formatHead('GET', path, [`X-Fill: ${'x'.repeat(UNFINISHED_HEAD_BYTES)}`]);
      yield Buffer.from(head.slice(0, -2));
    },
  },
  'heads that come a byte at a time': {
    connections: 60,
    isReading: true,
    isClosed: true,
    intervalMs: 20,
    *createWrites({ path }) {
      for (const byte of Buffer.from(formatHead('GET', path, [`X-Fill: ${'x'.repeat(4_000)}`]))) {
        yield Buffer.from([byte]);
      }
    },
  },
  'connections without a request': {
    connections: 600,
    isReading: true,
    isClosed: false,
    createWrites: () => [],
  },
  'large responses that nobody reads': {
    connections: 100,
    isReading: false,
    isClosed: false,
    createWrites: ({ largePath, keyLines }) =>
      repeat(Buffer.from(formatHead('GET', largePath, [...keyLines, ID_LINE])), LARGE_RESPONSES),
  },
} as const satisfies Readonly<Record<string, CrowdKind>>;

export type CrowdName = keyof typeof crowdKinds;

/** A running crowd. */
export interface Crowd {
  /** Number of its connections that are open or wait to be opened. */
  countOpen(): number;
  close(): void;
}

/**
 * Starts a crowd; each caller sends as fast as its connection takes it.
 *
 * @param kind - What the callers send
 * @param target - Process that they call
 * @returns The running crowd
 */
export function startCrowd(kind: CrowdKind, target: CrowdTarget): Crowd {
  const sockets = Array.from({ length: kind.connections }, () => startCaller(kind, target));
  return {
    countOpen: () => sockets.filter((socket) => !socket.closed).length,
    close: () => {
      for (const socket of sockets) socket.destroy();
    },
  };
}

function startCaller(kind: CrowdKind, target: CrowdTarget): Socket {
  const socket = connect({ host: '127.0.0.1', port: Number(new URL(target.url).port) });
  socket.setNoDelay(true);
  socket.on('error', () => undefined);
  if (kind.isReading) socket.resume();
  else socket.pause();
  void writeAll(socket, kind, target);
  return socket;
}

async function writeAll(socket: Socket, kind: CrowdKind, target: CrowdTarget): Promise<void> {
  for (const bytes of kind.createWrites(target)) {
    if (socket.destroyed) return;
    if (!socket.write(bytes)) {
      await new Promise<void>((resolve) => {
        socket.once('drain', resolve).once('close', resolve);
      });
    }
    if (kind.intervalMs !== undefined) await waitMs(kind.intervalMs);
  }
}
