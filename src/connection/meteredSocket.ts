import type { NetConnectOpts } from 'node:net';
import { Socket } from 'node:net';
import { ReadScheduler, ScheduledReader } from './readScheduler.js';

/** Shared by all connections on which this process reads responses. */
export const responseScheduler = new ReadScheduler();

/** Called after a slice was parsed, with its size and the time that this took in milliseconds. */
export type ReadObserver = (bytes: number, tookMs: number) => void;

/**
 * Connection on which an HTTP client reads a response slice by slice, as the scheduler permits; see `ReadScheduler`. The rest
 * waits in the socket, whose flow control reaches the sender.
 */
export class MeteredSocket extends Socket {
  private readonly reader = new ScheduledReader(() => {
    this.emit('readable');
  });
  private sliceBytes = 0;
  private unreadBytes = 0;

  /**
   * @param onRead - Called after each slice
   * @param scheduler - Scheduler that the connection shares with others
   */
  constructor(
    private readonly onRead: ReadObserver,
    private readonly scheduler: ReadScheduler = responseScheduler,
  ) {
    super();
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
    if (size !== undefined) return super.read(size) as Buffer | null;
    this.endSlice();
    // The stream ends itself in a read after the last byte.
    if (this.readableLength === 0) return super.read() as Buffer | null;
    const maxBytes = this.scheduler.beginSlice(this.reader, performance.now());
    if (maxBytes === 0) return null;
    const slice = super.read(Math.min(maxBytes, this.readableLength)) as Buffer | null;
    this.sliceBytes = slice?.length ?? 0;
    return slice;
  }

  /** Takes back bytes that a paused client has not parsed. */
  override unshift(chunk: Buffer): void {
    this.unreadBytes = chunk.length;
    this.endSlice();
    super.unshift(chunk);
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
 * Opens a metered connection.
 *
 * @param options - Address
 * @param onRead - Called after each slice
 * @returns The connection, which is not open yet
 */
export function connectMetered(options: NetConnectOpts, onRead: ReadObserver): MeteredSocket {
  const socket = new MeteredSocket(onRead);
  socket.connect(options);
  return socket;
}
