/** How a response ended: as its framing declares, with an orderly close in place of a framing, or before its end. */
export type ResponseEnd = 'complete' | 'closed' | 'cut';

export interface ParsedResponse {
  readonly status: number;
  readonly requestId: string | undefined;
  readonly seal: string | undefined;
  readonly body: string;
  readonly end: ResponseEnd;
}

const HEAD_END = '\r\n\r\n';
const HEAD = /^HTTP\/1\.1 (\d{3}) [^\r\n]*(?:\r\n[^\r\n:]+:[^\r\n]*)*$/;

interface ParsedBody {
  readonly body: string;
  readonly isWhole: boolean;
  /** Position after the body. */
  readonly next: number;
}

/**
 * Parses the responses on one connection.
 *
 * @param text - Received bytes
 * @param isClosed - Whether the connection ended in order
 * @returns Responses in order, and the bytes that are no response
 */
export function parseResponses(
  text: string,
  isClosed: boolean,
): { responses: ParsedResponse[]; surplus: string } {
  const responses: ParsedResponse[] = [];
  let start = 0;
  while (start < text.length) {
    const headEnd = text.indexOf(HEAD_END, start);
    const head = text.slice(start, headEnd === -1 ? text.length : headEnd);
    const match = HEAD.exec(head);
    // A head that is cut is no response, but a beginning of one.
    if (headEnd === -1 && 'HTTP/1.1 '.startsWith(head.slice(0, 9))) break;
    if (match === null || headEnd === -1) return { responses, surplus: text.slice(start) };
    const readHeader = (name: string): string | undefined =>
      new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1]?.trim();
    const bodyStart = headEnd + HEAD_END.length;
    const length = readHeader('content-length');
    const isChunked = readHeader('transfer-encoding') === 'chunked';
    const isUnframed = length === undefined && !isChunked;
    const parsed = isChunked
      ? parseChunks(text, bodyStart)
      : parseBody(text, bodyStart, length === undefined ? Infinity : Number(length));
    const endWithoutWhole = isUnframed && isClosed ? 'closed' : 'cut';
    responses.push({
      status: Number(match[1]),
      requestId: readHeader('request-id'),
      seal: readHeader('server-seal'),
      body: parsed.body,
      end: parsed.isWhole ? 'complete' : endWithoutWhole,
    });
    start = parsed.next;
  }
  return { responses, surplus: '' };
}

function parseBody(text: string, start: number, length: number): ParsedBody {
  const body = text.slice(start, start + length);
  return { body, isWhole: body.length === length, next: start + body.length };
}

function parseChunks(text: string, start: number): ParsedBody {
  let body = '';
  let position = start;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', position);
    if (lineEnd === -1) break;
    const size = Number.parseInt(text.slice(position, lineEnd), 16);
    const chunkEnd = lineEnd + 2 + size;
    body += text.slice(lineEnd + 2, chunkEnd);
    if (text.length < chunkEnd + 2) break;
    position = chunkEnd + 2;
    if (size === 0) return { body, isWhole: true, next: position };
  }
  return { body, isWhole: false, next: text.length };
}
