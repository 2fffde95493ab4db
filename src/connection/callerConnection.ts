import type { Socket } from 'node:net';

/** Connection of a caller, with the exchanges on it whose response is not yet handed to the operating system. */
export class CallerConnection<Exchange> {
  /** In the order of their arrival. */
  private readonly unfinished = new Set<Exchange>();
  private hasAnnouncedClose = false;

  constructor(readonly socket: Socket) {}

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

  remove(exchange: Exchange): void {
    this.unfinished.delete(exchange);
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
