import type { Socket } from 'node:net';
import type { RawRequest, RawWorker } from './rawWorker.js';
import { formatHead, startRawWorker } from './rawWorker.js';

const BLOCK_BYTES = 64 * 1024;
/** Interval of the bytes of a response whose worker sends without end elsewhere. */
const SLOW_INTERVAL_MS = 100;
const HUGE_LENGTH = 1_000_000_000_000;
const CHUNKED = 'Transfer-Encoding: chunked';
const EVENT_STREAM = 'Content-Type: text/event-stream';

interface EndlessResponse {
  /** Bytes before the endless part. */
  readonly start: (request: RawRequest) => string;
  /** Repeated until the connection closes. */
  readonly repeated: string;
  /** Creates each following block instead, from the number of blocks before it. */
  readonly createBlock?: (index: number) => string;
  /** What connections without a request receive; the responses then go on byte by byte. */
  readonly idle?: {
    /** Bytes after which the connection is closed; without a bound by default. */
    readonly maxBytes?: number;
  };
}

const EVENTS_PER_CHUNK = 500;
const COMMENTS_PER_CHUNK = 1_000;

const formatData = (size: number): string => `${size.toString(16)}\r\n${'a'.repeat(size)}\r\n`;
const formatStreamHead = ({ requestId }: RawRequest): string =>
  formatHead(requestId, [EVENT_STREAM, CHUNKED]);
const formatEventChunk = (id: number, text = 'a'): string => {
  const event = `id: ${id}\ndata: ${text}\n\n`;
  return `${event.length.toString(16)}\r\n${event}\r\n`;
};

const formatBody = (content: string): string => `${content.length.toString(16)}\r\n${content}\r\n`;
const formatNewEvents = (index: number): string => {
  const events = Array.from({ length: EVENTS_PER_CHUNK }, (_, offset) =>
    formatNumberedEvent(index * EVENTS_PER_CHUNK + offset + 1),
  );
  return formatBody(events.join(''));
};
const formatNumberedEvent = (id: number): string => `id: ${id}\ndata: ${'a'.repeat(72)}\n\n`;

/** Responses without an end, by the part that does not end. */
export const endlessResponses = {
  statusLine: { start: () => 'HTTP/1.1 200 ', repeated: 'a' },
  headerLine: { start: () => 'HTTP/1.1 200 OK\r\nX-Long: ', repeated: 'a' },
  headers: { start: () => 'HTTP/1.1 200 OK\r\n', repeated: 'X-Again: a\r\n' },
  informational: {
    start: () => '',
    repeated: 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n',
  },
  length: {
    start: ({ requestId }) => formatHead(requestId, [`Content-Length: ${HUGE_LENGTH}`]),
    repeated: 'a',
  },
  chunks: {
    start: ({ requestId }) => formatHead(requestId, [CHUNKED]),
    repeated: formatData(1_000),
  },
  unframed: { start: ({ requestId }) => formatHead(requestId), repeated: 'a' },
  chunkExtension: {
    start: ({ requestId }) => `${formatHead(requestId, [CHUNKED])}1;x=`,
    repeated: 'a',
  },
  trailers: {
    start: ({ requestId }) => `${formatHead(requestId, [CHUNKED])}${formatData(1)}0\r\n`,
    repeated: 'X-Again: a\r\n',
  },
  noise: { start: () => '', repeated: 'zzz\r\n' },
  event: { start: (request) => formatStreamHead(request), repeated: formatData(1_000) },
  eventLines: {
    start: (request) => formatStreamHead(request),
    repeated: '9\r\ndata: aa\n\r\n',
  },
  comments: {
    start: (request) => formatStreamHead(request) + formatEventChunk(1),
    repeated: '3\r\n:a\n\r\n',
  },
  repeatedEvent: {
    start: (request) => formatStreamHead(request),
    repeated: formatEventChunk(1, 'a'.repeat(100)),
  },
} as const satisfies Record<string, EndlessResponse>;

/** Responses without an end that cost far more than their bytes, or begin with a sound response. */
export const endlessFloods = {
  byteChunks: {
    start: ({ requestId }) => formatHead(requestId, [CHUNKED]),
    repeated: formatData(1),
  },
  manyComments: {
    start: (request) => formatStreamHead(request) + formatEventChunk(1),
    repeated: formatBody(': x\n\n'.repeat(COMMENTS_PER_CHUNK)),
  },
  newEvents: {
    start: (request) => formatStreamHead(request),
    repeated: '',
    createBlock: formatNewEvents,
  },
  soundThenBytes: {
    start: ({ requestId }) => `${formatHead(requestId, ['Content-Length: 2'])}ok`,
    repeated: 'a',
  },
  idleBytes: { start: ({ requestId }) => formatHead(requestId), repeated: 'a', idle: {} },
  idleBursts: {
    start: ({ requestId }) => formatHead(requestId),
    repeated: 'a',
    idle: { maxBytes: 4 * 1024 * 1024 },
  },
  nestedJson: {
    start: ({ requestId }) => formatHead(requestId, [CHUNKED, 'Content-Type: application/json']),
    repeated: formatBody('['.repeat(1_000)),
  },
} as const satisfies Record<string, EndlessResponse>;

const allResponses: Readonly<Record<EndlessPart, EndlessResponse>> = {
  ...endlessResponses,
  ...endlessFloods,
};

export type EndlessPart = keyof typeof endlessResponses | keyof typeof endlessFloods;

/** Names of all parts. */
export const endlessParts = Object.keys(allResponses) as EndlessPart[];

export interface EndlessWorker extends RawWorker {
  /** Bytes that the worker has handed to its connections. */
  readonly sentBytes: number;
  /** Number of responses that are still being sent. */
  readonly active: number;
}

/**
 * Starts a worker whose responses do not end.
 *
 * @param id - Instance id
 * @param part - Part that does not end
 * @returns The running stand-in
 */
export async function startEndlessWorker(id: string, part: EndlessPart): Promise<EndlessWorker> {
  let sentBytes = 0;
  let active = 0;
  const response: EndlessResponse = allResponses[part];
  const repeatedBlock = response.repeated.repeat(
    Math.ceil(BLOCK_BYTES / Math.max(1, response.repeated.length)),
  );
  const send = (socket: Socket, index = 0): void => {
    if (socket.destroyed) return;
    const block = response.createBlock?.(index) ?? repeatedBlock;
    sentBytes += block.length;
    socket.write(block, 'latin1', () => {
      setImmediate(send, socket, index + 1);
    });
  };
  const { idle } = response;
  const sendIdle = (socket: Socket, sent = 0): void => {
    if (socket.destroyed) return;
    if (sent >= (idle?.maxBytes ?? Infinity)) {
      socket.end();
      return;
    }
    sentBytes += repeatedBlock.length;
    socket.write(repeatedBlock, 'latin1', () => {
      setImmediate(sendIdle, socket, sent + repeatedBlock.length);
    });
  };
  const sendSlowly = (socket: Socket): void => {
    const timer = setInterval(() => socket.write('a'), SLOW_INTERVAL_MS);
    socket.once('close', () => {
      clearInterval(timer);
    });
  };
  const worker = await startRawWorker(
    id,
    (socket, request) => {
      active += 1;
      socket.once('close', () => (active -= 1));
      socket.write(response.start(request));
      if (idle === undefined) send(socket);
      else sendSlowly(socket);
    },
    0,
    idle === undefined ? undefined : sendIdle,
  );
  return {
    ...worker,
    get sentBytes() {
      return sentBytes;
    },
    get active() {
      return active;
    },
  };
}
