import type { IncomingMessage } from 'node:http';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';

/**
 * Reads a request body into memory.
 *
 * @param request - Caller's request
 * @param maxBytes - Maximum size of the body
 * @returns The body, undefined when there is none, or why it was not read
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer | undefined, 'body_too_large' | 'caller_gone'>> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) return Err('body_too_large');
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maxBytes) return Err('body_too_large');
      chunks.push(chunk);
    }
  } catch {
    // The connection closed within the body, so no response can be sent.
    return Err('caller_gone');
  }
  const hasBody =
    size > 0 ||
    request.headers['content-length'] !== undefined ||
    request.headers['transfer-encoding'] !== undefined;
  return Ok(hasBody ? Buffer.concat(chunks) : undefined);
}
