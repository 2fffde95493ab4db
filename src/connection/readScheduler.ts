/** Time in one turn of the event loop that reading may take; callers, reads of the store and timers have their turn after it. */
const MAX_TURN_MS = 1;
/** A larger slice is read only after a smaller one took little time. */
const FIRST_SLICE_BYTES = 4 * 1024;
const MIN_SLICE_BYTES = 1024;
const MAX_SLICE_BYTES = 64 * 1024;
const SLOW_SLICE_MS = 0.5;
const FAST_SLICE_MS = 0.1;

/** What shares time in the order of start-time fair queueing: one that has used little starts before one that has used much. */
class FairShare {
  /** Virtual time at which its last slice ended. */
  finishedAt = 0;
  /** Virtual time at which its next, or its present, slice starts. */
  startsAt = 0;

  /**
   * Prepares the next slice.
   *
   * @param virtualTime - Start of the slice that was given last
   */
  request(virtualTime: number): void {
    this.startsAt = Math.max(virtualTime, this.finishedAt);
  }
}

/** Connections that share a part of the time, for example those of one service. */
export class ReadFlow extends FairShare {
  readonly waiting = new Set<ScheduledReader>();
  virtualTime = 0;
}

/** One connection whose data is read in slices. */
export class ScheduledReader extends FairShare {
  sliceBytes = FIRST_SLICE_BYTES;
  /** When the present slice began, in milliseconds; undefined between slices. */
  sliceStartedAt: number | undefined;
  /** Time that all its slices have taken, in milliseconds. */
  usedMs = 0;

  /**
   * @param flow - Flow that it shares the time of
   * @param wake - Called when it may read, after it has waited
   */
  constructor(
    readonly flow: ReadFlow,
    readonly wake: () => void,
  ) {
    super();
  }
}

/**
 * Shares the time of the event loop among the connections on which a process reads responses.
 *
 * What a read costs depends on the sender: a few bytes may be a part of a body, an event or a header line of its own. So
 * connections are read in slices whose time is measured, in one turn of the event loop only for a limited time. Slices are
 * given in the order of start-time fair queueing, first among flows, then among the connections of a flow, so that a service
 * with few connections does not wait for one with many, and a connection with little to read goes before those that always
 * have more.
 */
export class ReadScheduler {
  /** Flows with connections that wait. */
  private readonly waiting = new Set<ReadFlow>();
  private virtualTime = 0;
  private turnUsedMs = 0;
  private isTurnScheduled = false;
  /** Set while a reader that has waited is woken. */
  private woken: ScheduledReader | undefined;

  /** Number of connections that wait to be read. */
  get waitingCount(): number {
    let count = 0;
    for (const flow of this.waiting) count += flow.waiting.size;
    return count;
  }

  /**
   * Begins a slice of a connection that has data.
   *
   * @param reader - The connection
   * @param now - Current time in milliseconds
   * @returns Maximum number of bytes to read now; 0 if it has to wait until it is woken
   */
  beginSlice(reader: ScheduledReader, now: number): number {
    const { flow } = reader;
    if (flow.waiting.has(reader)) return 0;
    this.scheduleTurn();
    const isWoken = this.woken === reader;
    if (!isWoken && (this.waiting.size > 0 || this.turnUsedMs >= MAX_TURN_MS)) {
      this.add(reader);
      return 0;
    }
    this.woken = undefined;
    if (!isWoken) {
      flow.request(this.virtualTime);
      reader.request(flow.virtualTime);
    }
    this.virtualTime = flow.startsAt;
    flow.virtualTime = reader.startsAt;
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
    const { flow } = reader;
    const tookMs = Math.max(0, now - reader.sliceStartedAt);
    reader.sliceStartedAt = undefined;
    reader.usedMs += tookMs;
    reader.finishedAt = reader.startsAt + tookMs;
    reader.sliceBytes = computeSliceBytes(reader.sliceBytes, tookMs);
    flow.finishedAt = flow.startsAt + tookMs;
    if (flow.waiting.size > 0) flow.request(this.virtualTime);
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
    this.withdraw(reader);
  }

  private add(reader: ScheduledReader): void {
    const { flow } = reader;
    reader.request(flow.virtualTime);
    flow.waiting.add(reader);
    if (this.waiting.has(flow)) return;
    flow.request(this.virtualTime);
    this.waiting.add(flow);
  }

  private withdraw(reader: ScheduledReader): void {
    const { flow } = reader;
    flow.waiting.delete(reader);
    if (flow.waiting.size === 0) this.waiting.delete(flow);
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
      const flow = findEarliest(this.waiting);
      const reader = flow === undefined ? undefined : findEarliest(flow.waiting);
      if (reader === undefined) return;
      this.withdraw(reader);
      this.woken = reader;
      reader.wake();
      this.woken = undefined;
    }
    if (this.waiting.size > 0) this.scheduleTurn();
  }
}

function findEarliest<Share extends FairShare>(shares: ReadonlySet<Share>): Share | undefined {
  let earliest: Share | undefined;
  for (const share of shares)
    if (earliest === undefined || share.startsAt < earliest.startsAt) earliest = share;
  return earliest;
}

function computeSliceBytes(bytes: number, tookMs: number): number {
  if (tookMs > SLOW_SLICE_MS) return Math.max(MIN_SLICE_BYTES, bytes / 2);
  return tookMs < FAST_SLICE_MS ? Math.min(MAX_SLICE_BYTES, bytes * 2) : bytes;
}
