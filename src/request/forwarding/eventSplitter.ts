const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(\d+)\r?$/m;
/** Bytes before new data in which the blank line that ends an event may begin. */
const BLANK_LINE_OVERLAP_BYTES = 2;
const MIN_BUFFER_BYTES = 1024;

/** One complete server-sent event with its bytes as received. */
export interface StreamEvent {
  readonly id: number | undefined;
  readonly bytes: Buffer;
}

/**
 * Splits a byte stream into complete events; a truncated event is never returned. The time is linear in the received
 * bytes, however they are divided into reads.
 */
export class EventSplitter {
  /** Buffer of an incomplete event; its first `pendingBytes` bytes are in use. */
  private buffer: Buffer = Buffer.alloc(0);
  private pendingBytes = 0;

  /** Size of the incomplete event that is buffered. */
  get partialEventBytes(): number {
    return this.pendingBytes;
  }

  /** Bytes of memory that the incomplete event takes. */
  get heldBytes(): number {
    return this.buffer.length;
  }

  /**
   * Appends received bytes and extracts the events that they complete.
   *
   * @param data - Bytes in order of arrival
   * @returns Completed events, in order
   */
  readEvents(data: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let searchFrom = 0;
    let received = data;
    if (this.pendingBytes > 0) {
      searchFrom = Math.max(0, this.pendingBytes - BLANK_LINE_OVERLAP_BYTES);
      this.append(data);
      received = this.buffer.subarray(0, this.pendingBytes);
    }
    let start = 0;
    for (;;) {
      const end = findEventEnd(received, searchFrom);
      if (end === -1) break;
      events.push(createEvent(received.subarray(start, end)));
      start = end;
      searchFrom = end;
    }
    if (start > 0 || this.pendingBytes === 0) {
      // The completed events still refer to the buffer, so the rest is copied to another one.
      this.pendingBytes = 0;
      this.buffer = Buffer.alloc(0);
      if (start < received.length) this.append(received.subarray(start));
    }
    return events;
  }

  /** Appends to the buffer, whose capacity doubles so that the bytes copied stay proportional to those received. */
  private append(data: Buffer): void {
    const size = this.pendingBytes + data.length;
    if (size > this.buffer.length) {
      const grown = Buffer.allocUnsafeSlow(
        Math.max(MIN_BUFFER_BYTES, size, this.buffer.length * 2),
      );
      this.buffer.copy(grown, 0, 0, this.pendingBytes);
      this.buffer = grown;
    }
    data.copy(this.buffer, this.pendingBytes);
    this.pendingBytes = size;
  }
}

function createEvent(bytes: Buffer): StreamEvent {
  const match = ID_LINE.exec(bytes.toString('utf8'));
  return { id: match === null ? undefined : Number(match[1]), bytes };
}

/** Returns the position after the blank line that ends the event, or -1. */
function findEventEnd(data: Buffer, from: number): number {
  let position = data.indexOf(LINE_FEED, from);
  while (position !== -1) {
    const next = data[position + 1];
    if (next === LINE_FEED) return position + 2;
    if (next === CARRIAGE_RETURN && data[position + 2] === LINE_FEED) return position + 3;
    position = data.indexOf(LINE_FEED, position + 1);
  }
  return -1;
}
