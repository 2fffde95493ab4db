import type { Socket } from 'node:net';

/** Time for which a closed connection is still read, unless the caller closes it as well. */
const LINGER_MS = 1_000;

/** Connection of a caller, with the exchanges on it whose response is not yet handed to the operating system. */
export class CallerConnection<Exchange> {
  /** In the order of their arrival. */
  private readonly unfinished = new Set<Exchange>();
  private hasAnnouncedClose = false;
  private hasClosed = false;

  /**
   * @param socket - Accepted connection
   * @param idleSince - When it was accepted, in milliseconds
   */
  constructor(
    private readonly socket: Socket,
    private idleSince: number,
  ) {
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
    this.idleSince = now;
  }

  /**
   * Computes how long the connection has been without an exchange.
   *
   * @param now - Current time in milliseconds
   * @returns Milliseconds, 0 while there is an exchange or the connection is closing
   */
  computeIdleMs(now: number): number {
    return this.unfinished.size > 0 || this.isClosing ? 0 : now - this.idleSince;
  }

  /**
   * Closes the sending side after what has been written, and discards what the caller still sends until it closes its
   * side as well.
   *
   * @param lastBytes - Written before the close
   */
  close(lastBytes = ''): void {
    this.hasAnnouncedClose = true;
    if (this.hasClosed) return;
    this.hasClosed = true;
    this.socket.end(lastBytes);
    const timer = setTimeout(() => this.socket.destroy(), LINGER_MS);
    this.socket.once('close', () => {
      clearTimeout(timer);
    });
  }

  /**
   * Decides whether a response may announce the close of the connection.
   *
   * Node writes no response after such a one, so only that to the last request may. Later requests are ignored.
   *
   * @param exchange - Exchange whose head is about to be written
   * @returns True if it is the last one; the connection is closing from then on
   */
  tryAnnounceClose(exchange: Exchange): boolean {
    let last: Exchange | undefined;
    for (const other of this.unfinished) last = other;
    if (last !== exchange) return false;
    this.hasAnnouncedClose = true;
    return true;
  }
}
