import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';
import type { BoundedClient } from '../connection/boundedClient.js';
import type { BoundedRequest, BoundedResponse } from '../connection/boundedConnection.js';
import { bodylessStatuses, isFramed } from '../connection/responseFraming.js';
import { defaults } from '../defaults.js';
import type { CallerError } from './types.js';

const MIN_ERROR_STATUS = 400;
/** An entry ends a stream at its deadline and says why. */
const STREAM_END_MARGIN_MS = 250;

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
  readonly client: BoundedClient;
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
    const limits = { timeoutMs: exchange.answerTimeoutMs };
    const { status, headers, body } = await sendRequest(exchange, limits);
    const text = body.toString('utf8');
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
 * Sends one HTTP request and reads the response as a stream.
 *
 * @param exchange - Request, limits and connection pool
 * @param onData - Takes each part of the body of a response with status 200; what it throws ends the exchange
 * @param onHead - Called with the status
 * @returns The response with its body, which is empty if `onData` took it
 * @throws Error if the connection fails or a limit is exceeded
 */
export function sendStreamExchange(
  exchange: ExchangeRequest,
  onData: (data: Buffer) => void,
  onHead: (status: number) => void = () => undefined,
): Promise<BoundedResponse> {
  const { answerTimeoutMs, deadlineMs = defaults.maxDeadlineMs } = exchange;
  // A stream may last longer than the time in which each of its parts has to come.
  const timeoutMs = Math.max(answerTimeoutMs, deadlineMs) + STREAM_END_MARGIN_MS;
  return sendRequest(exchange, { timeoutMs, idleTimeoutMs: answerTimeoutMs, onData, onHead });
}

function sendRequest(
  exchange: ExchangeRequest,
  limits: Pick<BoundedRequest, 'timeoutMs' | 'idleTimeoutMs' | 'onData' | 'onHead'>,
): Promise<BoundedResponse> {
  const headers: Record<string, string> = { authorization: `Bearer ${exchange.token}` };
  if (exchange.body !== undefined) headers['content-type'] = 'application/json';
  if (exchange.deadlineMs !== undefined) headers['x-deadline-ms'] = String(exchange.deadlineMs);
  return exchange.client.send(exchange.url, {
    method: exchange.method,
    headers,
    body: exchange.body,
    maxBytes: defaults.maxResponseBodyBytes,
    ...limits,
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
