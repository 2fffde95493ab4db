import type { IncomingMessage } from 'node:http';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { BodyBuffer } from '../../connection/bodyBuffer.js';

/** Why a body was not read: it is too large, its connection was closed, or the request was aborted. */
export type BodyError = 'body_too_large' | 'caller_gone' | 'aborted';

/**
 * Reads a request body into memory. What comes after an error is discarded.
 *
 * @param request - Caller's request
 * @param maxBytes - Maximum size of the body
 * @param signal - Aborts the read
 * @returns The body, undefined when there is none, or why it was not read
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  signal: AbortSignal,
): Promise<Result<Buffer | undefined, BodyError>> {
  return new Promise((resolve) => {
    const body = new BodyBuffer(Number(request.headers['content-length'] ?? Number.NaN));
    const settle = (outcome: Result<Buffer | undefined, BodyError>): void => {
      request.off('data', add).off('end', finish).off('close', leave);
      signal.removeEventListener('abort', abort);
      request.resume();
      resolve(outcome);
    };
    const add = (part: Buffer<ArrayBuffer>): void => {
      body.add(part);
      if (body.size > maxBytes) settle(Err('body_too_large'));
    };
    const finish = (): void => {
      const hasBody =
        body.size > 0 ||
        request.headers['content-length'] !== undefined ||
        request.headers['transfer-encoding'] !== undefined;
      settle(Ok(hasBody ? body.take() : undefined));
    };
    // Without an end before it, the connection closed within the body.
    const leave = (): void => {
      settle(Err('caller_gone'));
    };
    const abort = (): void => {
      settle(Err('aborted'));
    };
    if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
      settle(Err('body_too_large'));
      return;
    }
    if (signal.aborted) {
      abort();
      return;
    }
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
