import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerMemory, MemoryHold } from './callerMemory.js';
import { READ_AHEAD_BYTES } from './callerMemory.js';
import type { ReaderLoad } from './readerLoad.js';
import { SHORT_SLICE_BYTES } from './readerLoad.js';
import { UnreadResponse } from './unreadResponse.js';

const HEAD_END = '\r\n\r\n';
/**
 * Bytes that a connection may have sent ahead before it is read no further. Up to it the end of the connection is seen, so
 * that the work for a caller that has left ends.
 */
const MAX_HELD_BYTES = 4 * 1024;

/** 16 KB of a body in chunks of one byte take about 3 ms. */
const MAX_SLICE_BYTES = 16 * 1024;

/** Bounds on the requests that are in progress at the same time. */
export interface RequestLimits {
  readonly maxPerConnection: number;
  /** Requests of all connections above which each connection may only have one. */
  readonly maxTotal: number;
}

export interface ReaderOptions {
  readonly limits: RequestLimits;
  readonly load: ReaderLoad;
  /** Memory in which unread responses count, and requests that were sent ahead. */
  readonly memory?: CallerMemory | undefined;
  /** Current time in milliseconds. */
  readonly readClock: () => number;
}

/** Bytes that were received before the parser may have them. */
interface HeldBytes {
  readonly bytes: Buffer;
  readonly receivedAt: number;
}

type ParseListener = (bytes: Buffer) => void;

/**
 * Passes the bytes of a connection to the HTTP parser of Node, which creates objects for all requests that it is given at
 * once. A caller that sends requests ahead is read no further until its earlier ones have been answered.
 */
export class RequestReader {
  private readonly parse: ParseListener;
  private readonly held: HeldBytes[] = [];
  private readonly inProgress = new Set<ServerResponse>();
  private last: ServerResponse | undefined;
  private heldByteCount = 0;
  /** Bytes that are due of the last body; NaN if it comes in chunks. */
  private bodyLeft = 0;
  private isPassing = false;
  private isScheduled = false;
  private isSuspended = false;
  private isDiscarding = false;
  private hasPaused = false;
  private heldMemory: MemoryHold | undefined;
  private arrivedAt: number | undefined;

  /**
   * @param socket - Accepted connection, to which Node has attached its parser
   * @param options - Bounds on what it reads
   */
  constructor(
    private readonly socket: Socket,
    private readonly options: ReaderOptions,
  ) {
    const [parse] = socket.listeners('data') as ParseListener[];
    if (parse === undefined) throw new Error('the connection has no HTTP parser');
    this.parse = parse;
    socket.off('data', parse);
    socket.on('data', (bytes: Buffer) => {
      this.receive(bytes);
    });
    socket.on('drain', () => {
      this.passHeld();
    });
    socket.once('end', () => {
      this.discard();
    });
    socket.once('close', () => {
      options.load.inProgress -= this.inProgress.size;
      this.inProgress.clear();
      this.discard();
      this.heldMemory?.release();
    });
  }

  /** Bytes received that have not been passed to the parser. */
  get heldBytes(): number {
    return this.heldByteCount + this.socket.readableLength;
  }

  /** Whether a part of another request than the last one has been received. */
  get hasRequestAhead(): boolean {
    return !this.isInBody && this.heldBytes > 0;
  }

  /** When the bytes were received that the parser is reading, in milliseconds; undefined unless they were held. */
  get heldSince(): number | undefined {
    return this.arrivedAt;
  }

  /**
   * Counts a request as in progress until its response has been handed to the operating system.
   *
   * @param response - Response of the request
   */
  track(response: ServerResponse): void {
    this.inProgress.add(response);
    this.last = response;
    this.options.load.inProgress += 1;
    response.once('close', () => {
      if (!this.inProgress.delete(response)) return;
      this.options.load.inProgress -= 1;
      if (this.held.length > 0 || this.hasPaused) this.scheduleNext();
    });
  }

  /**
   * Creates the count of what the caller has not read of a response.
   *
   * @param response - Response on this connection
   * @returns The count, undefined without a limit
   */
  createUnread(response: ServerResponse): UnreadResponse | undefined {
    const { memory, readClock } = this.options;
    return memory === undefined ? undefined : new UnreadResponse(response, memory, readClock);
  }

  /** Stops reading until `resume` is called, also within a body. */
  suspend(): void {
    this.isSuspended = true;
    this.updateFlow();
  }

  resume(): void {
    this.isSuspended = false;
    this.passHeld();
  }

  /** Reads on without parsing; what is received is dropped. */
  discard(): void {
    this.isDiscarding = true;
    this.held.length = 0;
    this.heldByteCount = 0;
    this.updateFlow();
  }

  private receive(bytes: Buffer): void {
    if (this.isDiscarding) return;
    if (
      this.held.length === 0 &&
      !this.isScheduled &&
      this.mayParse() &&
      this.tryPassWhole(bytes)
    ) {
      return;
    }
    this.held.push({ bytes, receivedAt: this.options.readClock() });
    this.heldByteCount += bytes.length;
    this.passHeld();
  }

  /** Passes bytes on at once that are short and hold the end of one head at most, as those of most requests do. */
  private tryPassWhole(bytes: Buffer): boolean {
    if (bytes.length > SHORT_SLICE_BYTES || this.isInBody) return false;
    const headEnd = bytes.indexOf(HEAD_END) + HEAD_END.length;
    if (headEnd >= HEAD_END.length && bytes.includes(HEAD_END, headEnd)) return false;
    const { last } = this;
    this.parse(bytes);
    if (this.last !== last) this.bodyLeft = this.readContentLength() - (bytes.length - headEnd);
    if (this.isSuspended) this.updateFlow();
    return true;
  }

  /**
   * Passes held bytes on, each time up to the end of one head or body at most, and one head in a turn of the event loop:
   * requests that are answered at once would otherwise keep other connections from being read.
   */
  private passHeld(): void {
    if (this.isPassing) return;
    this.isPassing = true;
    const { last } = this;
    for (;;) {
      const [first] = this.held;
      if (first === undefined || !this.mayParse()) break;
      if (this.last !== last && !this.isInBody) {
        this.scheduleNext();
        break;
      }
      if (!this.passSlice(first)) {
        this.scheduleNext();
        break;
      }
    }
    this.arrivedAt = undefined;
    this.isPassing = false;
    this.updateFlow();
  }

  /** Goes on in the next turn of the event loop. */
  private scheduleNext(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.passHeld();
    });
  }

  /** Passes the next slice on, unless it has to wait for the next turn. */
  private passSlice({ bytes, receivedAt }: HeldBytes): boolean {
    const end = this.findSliceEnd(bytes);
    const { load, readClock } = this.options;
    if (!load.tryTakeTurn(end, readClock())) return false;
    if (end === bytes.length) this.held.shift();
    else this.held[0] = { bytes: bytes.subarray(end), receivedAt };
    this.heldByteCount -= end;
    this.arrivedAt = receivedAt;
    const { last } = this;
    this.bodyLeft -= end;
    this.parse(end === bytes.length ? bytes : bytes.subarray(0, end));
    if (this.last !== last) this.bodyLeft = this.readContentLength();
    return true;
  }

  private readContentLength(): number {
    return this.isInBody ? Number(this.last?.req.headers['content-length']) : 0;
  }

  /** Finds the end of the body with a length, or of the next head; the last chunk of a body ends like a head. */
  private findSliceEnd(bytes: Buffer): number {
    const longest = Math.min(bytes.length, MAX_SLICE_BYTES);
    if (this.isInBody && this.bodyLeft > 0) return Math.min(this.bodyLeft, longest);
    const headEnd = bytes.indexOf(HEAD_END);
    return headEnd === -1 ? longest : Math.min(headEnd + HEAD_END.length, longest);
  }

  /** Whether the connection closes after the last request, so that what follows is not answered. */
  private get isLastRequest(): boolean {
    return !this.isInBody && this.last?.shouldKeepAlive === false;
  }

  private get isInBody(): boolean {
    return this.last?.req.complete === false;
  }

  /**
   * Whether the parser may have more bytes. It is given none while responses wait for a slow caller, because Node pauses it
   * then and takes further bytes for an error.
   */
  private mayParse(): boolean {
    if (this.isLastRequest) this.discard();
    if (this.isSuspended || this.isDiscarding || this.socket.destroyed) return false;
    if (this.isInBody) return true;
    const { size } = this.inProgress;
    if (size === 0) return true;
    const { limits, load } = this.options;
    if (size >= limits.maxPerConnection || load.inProgress >= limits.maxTotal) return false;
    let unsentBytes = 0;
    for (const { writableLength } of this.inProgress) unsentBytes += writableLength;
    return !this.socket.writableNeedDrain && unsentBytes < this.socket.writableHighWaterMark;
  }

  private updateFlow(): void {
    if (this.socket.destroyed) return;
    this.countHeld();
    if (this.isSuspended || this.heldByteCount > MAX_HELD_BYTES) {
      this.hasPaused = true;
      this.socket.pause();
    } else if (this.hasPaused) {
      this.hasPaused = false;
      this.socket.resume();
    }
  }

  /** Counts what is held, with what a paused socket reads in advance. */
  private countHeld(): void {
    const { memory, readClock } = this.options;
    if (this.heldByteCount <= MAX_HELD_BYTES) {
      this.heldMemory?.release();
      return;
    }
    const evict = (): void => {
      this.socket.destroy();
    };
    this.heldMemory ??= memory?.open({ kind: 'ahead', group: '', evict }, readClock());
    this.heldMemory?.resize(this.heldByteCount + READ_AHEAD_BYTES, readClock());
  }
}
