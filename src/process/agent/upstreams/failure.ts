import { errors } from 'undici';
import { BadResponseError } from '../../../connection/boundedConnection.js';
import type { ExchangeResult } from './types.js';

/** Errors raised before a connection was established, so nothing can have reached the upstream. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
/** Errors of a connection that was lost while in use. */
const CONNECTION_LOST_CODES: ReadonlySet<string> = new Set([
  'ECONNRESET',
  'EPIPE',
  'UND_ERR_SOCKET',
]);

/**
 * Reads the code of an error.
 *
 * @param error - Thrown value
 * @returns Code such as `ECONNREFUSED`, or an empty string if there is none
 */
export function readErrorCode(error: unknown): string {
  if (!(error instanceof Error)) return '';
  const { code } = error as { code?: unknown };
  return typeof code === 'string' ? code : '';
}

/**
 * Checks whether an error was raised before any byte could be sent.
 *
 * @param error - Error of a request
 * @returns True for a failed connection attempt
 */
export function isConnectError(error: unknown): boolean {
  return CONNECT_ERROR_CODES.has(readErrorCode(error));
}

/**
 * Creates the result of a failed exchange.
 *
 * @param error - Error of the HTTP client
 * @param aborted - Whether the agent aborted the exchange
 * @returns The failed result
 */
export function createFailedResult(error: unknown, aborted: boolean): ExchangeResult {
  if (aborted) {
    const message = 'exchange was aborted by the agent';
    return {
      kind: 'failed',
      code: 'cancelled',
      message,
      started: true,
      possibleCrash: false,
      unreachable: false,
    };
  }
  const started = !isConnectError(error);
  const code = readErrorCode(error);
  const reason = isTruncation(error) ? 'response was truncated' : code || 'unknown error';
  const message = describeFailure(error, started ? reason : code, started);
  const possibleCrash = started && (CONNECTION_LOST_CODES.has(code) || isTruncation(error));
  return {
    kind: 'failed',
    code: 'upstream_failed',
    message,
    started,
    possibleCrash,
    unreachable: true,
  };
}

function describeFailure(error: unknown, reason: string, started: boolean): string {
  if (!started) return `could not connect to the upstream (${reason})`;
  if (error instanceof BadResponseError) return `upstream sent no valid response: ${error.message}`;
  return `connection to the upstream was lost (${reason})`;
}

/** The parser states no code if the connection ends within a response after which it would have been closed. */
function isTruncation(error: unknown): boolean {
  return error instanceof errors.HTTPParserError && readErrorCode(error) === '';
}
