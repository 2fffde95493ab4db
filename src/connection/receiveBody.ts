import type { IncomingMessage } from 'node:http';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { BodyBuffer } from './bodyBuffer.js';
import type { CallerMemory, MemoryHold } from './callerMemory.js';
import { RESERVED_BYTES } from './callerMemory.js';
import type { RequestReader } from './requestReader.js';

/** A body counts anew, and as moving, each time it has grown by this much. */
const REPORT_BYTES = 16 * 1024;

/**
 * Why a body was not received: it is too large, its connection was closed, the signal was aborted, or its memory was needed
 * for others.
 */
export type BodyFailure = 'too_large' | 'closed' | 'aborted' | 'evicted';

export interface BodyOptions {
  readonly maxBytes: number;
  readonly memory: CallerMemory;
  /** Callers of one group get memory after those of groups that hold less. */
  readonly group: string;
  readonly reader: Pick<RequestReader, 'suspend' | 'resume'>;
  /** Ends the wait for the body. */
  readonly signal: AbortSignal;
  /** Current time in milliseconds. */
  readonly readClock: () => number;
}

/** A complete body, whose memory counts until it is released. */
export interface ReceivedBody {
  /** Undefined for a request without a body. */
  readonly bytes: Buffer<ArrayBuffer> | undefined;
  readonly release: () => void;
}

/**
 * Receives the body of a request. What comes after a failure is left to the caller of this function.
 *
 * @param request - Request whose body has not been read
 * @param options - Bounds, and the memory in which the body counts
 * @returns The body, or why it was not received
 */
export function receiveBody(
  request: IncomingMessage,
  options: BodyOptions,
): Promise<Result<ReceivedBody, BodyFailure>> {
  const { maxBytes, signal } = options;
  const contentLength = Number(request.headers['content-length'] ?? Number.NaN);
  if (contentLength > maxBytes) return Promise.resolve(Err('too_large'));
  if (signal.aborted) return Promise.resolve(Err('aborted'));
  return new Promise((resolve) => {
    const body = new BodyBuffer(contentLength);
    let nextReportAt = RESERVED_BYTES;
    let isSettled = false;
    const settle = (outcome: Result<ReceivedBody, BodyFailure>): void => {
      if (isSettled) return;
      isSettled = true;
      request.off('data', add).off('end', finish).off('close', leave);
      signal.removeEventListener('abort', abort);
      if (outcome.isErr()) hold.release();
      options.reader.resume();
      resolve(outcome);
    };
    const fail = (failure: BodyFailure): void => {
      settle(Err(failure));
    };
    const hold = openHold(request, options, () => {
      fail('evicted');
    });
    const add = (part: Buffer<ArrayBuffer>): void => {
      body.add(part);
      if (body.size > maxBytes) {
        fail('too_large');
      } else if (body.size > nextReportAt) {
        nextReportAt = body.size + REPORT_BYTES;
        hold.resize(body.capacity, options.readClock());
      }
    };
    const finish = (): void => {
      hold.isEvictable = false;
      const hasBody = body.size > 0 || hasBodyHeaders(request);
      const release = (): void => {
        hold.release();
      };
      settle(Ok({ bytes: hasBody ? body.take() : undefined, release }));
    };
    // Without an end before it, the connection closed within the body.
    const leave = (): void => {
      fail('closed');
    };
    const abort = (): void => {
      fail('aborted');
    };
    if (request.readableEnded) {
      finish();
      return;
    }
    if (request.destroyed) {
      leave();
      return;
    }
    signal.addEventListener('abort', abort);
    request.on('data', add).once('end', finish).once('close', leave);
    request.on('error', () => undefined);
  });
}

function openHold(
  request: IncomingMessage,
  { memory, group, reader, readClock }: BodyOptions,
  evict: () => void,
): MemoryHold {
  const suspend = (): void => {
    reader.suspend();
  };
  const resume = (): void => {
    reader.resume();
  };
  return memory.open({ kind: 'body', group, request, evict, suspend, resume }, readClock());
}

function hasBodyHeaders({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
