import { BodyBuffer } from './bodyBuffer.js';

const NEWLINE = 0x0a;

/** A line exceeds the size that its reader accepts. */
export class LineTooLongError extends Error {
  constructor(maxBytes: number) {
    super(`a line exceeds ${maxBytes} bytes`);
  }
}

/**
 * Splits a stream into lines. Only new data is searched, as a line that comes in small parts would otherwise be searched
 * again with each of them.
 */
export class LineSplitter {
  private pending = new BodyBuffer(NaN);

  /** @param maxLineBytes - Maximum size of a line without its end */
  constructor(private readonly maxLineBytes: number) {}

  /**
   * Reads the lines that end in the next part of the stream.
   *
   * @param data - Part of the stream; not changed later
   * @yields Each complete line, without its end
   * @throws LineTooLongError if a line is too long, complete or not
   */
  *readLines(data: Buffer): Generator<string> {
    let start = 0;
    for (
      let end = data.indexOf(NEWLINE);
      end !== -1;
      start = end + 1, end = data.indexOf(NEWLINE, start)
    ) {
      yield this.takeLine(data.subarray(start, end));
    }
    if (start < data.length) this.addPart(data.subarray(start));
  }

  private takeLine(end: Buffer): string {
    if (this.pending.size === 0 && end.length <= this.maxLineBytes) return end.toString('utf8');
    this.addPart(end);
    const line = this.pending.take().toString('utf8');
    this.pending = new BodyBuffer(NaN);
    return line;
  }

  private addPart(part: Buffer): void {
    if (this.pending.size + part.length > this.maxLineBytes)
      throw new LineTooLongError(this.maxLineBytes);
    this.pending.add(part);
  }
}
