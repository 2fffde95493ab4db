/** Time in one turn of the event loop that reading may take; callers, reads of the store and timers have their turn after it. */
const MAX_TURN_MS = 1;
/** A larger slice is read only after a smaller one took little time. */
const FIRST_SLICE_BYTES = 4 * 1024;
const MIN_SLICE_BYTES = 1024;
const MAX_SLICE_BYTES = 64 * 1024;
const SLOW_SLICE_MS = 0.5;
const FAST_SLICE_MS = 0.1;

/** One connection whose data is read in slices. */
export class ScheduledReader {
  /** Virtual time at which its last slice ended. */
  finishedAt = 0;
  /** Virtual time at which its next slice starts, while it waits. */
  startsAt = 0;
  sliceBytes = FIRST_SLICE_BYTES;
  /** When the present slice began, in milliseconds; undefined between slices. */
  sliceStartedAt: number | undefined;
  /** Time that all its slices have taken, in milliseconds. */
  usedMs = 0;

  /** @param wake - Called when it may read, after it has waited */
  constructor(readonly wake: () => void) {}
}

/**
 * Shares the time of the event loop among the connections on which a process reads responses.
 *
 * What a read costs depends on the sender: a few bytes may be a part of a body, an event or a header line of its own. So
 * connections are read in slices whose time is measured, in one turn of the event loop only for a limited time. Slices are
 * given in the order of start-time fair queueing, in which a connection with little to read goes before those that always
 * have more.
 */
export class ReadScheduler {
  private readonly waiting = new Set<ScheduledReader>();
  private virtualTime = 0;
  private turnUsedMs = 0;
  private isTurnScheduled = false;
  /** Set while a reader that has waited is woken. */
  private woken: ScheduledReader | undefined;

  /** Number of connections that wait to be read. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /**
   * Begins a slice of a connection that has data.
   *
   * @param reader - The connection
   * @param now - Current time in milliseconds
   * @returns Maximum number of bytes to read now; 0 if it has to wait until it is woken
   */
  beginSlice(reader: ScheduledReader, now: number): number {
    if (this.waiting.has(reader)) return 0;
    const startsAt = Math.max(this.virtualTime, reader.finishedAt);
    const isNext = this.woken === reader || this.waiting.size === 0;
    this.scheduleTurn();
    reader.startsAt = startsAt;
    if (!isNext || this.turnUsedMs >= MAX_TURN_MS) {
      this.waiting.add(reader);
      return 0;
    }
    this.woken = undefined;
    this.virtualTime = startsAt;
    reader.sliceStartedAt = now;
    return reader.sliceBytes;
  }

  /**
   * Ends the present slice of a connection, if there is one.
   *
   * @param reader - The connection
   * @param now - Current time in milliseconds
   */
  endSlice(reader: ScheduledReader, now: number): void {
    if (reader.sliceStartedAt === undefined) return;
    const tookMs = Math.max(0, now - reader.sliceStartedAt);
    reader.sliceStartedAt = undefined;
    reader.usedMs += tookMs;
    reader.finishedAt = reader.startsAt + tookMs;
    reader.sliceBytes = adaptSlice(reader.sliceBytes, tookMs);
    this.turnUsedMs += tookMs;
  }

  /**
   * Removes a connection that is closed.
   *
   * @param reader - The connection
   * @param now - Current time in milliseconds
   */
  remove(reader: ScheduledReader, now: number): void {
    this.endSlice(reader, now);
    this.waiting.delete(reader);
  }

  private scheduleTurn(): void {
    if (this.isTurnScheduled) return;
    this.isTurnScheduled = true;
    setImmediate(() => {
      this.isTurnScheduled = false;
      this.turnUsedMs = 0;
      this.wakeWaiting();
    });
  }

  /** Wakes those that wait, the one with the earliest virtual start first, until the time of the turn is used. */
  private wakeWaiting(): void {
    while (this.turnUsedMs < MAX_TURN_MS) {
      const reader = this.findNext();
      if (reader === undefined) return;
      this.waiting.delete(reader);
      this.woken = reader;
      reader.wake();
      this.woken = undefined;
    }
    if (this.waiting.size > 0) this.scheduleTurn();
  }

  private findNext(): ScheduledReader | undefined {
    let next: ScheduledReader | undefined;
    for (const reader of this.waiting)
      if (next === undefined || reader.startsAt < next.startsAt) next = reader;
    return next;
  }
}

function adaptSlice(bytes: number, tookMs: number): number {
  if (tookMs > SLOW_SLICE_MS) return Math.max(MIN_SLICE_BYTES, bytes / 2);
  return tookMs < FAST_SLICE_MS ? Math.min(MAX_SLICE_BYTES, bytes * 2) : bytes;
}
