import type { IncomingMessage } from 'node:http';

/** Bytes that each body, and each response, may hold in any case, so that small ones are not affected by large ones. */
export const RESERVED_BYTES = 16 * 1024;
/** Bytes that the socket of a suspended connection reads in advance at most. */
export const READ_AHEAD_BYTES = 64 * 1024;
/** A hold without progress for this long is ended while others wait for memory. */
const STALL_MS = 1_000;
/** Share of the limit above it from which holds are ended at once. */
const OVERSHOOT = 0.25;

/**
 * What memory is held for: a body of a request, a response that is read from an upstream or that its caller has not read,
 * or requests that were sent ahead.
 */
export type HoldKind = 'body' | 'upstream' | 'response' | 'ahead';

/** What holds memory for a caller. */
export interface HoldOptions {
  readonly kind: HoldKind;
  /** Request that the memory is held for, if it is one. */
  readonly request?: IncomingMessage;
  /** Holds of one group get memory after those of groups that hold less. */
  readonly group: string;
  /** Ends the hold, which releases its memory. */
  evict(): void;
  /** Stops reading; called when there is no memory left for more bytes. */
  suspend?(): void;
  /** Reads on. */
  resume?(): void;
}

/** Memory held for the body of a request, or for a response that its caller has not read. */
export class MemoryHold {
  private bytes = 0;
  /** Bytes that count towards the limit. */
  counted = 0;
  isWaiting = false;
  /** Whether it may be ended; a request that is in work may not. */
  isEvictable = true;

  constructor(
    private readonly memory: CallerMemory,
    readonly options: HoldOptions,
    /** When it last made progress, in milliseconds. */
    public movedAt: number,
  ) {}

  /** Bytes that it holds. */
  get size(): number {
    return this.bytes;
  }

  /** Bytes that it counts while it waits, with those that its socket reads in advance. */
  get countedBytes(): number {
    const ahead = this.isWaiting ? READ_AHEAD_BYTES : 0;
    return Math.max(0, this.bytes - RESERVED_BYTES) + ahead;
  }

  /**
   * Sets the size of what is held, which counts as progress.
   *
   * @param bytes - Bytes
   * @param now - Current time in milliseconds
   */
  resize(bytes: number, now: number): void {
    this.bytes = bytes;
    this.movedAt = now;
    this.memory.update(this, now);
  }

  /** Releases all of it. */
  release(): void {
    this.bytes = 0;
    this.memory.remove(this);
  }
}

/**
 * Memory that a process holds for its callers: bodies of requests and unread responses.
 *
 * While it is used up, bodies are read no further than their reserved part. Those that hold most and move least are ended
 * when others wait for memory, or at once if the limit is far exceeded.
 */
export class CallerMemory {
  private usedBytes = 0;
  private readonly holds = new Set<MemoryHold>();
  private readonly waiting = new Set<MemoryHold>();
  private isResuming = false;

  /**
   * @param maxBytes - Bytes of all holds beyond their reserved parts
   * @param onEvict - Called for each hold that is ended, with its size in bytes
   */
  constructor(
    private readonly maxBytes: number,
    private readonly onEvict: (options: HoldOptions, bytes: number) => void = () => undefined,
  ) {}

  /**
   * Opens a hold without bytes.
   *
   * @param options - How it is ended, suspended and resumed
   * @param now - Current time in milliseconds
   * @returns The hold
   */
  open(options: HoldOptions, now: number): MemoryHold {
    return new MemoryHold(this, options, now);
  }

  /**
   * Counts a hold anew, and suspends it if it needs more than its reserved part while no memory is left.
   *
   * @param hold - Hold whose size has changed
   * @param now - Current time in milliseconds
   */
  update(hold: MemoryHold, now: number): void {
    this.recount(hold);
    if (hold.counted > 0) this.holds.add(hold);
    else this.holds.delete(hold);
    if (hold.counted > 0 && !this.mayGrow(hold)) this.suspend(hold);
    this.endOldest(now);
    if (this.usedBytes < this.maxBytes) this.resumeWaiting(now);
  }

  /**
   * Removes a hold.
   *
   * @param hold - Hold
   */
  remove(hold: MemoryHold): void {
    hold.isWaiting = false;
    this.recount(hold);
    this.holds.delete(hold);
    this.waiting.delete(hold);
  }

  /**
   * Ends holds that do not move while others wait, and lets those that wait go on.
   *
   * @param now - Current time in milliseconds
   */
  advance(now: number): void {
    if (this.waiting.size === 0) return;
    if (this.usedBytes >= this.maxBytes) this.endStalled(now);
    this.resumeWaiting(now);
    const largest = this.findLargest();
    if (largest?.isWaiting === true) this.resume(largest, now);
  }

  /** Describes the use for the state dump. */
  describe(): Readonly<Record<string, number>> {
    const { usedBytes, maxBytes, holds, waiting } = this;
    return { usedBytes, maxBytes, holds: holds.size, waiting: waiting.size };
  }

  private recount(hold: MemoryHold): void {
    this.usedBytes += hold.countedBytes - hold.counted;
    hold.counted = hold.countedBytes;
  }

  private suspend(hold: MemoryHold): void {
    if (hold.isWaiting || hold.options.suspend === undefined) return;
    hold.isWaiting = true;
    this.waiting.add(hold);
    this.recount(hold);
    hold.options.suspend();
  }

  private resumeWaiting(now: number): void {
    // A resumed hold may grow at once, which leads here again, or in the same turn of the event loop.
    if (this.isResuming) return;
    this.isResuming = true;
    let room = this.maxBytes - this.usedBytes;
    while (room > 0 && this.usedBytes < this.maxBytes) {
      const hold = this.findNextWaiting();
      if (hold === undefined) break;
      this.resume(hold, now);
      room -= READ_AHEAD_BYTES;
    }
    this.isResuming = false;
  }

  private resume(hold: MemoryHold, now: number): void {
    this.waiting.delete(hold);
    hold.isWaiting = false;
    hold.movedAt = now;
    this.recount(hold);
    hold.options.resume?.();
  }

  /** Whether a hold may take more. The largest one may exceed the limit, so that holds do not wait for each other, and a single one by any size. */
  private mayGrow(hold: MemoryHold): boolean {
    if (this.usedBytes <= this.maxBytes || this.holds.size === 1) return true;
    return this.usedBytes <= this.hardLimit && this.findLargest() === hold;
  }

  private findLargest(): MemoryHold | undefined {
    let largest: MemoryHold | undefined;
    for (const hold of this.holds)
      if (largest === undefined || hold.size > largest.size) largest = hold;
    return largest;
  }

  private get hardLimit(): number {
    return this.maxBytes * (1 + OVERSHOOT);
  }

  /** Finds the hold that has waited longest among those whose group holds least. */
  private findNextWaiting(): MemoryHold | undefined {
    if (this.waiting.size === 0) return undefined;
    const bytesByGroup = new Map<string, number>();
    for (const { options, counted } of this.holds)
      bytesByGroup.set(options.group, (bytesByGroup.get(options.group) ?? 0) + counted);
    let next: MemoryHold | undefined;
    let least = Infinity;
    for (const hold of this.waiting) {
      const bytes = bytesByGroup.get(hold.options.group) ?? 0;
      if (bytes >= least) continue;
      least = bytes;
      next = hold;
    }
    return next;
  }

  /** Ends holds that have not moved for a while. */
  private endStalled(now: number): void {
    for (const hold of [...this.holds])
      if (!hold.isWaiting && hold.isEvictable && now - hold.movedAt >= STALL_MS) this.end(hold);
  }

  /** Ends holds while the limit is far exceeded: those without progress for longest, then the largest that wait. */
  private endOldest(now: number): void {
    while (this.usedBytes > this.hardLimit && this.holds.size > 1) {
      // One that waits can't make progress, so the time since then says nothing about it.
      const next = this.findOldest(now) ?? this.findLargestWaiting(now);
      if (next === undefined) return;
      this.end(next);
    }
  }

  private findOldest(now: number): MemoryHold | undefined {
    let oldest: MemoryHold | undefined;
    for (const hold of this.holds) {
      if (!hold.isEvictable || hold.isWaiting || hold.movedAt >= now) continue;
      if (oldest === undefined || hold.movedAt < oldest.movedAt) oldest = hold;
    }
    return oldest;
  }

  private findLargestWaiting(now: number): MemoryHold | undefined {
    let largest: MemoryHold | undefined;
    for (const hold of this.waiting) {
      if (!hold.isEvictable || hold.movedAt >= now) continue;
      if (largest === undefined || hold.size > largest.size) largest = hold;
    }
    return largest;
  }

  private end(hold: MemoryHold): void {
    const { options, counted } = hold;
    hold.release();
    this.onEvict(options, counted + RESERVED_BYTES);
    options.evict();
  }
}
