/** Informational responses below this status precede the response and say nothing about it. */
export const MIN_FINAL_STATUS = 200;

/** Statuses whose responses end with their head. */
export const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

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
