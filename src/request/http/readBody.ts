import type { IncomingMessage } from 'node:http';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { defaults } from '../../defaults.js';
import type { RequestError } from '../../errors.js';
import { createError } from '../../errors.js';

export interface BodyLimits {
  readonly maxBytes: number;
  /** Maximum time until the body is complete. */
  readonly timeoutMs?: number;
  /** Aborted when this process ends and no longer waits for the rest of the body. */
  readonly stopSignal?: AbortSignal;
}

/**
 * Reads a request body, with limits on size and time.
 *
 * @param request - HTTP request
 * @param limits - Limits on size and time
 * @returns The body, or `too_large`, `timeout`, `draining` or `cancelled`
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, timeoutMs = defaults.bodyTimeoutMs, stopSignal }: BodyLimits,
): Promise<Result<Buffer<ArrayBuffer>, RequestError>> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes)
    return Promise.resolve(createSizeError(maxBytes));
  return new Promise((resolve) => {
    const parts: Buffer<ArrayBuffer>[] = [];
    let size = 0;
    const settle = (result: Result<Buffer<ArrayBuffer>, RequestError>): void => {
      clearTimeout(timer);
      request.off('data', onData);
      stopSignal?.removeEventListener('abort', onStop);
      resolve(result);
    };
    const timer = setTimeout(() => {
      settle(Err(createError('timeout', `body did not arrive within ${timeoutMs} ms`)));
    }, timeoutMs);
    const onData = (part: Buffer<ArrayBuffer>): void => {
      size += part.length;
      if (size > maxBytes) settle(createSizeError(maxBytes));
      else parts.push(part);
    };
    const onStop = (): void => {
      const message = 'this entry shut down before the body was complete; nothing was run';
      settle(Err(createError('draining', message)));
    };
    request.on('data', onData);
    stopSignal?.addEventListener('abort', onStop, { once: true });
    request.once('end', () => {
      settle(Ok(parts.length === 1 && parts[0] !== undefined ? parts[0] : Buffer.concat(parts)));
    });
    request.once('close', () => {
      // An Err captures a stack trace, the most expensive step here, so none is created for complete bodies.
      if (request.readableEnded) return;
      settle(Err(createError('cancelled', 'the client closed the connection')));
    });
    request.once('error', () => undefined);
  });
}

function createSizeError(maxBytes: number): Result<never, RequestError> {
  return Err(createError('too_large', `body exceeds ${maxBytes} bytes`));
}

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
