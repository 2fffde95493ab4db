/** Bytes that a response may always buffer, so that small ones are not affected by large ones. */
export const RESERVED_BYTES = 1024 * 1024;

/** Bounds the memory that the incomplete responses of a process take together. */
export class BufferBudget {
  private usedBytes = 0;

  constructor(private readonly maxBytes: number) {}

  /**
   * Takes memory for a response.
   *
   * @param bytes - Additional bytes
   * @returns False if none is left
   */
  tryTake(bytes: number): boolean {
    if (this.usedBytes + bytes > this.maxBytes) return false;
    this.usedBytes += bytes;
    return true;
  }

  /**
   * Returns memory.
   *
   * @param bytes - Bytes taken before
   */
  release(bytes: number): void {
    this.usedBytes -= bytes;
  }

  /** Describes the use for the state dump. */
  describe(): Readonly<Record<string, number>> {
    return { bufferedBytes: this.usedBytes, maxBufferedBytes: this.maxBytes };
  }
}
