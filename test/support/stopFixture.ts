import type { Socket } from 'node:net';
import { formatEvent } from '../standins/platformWorker.js';
import type { RawRequest } from '../standins/rawWorker.js';
import { formatChunk, formatHead } from '../standins/rawWorker.js';
import type { RawExchange } from './rawCaller.js';
import { formatRequest } from './rawCaller.js';
import type { ParsedResponse } from './responseParser.js';
import { parseResponses } from './responseParser.js';
import { waitMs } from './waiting.js';

export const EVENT_INTERVAL_MS = 100;

/** Answers a request of an upstream. */
export type Responder = (socket: Socket, request: RawRequest) => Promise<void>;

/**
 * Creates routes of each kind, whose prefixes are their names.
 *
 * @param timeoutMs - Time limit of all routes
 * @returns Routes of a published configuration
 */
export function createStopRoutes(timeoutMs: number): object[] {
  const base = {
    host: 'app.example',
    timeoutMs,
    targetLatencyMs: 2_000,
    targetGapMs: 500,
    priority: 1,
    service: 'assistant',
    public: false,
    maxAttempts: 2,
  };
  return [
    { ...base, name: 'chat', prefix: '/chat/', routeType: 'streaming', resumable: true },
    { ...base, name: 'talk', prefix: '/talk/', routeType: 'streaming', resumable: false },
    { ...base, name: 'lookup', prefix: '/lookup/', routeType: 'idempotent' },
    { ...base, name: 'large', prefix: '/large/', routeType: 'idempotent' },
    { ...base, name: 'pay', prefix: '/pay/', routeType: 'non_idempotent' },
  ];
}

/**
 * Formats a request with a deadline.
 *
 * @param path - Request target
 * @param requestId - Id of the request
 * @param body - Body; absent for GET
 * @param deadlineMs - Time for which its caller waits
 * @returns Text of the request
 */
export function formatTimedRequest(
  path: string,
  requestId: string,
  body?: string,
  deadlineMs = 2_000,
): string {
  const text = formatRequest(path, requestId, body);
  return text.replace(/Deadline-Ms: \d+/, `Deadline-Ms: ${deadlineMs}`);
}

/**
 * Parses what a caller has received so far.
 *
 * @param exchange - Caller, or its finished exchange
 * @returns Responses in order
 */
export function listResponses({ received }: Pick<RawExchange, 'received'>): ParsedResponse[] {
  return parseResponses(received, false).responses;
}

/**
 * Answers after the time that the path ends with, in milliseconds; streams send an event each `EVENT_INTERVAL_MS`
 * meanwhile. `/large/N` gets N bytes at once.
 */
export const respondByPath: Responder = async (socket, { requestId, path }) => {
  const size = Number(path.split('/').at(-1));
  if (path.startsWith('/large/')) {
    socket.end(formatHead(requestId, [`Content-Length: ${size}`]) + 'x'.repeat(size));
    return;
  }
  if (!path.startsWith('/chat/') && !path.startsWith('/talk/')) {
    await waitMs(size);
    if (!socket.destroyed) socket.end(`${formatHead(requestId, ['Content-Length: 4'])}done`);
    return;
  }
  const headers = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'];
  socket.write(formatHead(requestId, headers));
  const events = Math.ceil(size / EVENT_INTERVAL_MS);
  for (let id = 1; id <= events && !socket.destroyed; id += 1) {
    socket.write(formatChunk(formatEvent(id)));
    await waitMs(EVENT_INTERVAL_MS);
  }
  if (!socket.destroyed) socket.end(formatChunk(''));
};
