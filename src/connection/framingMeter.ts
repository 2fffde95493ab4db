/** Framing bytes allowed for each byte of content; a chunk of one byte needs five. */
const FRAMING_PER_CONTENT_BYTE = 16;

/**
 * Measures the bytes of a response that are not content: status line, headers, informational responses, chunk sizes with
 * their extensions, and trailers. HTTP parsers discard most of them without a limit, so an endless one is not noticed.
 */
export class FramingMeter {
  private receivedBytes = 0;
  private contentBytes = 0;

  constructor(private readonly maxFramingBytes: number) {}

  /** Whether the framing exceeds the limit, plus an allowance for the content received. */
  get isExceeded(): boolean {
    const framingBytes = this.receivedBytes - this.contentBytes;
    return framingBytes > this.maxFramingBytes + this.contentBytes * FRAMING_PER_CONTENT_BYTE;
  }

  addReceived(bytes: number): void {
    this.receivedBytes += bytes;
  }

  addContent(bytes: number): void {
    this.contentBytes += bytes;
  }
}
