import type { ServerResponse } from 'node:http';
import type { RequestError } from '../../errors.js';
import { errorTraits } from '../../errors.js';

const DEFAULT_RETRY_AFTER_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Larger bodies are written separately, because copying them costs more than a second write. */
const MAX_JOINED_BYTES = 16 * 1024;

/**
 * Formats an error for callers.
 *
 * @param error - Error value
 * @returns JSON value with `code`, `message` and, where a retry may succeed, `retry_after_ms`
 */
export function formatError(error: RequestError): {
  error: { code: string; message: string; retry_after_ms?: number };
} {
  const { code, message } = error;
  if (!errorTraits[code].retryAfter) return { error: { code, message } };
  const retryAfterMs = error.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  return { error: { code, message, retry_after_ms: retryAfterMs } };
}

/**
 * Sends a JSON response.
 *
 * @param response - Response without sent headers
 * @param status - HTTP status
 * @param value - JSON value
 */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
  const body = Buffer.from(JSON.stringify(value));
  sendBody(response, status, body);
}

/**
 * Sends a response with encoded JSON.
 *
 * @param response - Response without sent headers
 * @param status - HTTP status
 * @param body - JSON bytes
 */
export function sendBody(response: ServerResponse, status: number, body: Uint8Array): void {
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
  });
  if (body.length > MAX_JOINED_BYTES) {
    response.end(body);
    return;
  }
  // Node merges the header and a string body, but not a buffer, into one write; latin1 preserves every byte.
  const { buffer, byteOffset, length } = body;
  response.end(Buffer.from(buffer, byteOffset, length).toString('latin1'), 'latin1');
}

/**
 * Sends an error response, and closes the connection if the request body has not been read completely.
 *
 * @param response - Response without sent headers
 * @param error - Error value
 * @param fields - Additional fields of the JSON response
 */
export function sendError(
  response: ServerResponse,
  error: RequestError,
  fields: Readonly<Record<string, string>> = {},
): void {
  const { status, retryAfter } = errorTraits[error.code];
  const value = { ...formatError(error), ...fields };
  if (retryAfter) {
    const retryAfterMs = value.error.retry_after_ms ?? DEFAULT_RETRY_AFTER_MS;
    response.setHeader('retry-after', Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND)));
  }
  const { req: request } = response;
  if (!request.complete) {
    response.setHeader('connection', 'close');
    request.resume();
  }
  sendJson(response, status, value);
}
