import type { Socket } from 'node:net';
import { defaults } from '../defaults.js';
import type { Message, MessageOf, MessageType } from '../protocol/messages.js';
import type { FrameReader } from './frameCodec.js';
import { encodeFrame } from './frameCodec.js';
import { connectionFaults } from './connectionFaults.js';
import { ReadFlow, ReadScheduler, ScheduledReader } from './readScheduler.js';

/** Shared by all links of this process. */
const linkScheduler = new ReadScheduler();
/** A pause of the process within a slice counts as no more than this towards the time that a link takes. */
const MAX_COUNTED_MS = 100;
/** Time of the event loop that a link may take beyond its share, such as for the greetings of a new link. */
const MAX_EXCESS_MS = 500;

export type Hello = MessageOf<'hello'>;

/** Handlers by message type; a type without a handler is counted and ignored. */
export type MessageHandlers = {
  readonly [Type in MessageType]?: (message: MessageOf<Type>, link: PeerLink) => void;
};

export interface PeerLinkOptions {
  readonly handlers: MessageHandlers;
  readonly maxFrameBytes?: number;
  /** Share of the time of the event loop above which a link is closed, after `MAX_EXCESS_MS`; none by default. */
  readonly maxReadShare?: number;
  /** Bytes that the peer may leave unread before the link is closed; no bound by default. */
  readonly maxUnsentBytes?: number;
  readonly heartbeatIntervalMs?: number;
  readonly heartbeatTimeoutMs?: number;
  readonly heartbeatCheckMs?: number;
  /** Called with the number of bytes of each read from the socket. */
  readonly onBytesReceived?: (bytes: number) => void;
}

/** Why a link was closed. */
export type CloseReason =
  | 'closed'
  | 'heartbeat_timeout'
  | 'protocol_error'
  | 'hello_timeout'
  /** The peer sends more than may be read in its share of the time. */
  | 'flooded'
  /** The peer does not read what is sent to it. */
  | 'unread';

/** One framed connection to a peer that has completed the hello exchange. */
export class PeerLink {
  readonly counters = { sent: 0, received: 0, bytesSent: 0, bytesReceived: 0, unhandled: 0 };
  /** Local time at which bytes were last received, in milliseconds since the epoch. */
  lastReceivedAt: number;
  private readonly batch: Buffer[] = [];
  private readonly closeListeners: ((reason: CloseReason) => void)[] = [];
  private readonly heartbeatTimer: NodeJS.Timeout;
  private readonly scheduled = new ScheduledReader(new ReadFlow(), () => {
    this.readUnread();
  });
  /** What has been received and waits for its turn; the socket is paused meanwhile. */
  private unread: Buffer = Buffer.alloc(0);
  private batchBytes = 0;
  /** Time taken beyond the share, in milliseconds, at `excessAt`. */
  private excessMs = 0;
  private excessAt = performance.now();
  private closed = false;
  private lastSentAt: number;
  private closeReason: CloseReason = 'closed';

  constructor(
    private readonly socket: Socket,
    /** Hello message of the peer. */
    readonly peer: Hello,
    private readonly reader: FrameReader,
    private readonly options: PeerLinkOptions,
    /** Time of this side's hello, in milliseconds; no message after the hello of the peer is older. */
    startedAt: number,
  ) {
    this.lastReceivedAt = startedAt;
    this.lastSentAt = startedAt;
    socket.setNoDelay(true);
    socket.on('data', (data: Buffer) => {
      this.receive(data);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.handleClose();
    });
    const interval = options.heartbeatIntervalMs ?? defaults.heartbeatIntervalMs;
    this.heartbeatTimer = setInterval(
      () => {
        this.checkHeartbeat(Date.now(), interval);
      },
      Math.min(interval, options.heartbeatCheckMs ?? defaults.heartbeatCheckMs),
    );
    if (socket.destroyed)
      queueMicrotask(() => {
        this.handleClose();
      });
  }

  get isOpen(): boolean {
    return !this.closed;
  }

  /** Bytes queued in the socket that have not been passed to the kernel yet. */
  get bufferedBytes(): number {
    return this.socket.writableLength;
  }

  /**
   * Sends a message; all messages of one event loop turn are sent in a single write.
   *
   * @param message - Message to send
   * @returns False if the link is closed and the message was dropped
   */
  send(message: Message): boolean {
    return !this.closed && this.sendFrame(encodeFrame(message));
  }

  /**
   * Sends a message that is already encoded, as one for many links is.
   *
   * @param frame - Frame with its length
   * @returns False if the link is closed
   */
  sendFrame(frame: Buffer): boolean {
    if (this.closed || this.socket.destroyed) return false;
    this.counters.sent += 1;
    this.counters.bytesSent += frame.length;
    this.batch.push(frame);
    this.batchBytes += frame.length;
    const unsent = this.batchBytes + this.socket.writableLength;
    if (unsent > (this.options.maxUnsentBytes ?? Infinity)) {
      this.fail('unread', unsent);
      return false;
    }
    if (this.batch.length === 1)
      setImmediate(() => {
        this.flush();
      });
    return true;
  }

  /**
   * Registers a listener for the closing of the link.
   *
   * @param listener - Called once with the reason
   */
  onClose(listener: (reason: CloseReason) => void): void {
    if (this.closed) listener(this.closeReason);
    else this.closeListeners.push(listener);
  }

  /** Closes the connection after all pending messages have been written. */
  close(): void {
    this.flush();
    this.socket.end();
  }

  /**
   * Closes the connection immediately and drops unwritten messages.
   *
   * @param reason - Reported to close listeners
   */
  destroy(reason: CloseReason): void {
    if (!this.closed) this.closeReason = reason;
    this.socket.destroy();
  }

  /**
   * Dispatches messages in order; the handshake passes those that arrived together with the hello.
   *
   * @param messages - Messages to dispatch
   */
  dispatchAll(messages: readonly Message[]): void {
    for (const message of messages) {
      // A pause while the bytes were decoded, or while an earlier message was handled, makes the rest as old as one before.
      if (this.isTimedOut(Date.now())) {
        this.destroy('heartbeat_timeout');
        return;
      }
      this.dispatch(message);
    }
  }

  private flush(): void {
    if (this.batch.length === 0 || this.socket.destroyed) return;
    const data = this.batch.length === 1 ? this.batch[0] : Buffer.concat(this.batch);
    this.batch.length = 0;
    this.batchBytes = 0;
    this.lastSentAt = Date.now();
    if (data !== undefined) this.socket.write(data);
  }

  private receive(data: Buffer): void {
    const now = Date.now();
    // After a pause of this process, bytes buffered in the socket may be as old as the pause. Deadlines in them are
    // remaining times and would be too late, and the peer has already timed the link out.
    if (this.isTimedOut(now)) {
      this.destroy('heartbeat_timeout');
      return;
    }
    this.lastReceivedAt = now;
    this.counters.bytesReceived += data.length;
    this.options.onBytesReceived?.(data.length);
    this.unread = data;
    this.readUnread();
  }

  /** Reads in slices, as the scheduler permits; the socket is paused while the rest waits. */
  private readUnread(): void {
    const { scheduled } = this;
    while (this.unread.length > 0 && !this.socket.destroyed) {
      const maxBytes = linkScheduler.beginSlice(scheduled, performance.now());
      if (maxBytes === 0) {
        this.socket.pause();
        return;
      }
      const slice = this.unread.subarray(0, maxBytes);
      this.unread = this.unread.subarray(slice.length);
      const usedMs = scheduled.usedMs;
      this.readSlice(slice);
      const now = performance.now();
      linkScheduler.endSlice(scheduled, now);
      this.checkShare(Math.min(scheduled.usedMs - usedMs, MAX_COUNTED_MS), now);
    }
    if (this.socket.isPaused()) this.socket.resume();
  }

  private readSlice(slice: Buffer): void {
    const read = this.reader.readMessages(slice);
    if (read.isErr()) {
      this.fail('protocol_error', slice.length, read.error.code);
      return;
    }
    this.dispatchAll(read.value);
  }

  /** Closes the link if it has taken more than its share of the time for too long. */
  private checkShare(tookMs: number, now: number): void {
    const { maxReadShare } = this.options;
    if (maxReadShare === undefined) return;
    const allowedMs = (now - this.excessAt) * maxReadShare;
    this.excessMs = Math.max(0, this.excessMs - allowedMs) + tookMs;
    this.excessAt = now;
    if (this.excessMs > MAX_EXCESS_MS) this.fail('flooded', this.counters.bytesReceived);
  }

  /** Closes the link for a fault of the peer. */
  private fail(
    reason: 'flooded' | 'unread' | 'protocol_error',
    bytes: number,
    code?: string,
  ): void {
    if (this.socket.destroyed) return;
    const { processId, host } = this.peer;
    const fields = { peer: processId, address: host, bytes, code };
    connectionFaults.record(`link_${reason}`, fields, performance.now());
    this.destroy(reason);
  }

  private dispatch(message: Message): void {
    this.counters.received += 1;
    // Both sides send pings, so replies would only double the traffic of an idle link.
    if (message.type === 'ping' || message.type === 'pong') return;
    const handler = this.options.handlers[message.type] as
      ((message: Message, link: PeerLink) => void) | undefined;
    if (handler === undefined) this.counters.unhandled += 1;
    else handler(message, this);
  }

  private checkHeartbeat(now: number, interval: number): void {
    if (this.isTimedOut(now)) {
      this.destroy('heartbeat_timeout');
      return;
    }
    // Any other message serves as a heartbeat too.
    if (now - this.lastSentAt >= interval) this.send({ type: 'ping', sentAt: now });
  }

  private isTimedOut(now: number): boolean {
    const timeout = this.options.heartbeatTimeoutMs ?? defaults.heartbeatTimeoutMs;
    return now - this.lastReceivedAt > timeout;
  }

  private handleClose(): void {
    if (this.closed) return;
    this.closed = true;
    linkScheduler.remove(this.scheduled, performance.now());
    this.unread = Buffer.alloc(0);
    clearInterval(this.heartbeatTimer);
    for (const listener of this.closeListeners) listener(this.closeReason);
  }
}
