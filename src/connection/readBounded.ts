/** A response body exceeds the size that its reader accepts. */
export class BodyTooLargeError extends Error {
  constructor(maxBytes: number) {
    super(`response body exceeds ${maxBytes} bytes`);
  }
}

/**
 * Reads a body as text. Leaving the loop closes the connection of a larger body.
 *
 * @param body - Body of a response
 * @param maxBytes - Maximum size of the body
 * @returns The complete text
 * @throws BodyTooLargeError if the body is larger, or the error of the connection
 */
export async function readBoundedText(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<string> {
  const parts: Uint8Array[] = [];
  let size = 0;
  for await (const part of body) {
    size += part.length;
    if (size > maxBytes) throw new BodyTooLargeError(maxBytes);
    parts.push(part);
  }
  return Buffer.concat(parts).toString('utf8');
}
