/** Informational responses below this status precede the response and say nothing about it. */
export const MIN_FINAL_STATUS = 200;
/** HTTP defines no class of statuses beyond this one. */
const MAX_STATUS = 599;

/** A response has a status that HTTP does not define, so nothing in it can be relied on. */
export class InvalidStatusError extends Error {
  constructor(status: number) {
    super(`response has the status ${status}, which HTTP does not define`);
  }
}

/**
 * Checks the status of a response that is not informational.
 *
 * @param status - Status code
 * @returns False if HTTP defines no such status
 */
export function isDefinedStatus(status: number): boolean {
  return status <= MAX_STATUS;
}

/** Statuses whose responses end with their head. */
export const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Statuses that answer only requests with one of these headers, in lower case. */
const statusesOnRequest: ReadonlyMap<number, readonly string[]> = new Map([
  [206, ['range']],
  [304, ['if-none-match', 'if-modified-since']],
]);

/**
 * Checks whether a status can answer a request: a part of a body, or none, answers only a request that asked for it.
 *
 * @param status - Status code
 * @param requestHeaders - Headers of the request, as alternating names and values
 * @returns False if the request did not ask for such a response
 */
export function isStatusAskedFor(status: number, requestHeaders: readonly string[]): boolean {
  const names = statusesOnRequest.get(status);
  if (names === undefined) return true;
  return requestHeaders.some(
    (name, index) => index % 2 === 0 && names.includes(name.toLowerCase()),
  );
}

/** Only a last transfer coding of `chunked` marks the end of the body. */
const CHUNKED_PATTERN = /(^|,)\s*chunked\s*$/i;

/**
 * Checks whether a response states where its body ends.
 *
 * @param headers - Headers with lower-case names
 * @returns False if only the end of the connection marks the end of the body
 */
export function isFramed(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): boolean {
  const coding = String(headers['transfer-encoding'] ?? '');
  return headers['content-length'] !== undefined || CHUNKED_PATTERN.test(coding);
}
