import type { IncomingMessage } from 'node:http';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { CallerMemory } from '../../connection/callerMemory.js';
import type { BodyFailure } from '../../connection/bodyReceiver.js';
import { BodyReceiver } from '../../connection/bodyReceiver.js';
import type { RequestReader } from '../../connection/requestReader.js';
import { defaults } from '../../defaults.js';
import type { RequestError } from '../../errors.js';
import { createError } from '../../errors.js';

/** Time after which memory for a body is expected. */
const MEMORY_RETRY_AFTER_MS = 1_000;

export interface BodyLimits {
  readonly maxBytes: number;
  /** Maximum time until the body is complete. */
  readonly timeoutMs?: number;
  /** Aborted when this process ends and no longer waits for the rest of the body. */
  readonly stopSignal?: AbortSignal;
  /** Memory that the bodies of all requests share; unlimited by default. */
  readonly memory?: CallerMemory;
  /** Requests of one group get memory after those of groups that hold less. */
  readonly group?: string;
  readonly reader?: Pick<RequestReader, 'suspend' | 'resume'>;
  /** Called with the function that releases the memory of a large body, for the end of the request. */
  readonly onReceived?: (release: () => void) => void;
}

const unlimited = new CallerMemory(Infinity);
const noReader = { suspend: () => undefined, resume: () => undefined };

/**
 * Reads a request body, with limits on size, time and memory.
 *
 * @param request - HTTP request
 * @param limits - Limits
 * @returns The body, or `too_large`, `timeout`, `draining`, `overloaded` or `cancelled`
 */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<Buffer<ArrayBuffer>, RequestError>> {
  const { maxBytes, timeoutMs = defaults.bodyTimeoutMs, stopSignal, onReceived } = limits;
  let hasTimedOut = false;
  const receiver = new BodyReceiver(request, {
    maxBytes,
    memory: limits.memory ?? unlimited,
    group: limits.group ?? '',
    reader: limits.reader ?? noReader,
    readClock: Date.now,
  });
  const stop = (): void => {
    receiver.abort();
  };
  const timer = setTimeout(() => {
    hasTimedOut = true;
    receiver.abort();
  }, timeoutMs);
  stopSignal?.addEventListener('abort', stop, { once: true });
  const received = await receiver.receive();
  clearTimeout(timer);
  stopSignal?.removeEventListener('abort', stop);
  if (received.isErr()) return Err(createBodyError[received.error](limits, hasTimedOut));
  const { bytes, release } = received.value;
  if (release !== undefined) onReceived?.(release);
  return Ok(bytes ?? Buffer.alloc(0));
}

const createBodyError: Readonly<
  Record<BodyFailure, (limits: BodyLimits, hasTimedOut: boolean) => RequestError>
> = {
  too_large: ({ maxBytes }) => createError('too_large', `body exceeds ${maxBytes} bytes`),
  closed: () => createError('cancelled', 'the client closed the connection'),
  evicted: () =>
    createError(
      'overloaded',
      'no memory is left for the body; nothing was run',
      MEMORY_RETRY_AFTER_MS,
    ),
  aborted: ({ timeoutMs = defaults.bodyTimeoutMs }, hasTimedOut) =>
    hasTimedOut
      ? createError('timeout', `body did not arrive within ${timeoutMs} ms`)
      : createError(
          'draining',
          'this entry shut down before the body was complete; nothing was run',
        ),
};

/**
 * Reads a JSON body, with the same limits.
 *
 * @param request - HTTP request
 * @param limits - Limits on size and time
 * @returns Bytes and parsed value; an empty body is `undefined`
 */
export async function readJson(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<{ bytes: Buffer<ArrayBuffer>; value: unknown }, RequestError>> {
  const read = await readBody(request, limits);
  if (read.isErr()) return read;
  const bytes = read.value;
  if (bytes.length === 0) return Ok({ bytes, value: undefined });
  try {
    return Ok({ bytes, value: JSON.parse(bytes.toString('utf8')) as unknown });
  } catch {
    return Err(createError('bad_request', 'body is not valid JSON'));
  }
}
