const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(\d+)\r?$/m;

/** One complete server-sent event with its bytes as received. */
export interface StreamEvent {
  readonly id: number | undefined;
  readonly bytes: Buffer;
}

/** Splits a byte stream into complete events; a truncated event is never returned. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** True while an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /**
   * Appends received bytes and extracts the events that they complete.
   *
   * @param data - Bytes in order of arrival
   * @returns Completed events, in order
   */
  readEvents(data: Buffer): StreamEvent[] {
    this.pending = this.pending.length === 0 ? data : Buffer.concat([this.pending, data]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const end = findEventEnd(this.pending, start);
      if (end === -1) break;
      const bytes = this.pending.subarray(start, end);
      const match = ID_LINE.exec(bytes.toString('utf8'));
      events.push({ id: match === null ? undefined : Number(match[1]), bytes });
      start = end;
    }
    this.pending = this.pending.subarray(start);
    return events;
  }
}

/** Returns the position after the blank line that ends the event, or -1. */
function findEventEnd(data: Buffer, start: number): number {
  let position = data.indexOf(LINE_FEED, start);
  while (position !== -1) {
    const next = data[position + 1];
    if (next === LINE_FEED) return position + 2;
    if (next === CARRIAGE_RETURN && data[position + 2] === LINE_FEED) return position + 3;
    position = data.indexOf(LINE_FEED, position + 1);
  }
  return -1;
}
