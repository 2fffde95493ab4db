import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { RequestReader } from './requestReader.js';

/** A closed connection is read until nothing has come for this long, unless the caller closes it as well. */
const LINGER_MS = 1_000;
/** Longest time for which a closed connection is read. */
const MAX_LINGER_MS = 5_000;
/** Bytes of a refused body that are read, so that its connection can be kept. */
const MAX_DISCARDED_BYTES = 64 * 1024;
/** Time in which the rest of a refused body has to come. */
const DISCARD_MS = 1_000;

/** Connection of a caller, with the exchanges on it whose response is not yet handed to the operating system. */
export class CallerConnection<Exchange> {
  /** In the order of their arrival. */
  private readonly unfinished = new Set<Exchange>();
  private hasAnnouncedClose = false;
  private isClosed = false;
  private servedCount = 0;
  private lastUsedAt: number;
  /** Bytes read by the time of `idleSince`; more are the beginning of another request. */
  private knownBytesRead = 0;
  /** Whether it is closed once the responses that are due have been written. */
  private isEnding = false;

  /**
   * @param socket - Accepted connection
   * @param idleSince - When it was accepted, in milliseconds
   * @param reader - Reader of its requests
   */
  constructor(
    private readonly socket: Socket,
    private idleSince: number,
    private readonly reader?: Pick<RequestReader, 'discard' | 'hasRequestAhead'>,
  ) {
    this.lastUsedAt = idleSince;
    // Node calls this after a response that announces the close. It would close the socket at once, and bytes that the
    // caller still sends would make the kernel reset the connection and discard what the caller has not received.
    socket.destroySoon = () => {
      this.close();
    };
  }

  /** Whether no further request on the connection is answered, so that none may be run. */
  get isClosing(): boolean {
    return this.hasAnnouncedClose;
  }

  /** Whether the next response should announce the close, because the rest of a refused body is not read. */
  get hasUnreadBody(): boolean {
    return this.isEnding;
  }

  /** Whether its sending side has been closed. */
  get hasClosed(): boolean {
    return this.isClosed;
  }

  /** Whether a response has been handed to the operating system. */
  get hasServed(): boolean {
    return this.servedCount > 0;
  }

  /** When its last response was handed to the operating system, or else when it was accepted, in milliseconds. */
  get usedAt(): number {
    return this.lastUsedAt;
  }

  get unfinishedCount(): number {
    return this.unfinished.size;
  }

  listUnfinished(): readonly Exchange[] {
    return [...this.unfinished];
  }

  add(exchange: Exchange): void {
    this.unfinished.add(exchange);
  }

  /**
   * Removes an exchange whose response has been handed to the operating system.
   *
   * @param exchange - Exchange
   * @param now - Current time in milliseconds
   */
  remove(exchange: Exchange, now: number): void {
    this.unfinished.delete(exchange);
    this.servedCount += 1;
    this.lastUsedAt = now;
    this.idleSince = now;
    this.knownBytesRead = this.socket.bytesRead;
    if (this.isEnding && this.unfinished.size === 0) this.close();
  }

  /**
   * Discards the rest of a body that is refused. The connection is kept if that is short, and closed otherwise after the
   * responses that are due.
   *
   * @param request - Request whose body is not wanted
   */
  discardBody(request: IncomingMessage): void {
    if (request.complete) return;
    request.resume();
    const { bytesRead } = this.socket;
    if (Number(request.headers['content-length']) > MAX_DISCARDED_BYTES) {
      this.endAfterResponses();
      return;
    }
    const timer = setTimeout(() => {
      this.endAfterResponses();
    }, DISCARD_MS);
    request.on('data', () => {
      if (this.socket.bytesRead - bytesRead > MAX_DISCARDED_BYTES) this.endAfterResponses();
    });
    const stopTimer = (): void => {
      clearTimeout(timer);
      this.socket.off('close', stopTimer);
    };
    request.once('end', stopTimer);
    this.socket.once('close', stopTimer);
  }

  /**
   * Measures how long the connection has been without an exchange and without bytes of a request.
   *
   * @param now - Current time in milliseconds
   * @returns Milliseconds, 0 while there is an exchange or the connection is closing
   */
  measureIdleMs(now: number): number {
    if (this.unfinished.size > 0 || this.isClosing) return 0;
    const { bytesRead } = this.socket;
    if (bytesRead !== this.knownBytesRead) {
      this.knownBytesRead = bytesRead;
      this.idleSince = now;
    }
    return now - this.idleSince;
  }

  /** Whether the response of an exchange has to wait for that to an earlier request. */
  isBehindOther(exchange: Exchange): boolean {
    const [first] = this.unfinished;
    return first !== undefined && first !== exchange;
  }

  /**
   * Closes the sending side after what has been written, and discards what the caller still sends until it closes its
   * side as well.
   *
   * @param lastBytes - Written before the close
   */
  close(lastBytes = ''): void {
    this.hasAnnouncedClose = true;
    if (this.isClosed) return;
    this.isClosed = true;
    this.reader?.discard();
    this.socket.end(lastBytes);
    let lingeredMs = 0;
    let { bytesRead } = this.socket;
    const timer = setInterval(() => {
      lingeredMs += LINGER_MS;
      const isSilent = this.socket.bytesRead === bytesRead;
      if (isSilent || lingeredMs >= MAX_LINGER_MS) this.socket.destroy();
      ({ bytesRead } = this.socket);
    }, LINGER_MS);
    this.socket.once('close', () => {
      clearInterval(timer);
    });
  }

  /**
   * Decides whether a response may announce the close of the connection.
   *
   * Node writes no response after such a one, so only that to the last request may, also of those that have been received
   * and not parsed. Later requests are ignored.
   *
   * @param exchange - Exchange whose head is about to be written
   * @returns True if it is the last one; the connection is closing from then on
   */
  tryAnnounceClose(exchange: Exchange): boolean {
    let last: Exchange | undefined;
    for (const other of this.unfinished) last = other;
    if (last !== exchange) return false;
    if (!this.isEnding && this.reader?.hasRequestAhead === true) return false;
    this.hasAnnouncedClose = true;
    return true;
  }

  /** Reads no more requests, and closes the connection once all responses have been handed to the operating system. */
  private endAfterResponses(): void {
    if (this.isEnding) return;
    this.isEnding = true;
    this.hasAnnouncedClose = true;
    this.reader?.discard();
    if (this.unfinished.size === 0) this.close();
  }
}
