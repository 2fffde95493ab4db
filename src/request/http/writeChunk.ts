import type { ServerResponse } from 'node:http';

const HEX_RADIX = 16;

/**
 * Writes text to a chunked response whose header and first chunk have been sent. `ServerResponse.write` passes the
 * chunk's length, text and line ends to the socket separately; this function writes them as one string.
 *
 * @param response - Response in progress
 * @param text - Non-empty text
 */
export function writeChunk(response: ServerResponse, text: string): void {
  const { socket } = response;
  // Data that the response still buffers must be written first.
  const isEmpty = socket !== null && response.writableLength === socket.writableLength;
  if (!isEmpty || !response.chunkedEncoding) {
    response.write(text);
    return;
  }
  const bytes = Buffer.byteLength(text);
  const isAscii = bytes === text.length;
  socket.write(`${bytes.toString(HEX_RADIX)}\r\n${text}\r\n`, isAscii ? 'latin1' : 'utf8');
}

/**
 * Finds the stream whose backpressure blocks further writes.
 *
 * @param response - Response in progress
 * @returns The stream that will emit `drain`, or undefined when more may be written now
 */
export function findBlockedStream(response: ServerResponse): NodeJS.EventEmitter | undefined {
  if (response.writableNeedDrain) return response;
  return response.socket?.writableNeedDrain === true ? response.socket : undefined;
}
