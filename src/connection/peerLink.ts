import type { Socket } from 'node:net';
import { defaults } from '../defaults.js';
import type { Message, MessageOf, MessageType } from '../protocol/messages.js';
import type { FrameReader } from './frameCodec.js';
import { encodeFrame } from './frameCodec.js';

export type Hello = MessageOf<'hello'>;

/** Handlers by message type; a type without a handler is counted and ignored. */
export type MessageHandlers = {
  readonly [Type in MessageType]?: (message: MessageOf<Type>, link: PeerLink) => void;
};

export interface PeerLinkOptions {
  readonly handlers: MessageHandlers;
  readonly maxFrameBytes?: number;
  readonly heartbeatIntervalMs?: number;
  readonly heartbeatTimeoutMs?: number;
  readonly heartbeatCheckMs?: number;
  /** Called with the number of bytes of each read from the socket. */
  readonly onBytesReceived?: (bytes: number) => void;
}

/** Why a link was closed. */
export type CloseReason = 'closed' | 'heartbeat_timeout' | 'protocol_error' | 'hello_timeout';

/** One framed connection to a peer that has completed the hello exchange. */
export class PeerLink {
  readonly counters = { sent: 0, received: 0, bytesSent: 0, bytesReceived: 0, unhandled: 0 };
  /** Local time at which bytes were last received, in milliseconds since the epoch. */
  lastReceivedAt: number;
  private readonly batch: Buffer[] = [];
  private readonly closeListeners: ((reason: CloseReason) => void)[] = [];
  private readonly heartbeatTimer: NodeJS.Timeout;
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
    const read = this.reader.readMessages(data);
    if (read.isErr()) {
      this.destroy('protocol_error');
      return;
    }
    this.dispatchAll(read.value);
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
    clearInterval(this.heartbeatTimer);
    for (const listener of this.closeListeners) listener(this.closeReason);
  }
}
