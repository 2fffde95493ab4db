/** Stable error codes exposed to callers and peers. */
export type ErrorCode =
  | 'bad_request'
  | 'unauthenticated'
  | 'forbidden'
  | 'not_found'
  | 'too_large'
  | 'timeout'
  | 'conflict'
  | 'overloaded'
  | 'queue_full'
  | 'deadline_unreachable'
  | 'draining'
  | 'no_upstream'
  | 'upstream_failed'
  | 'upstream_refused'
  | 'answer_cut'
  | 'poisonous_request'
  | 'order_memory_full'
  | 'order_expired'
  | 'cancelled'
  | 'internal';

/** Effect of an error code on the caller's response and on the entry's retry decision. */
export interface ErrorTraits {
  /** HTTP status returned to callers. */
  readonly status: number;
  /** The entry may retry on another upstream, because nothing was executed or the work is safe to repeat. */
  readonly retryElsewhere: boolean;
  /** The response carries a `Retry-After` header. */
  readonly retryAfter: boolean;
}

const createTraits = (status: number, retryElsewhere = false, retryAfter = false): ErrorTraits => ({
  status,
  retryElsewhere,
  retryAfter,
});

export const errorTraits: Readonly<Record<ErrorCode, ErrorTraits>> = {
  bad_request: createTraits(400),
  unauthenticated: createTraits(401),
  forbidden: createTraits(403),
  not_found: createTraits(404),
  too_large: createTraits(413),
  timeout: createTraits(504),
  conflict: createTraits(409),
  overloaded: createTraits(503, true, true),
  queue_full: createTraits(429, true, true),
  deadline_unreachable: createTraits(503, true, true),
  draining: createTraits(503, true, true),
  no_upstream: createTraits(503, false, true),
  upstream_failed: createTraits(502, true, true),
  upstream_refused: createTraits(503, true, true),
  answer_cut: createTraits(502, true, true),
  poisonous_request: createTraits(422),
  order_memory_full: createTraits(429, true, true),
  order_expired: createTraits(410),
  cancelled: createTraits(499),
  internal: createTraits(500),
};

/** Error of a failed request, returned as a value. */
export interface RequestError {
  readonly code: ErrorCode;
  readonly message: string;
  /** Delay after which a retry may succeed, in milliseconds. */
  readonly retryAfterMs?: number;
}

/**
 * Builds a request error.
 *
 * @param code - Stable code
 * @param message - Human-readable description
 * @param retryAfterMs - Delay after which a retry may succeed
 * @returns The error value
 */
export function createError(code: ErrorCode, message: string, retryAfterMs?: number): RequestError {
  return retryAfterMs === undefined ? { code, message } : { code, message, retryAfterMs };
}
