const MIN_SEGMENT_BYTES = 1024;
const MAX_SEGMENT_BYTES = 64 * 1024;

/**
 * Collects the parts of a body in segments. Parts that are kept one by one take some hundred bytes of memory each, which is
 * far more than the content of a body that comes in small chunks.
 */
export class BodyBuffer {
  private readonly full: Buffer<ArrayBuffer>[] = [];
  private last: Buffer<ArrayBuffer> = Buffer.alloc(0);
  private lastLength = 0;
  private fullBytes = 0;

  /** @param expectedLength - Announced length; NaN if there is none */
  constructor(private readonly expectedLength: number) {}

  /** Number of bytes added so far. */
  get size(): number {
    return this.fullBytes + this.lastLength;
  }

  /** Bytes of memory that it takes. */
  get capacity(): number {
    return this.fullBytes + this.last.length;
  }

  /**
   * Adds the next part.
   *
   * @param part - Part of the body; not changed later
   */
  add(part: Buffer): void {
    // A body in one part is not copied.
    if (this.size === 0 && part.length === this.expectedLength) {
      this.last = part as Buffer<ArrayBuffer>;
      this.lastLength = part.length;
      return;
    }
    let copied = 0;
    while (copied < part.length) {
      if (this.lastLength === this.last.length) this.startSegment(part.length - copied);
      const bytes = part.copy(this.last, this.lastLength, copied);
      this.lastLength += bytes;
      copied += bytes;
    }
  }

  /** All parts in order. */
  take(): Buffer<ArrayBuffer> {
    const last = this.last.subarray(0, this.lastLength);
    return this.full.length === 0 ? last : Buffer.concat([...this.full, last]);
  }

  private startSegment(neededBytes: number): void {
    const doubled = Math.max(MIN_SEGMENT_BYTES, 2 * this.last.length, neededBytes);
    const { size } = this;
    const missing = this.expectedLength > size ? this.expectedLength - size : Infinity;
    if (this.lastLength > 0) this.full.push(this.last);
    this.fullBytes = size;
    this.last = Buffer.allocUnsafeSlow(Math.min(doubled, MAX_SEGMENT_BYTES, missing));
    this.lastLength = 0;
  }
}
