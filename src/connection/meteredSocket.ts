import type { NetConnectOpts } from 'node:net';
import { Socket } from 'node:net';
import { ReadFlow, ReadScheduler, ScheduledReader } from './readScheduler.js';

/** Shared by all connections on which this process reads responses. */
export const responseScheduler = new ReadScheduler();

/** Errors after which what has arrived before is still read. */
const peerErrors: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE']);

/**
 * Called after a slice was parsed, with the bytes that the client has taken and the time that this took in milliseconds.
 */
export type ReadObserver = (bytes: number, tookMs: number) => void;

export interface MeteredOptions {
  /** Called after each slice. */
  readonly onRead: ReadObserver;
  /** Connections of one flow share its part of the time; by default a connection is a flow of its own. */
  readonly flow?: ReadFlow;
  /** Scheduler that the connection shares with others. */
  readonly scheduler?: ReadScheduler;
}

/**
 * Connection on which an HTTP client reads a response slice by slice, as the scheduler permits; see `ReadScheduler`. The rest
 * waits in the socket, whose flow control reaches the sender.
 *
 * What has arrived is read before the end of the connection or its reset is reported, also if the client has paused: a
 * response that has arrived completely is complete, whatever happens to the connection afterwards.
 */
export class MeteredSocket extends Socket {
  private readonly reader: ScheduledReader;
  private readonly onRead: ReadObserver;
  private readonly scheduler: ReadScheduler;
  private sliceBytes = 0;
  private unreadBytes = 0;
  /** Set from the moment at which a client has given back bytes until it reads on. */
  private hasPausedClient = false;
  /** Error of the peer that is reported when the bytes before it have been read. */
  private lateError: Error | undefined;

  /** @param options - Observer, and what the connection shares */
  constructor({ onRead, flow = new ReadFlow(), scheduler = responseScheduler }: MeteredOptions) {
    super();
    this.onRead = onRead;
    this.scheduler = scheduler;
    this.reader = new ScheduledReader(flow, () => {
      this.emit('readable');
    });
    this.once('close', () => {
      this.endSlice();
      this.scheduler.remove(this.reader, performance.now());
    });
  }

  /**
   * Reads the next slice. A client calls it without a size, for all that has arrived; the stream itself calls it with 0.
   *
   * @param size - Number of bytes
   * @returns The slice; null if there is none, or if the connection has to wait
   */
  override read(size?: number): Buffer | null {
    // The stream ends itself in a read after the last byte, for which a paused client is not prepared.
    if (size === 0 && this.hasPausedClient && this.readableLength === 0) return null;
    if (size !== undefined) return super.read(size) as Buffer | null;
    this.endSlice();
    const wasPaused = this.hasPausedClient;
    this.hasPausedClient = false;
    if (this.destroyed) return null;
    if (this.readableLength === 0) {
      // A client that continues first handles what it has parsed, and then reads again.
      if (wasPaused) return null;
      if (this.lateError === undefined) return super.read() as Buffer | null;
      super.destroy(this.lateError);
      return null;
    }
    const maxBytes = this.scheduler.beginSlice(this.reader, performance.now());
    if (maxBytes === 0) return null;
    const slice = super.read(Math.min(maxBytes, this.readableLength)) as Buffer | null;
    this.sliceBytes = slice?.length ?? 0;
    return slice;
  }

  /** Takes back bytes that a client has not parsed, which means that it pauses. */
  override unshift(chunk: Buffer): void {
    this.unreadBytes = chunk.length;
    this.endSlice();
    this.hasPausedClient = true;
    super.unshift(chunk);
  }

  /**
   * Closes the connection, after an error of the peer only when what has arrived before it has been read.
   *
   * @param error - Why it is closed
   */
  override destroy(error?: NodeJS.ErrnoException): this {
    const isUnread = this.readableLength > 0 || this.hasPausedClient;
    if (!isUnread || !peerErrors.has(error?.code ?? '')) return super.destroy(error);
    this.lateError ??= error;
    return this;
  }

  private endSlice(): void {
    const { reader, sliceBytes, unreadBytes } = this;
    if (reader.sliceStartedAt === undefined) return;
    const usedMs = reader.usedMs;
    this.scheduler.endSlice(reader, performance.now());
    this.sliceBytes = 0;
    this.unreadBytes = 0;
    this.onRead(sliceBytes - unreadBytes, reader.usedMs - usedMs);
  }
}

/**
 * Opens a metered connection, which sends without delay.
 *
 * @param address - Address
 * @param options - Observer, and what the connection shares
 * @returns The connection, which is not open yet
 */
export function connectMetered(address: NetConnectOpts, options: MeteredOptions): MeteredSocket {
  const socket = new MeteredSocket(options);
  // An option of the address counts only in the constructor of a plain socket.
  socket.setNoDelay(true);
  socket.connect(address);
  return socket;
}
