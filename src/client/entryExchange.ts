import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { Dispatcher } from 'undici';
import { request } from 'undici';
import { z } from 'zod';
import { readBoundedText } from '../connection/readBounded.js';
import { bodylessStatuses, isFramed } from '../connection/responseFraming.js';
import { defaults } from '../defaults.js';
import type { CallerError } from './types.js';

const MIN_ERROR_STATUS = 400;

const errorSchema = z.object({
  error: z.object({ code: z.string(), message: z.string(), retry_after_ms: z.number().optional() }),
});

/** One HTTP request to one entry. */
export interface ExchangeRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly url: string;
  readonly token: string;
  /** JSON text. */
  readonly body?: string | undefined;
  readonly deadlineMs?: number | undefined;
  readonly answerTimeoutMs: number;
  readonly dispatcher: Dispatcher;
}

export interface ExchangeResponse {
  readonly status: number;
  readonly text: string;
}

/**
 * Sends one HTTP request and reads the complete response.
 *
 * @param exchange - Request, limits and connection pool
 * @returns The response, or the error reported by the entry or raised by the connection
 */
export async function sendExchange(
  exchange: ExchangeRequest,
): Promise<Result<ExchangeResponse, CallerError>> {
  try {
    const response = await openExchange(exchange);
    const text = await readBoundedText(response.body, defaults.maxResponseBodyBytes);
    const { statusCode: status, headers } = response;
    if (status >= MIN_ERROR_STATUS) return Err(parseError(status, text));
    // Entries state a length or chunks, without which the end of the connection may be anywhere in the body.
    if (!isFramed(headers) && !bodylessStatuses.has(status)) {
      const message = 'the response states no length, so it may be cut';
      return Err({ code: 'answer_cut', message, status: 0 });
    }
    return Ok({ status, text });
  } catch (error) {
    return Err(createConnectionError(error));
  }
}

/**
 * Sends one HTTP request and returns once the response headers have arrived.
 *
 * @param exchange - Request, limits and connection pool
 * @returns Status, headers and unread body
 * @throws Error if the connection fails
 */
export function openExchange(exchange: ExchangeRequest): Promise<Dispatcher.ResponseData> {
  const headers: Record<string, string> = { authorization: `Bearer ${exchange.token}` };
  if (exchange.body !== undefined) headers['content-type'] = 'application/json';
  if (exchange.deadlineMs !== undefined) headers['x-deadline-ms'] = String(exchange.deadlineMs);
  return request(exchange.url, {
    method: exchange.method,
    // A repeated or late answer on a kept connection would count as the answer to the next request.
    reset: true,
    headers,
    body: exchange.body ?? null,
    dispatcher: exchange.dispatcher,
    headersTimeout: exchange.answerTimeoutMs,
    bodyTimeout: exchange.answerTimeoutMs,
  });
}

/**
 * Parses an error response of an entry.
 *
 * @param status - HTTP status
 * @param text - Body
 * @returns The error; its code is `bad_answer` if the body is not an error object
 */
export function parseError(status: number, text: string): CallerError {
  const parsed = errorSchema.safeParse(parseJson(text));
  if (!parsed.success) return { code: 'bad_answer', message: text.slice(0, 200), status };
  const { code, message, retry_after_ms: retryAfterMs } = parsed.data.error;
  return retryAfterMs === undefined
    ? { code, message, status }
    : { code, message, status, retryAfterMs };
}

/**
 * Creates the error for a failed connection.
 *
 * @param error - Error thrown by undici
 * @returns Error with code `connection_failed` and status 0
 */
export function createConnectionError(error: unknown): CallerError {
  const message = error instanceof Error ? error.message || error.name : String(error);
  return { code: 'connection_failed', message, status: 0 };
}

/**
 * Parses JSON text.
 *
 * @param text - Text to parse
 * @returns The value, or undefined if the text is not valid JSON
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
