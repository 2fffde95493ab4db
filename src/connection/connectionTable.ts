import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { Server as NetServer } from 'node:net';
import { getRequestReader } from './boundedServer.js';
import { CallerConnection } from './callerConnection.js';
import type { Exchange } from './responseClose.js';
import { observeClose } from './responseClose.js';

export interface ConnectionTableOptions {
  /** Bounded server that accepts the connections. */
  readonly server: Server;
  /** Current time in milliseconds. */
  readonly readClock: () => number;
  /** Formats the response to bytes that are no request, by the code of the parser. */
  readonly formatRejection: (code: string) => string;
}

/** Connections of the callers of a server, with their exchanges whose response is not yet handed to the operating system. */
export class ConnectionTable<Kind extends Exchange> {
  protected readonly connections = new Map<Socket, CallerConnection<Kind>>();
  private accepted = 0;

  constructor(private readonly options: ConnectionTableOptions) {
    const { server, readClock } = options;
    server.on('connection', (socket: Socket) => {
      this.accepted += 1;
      const reader = getRequestReader(socket);
      this.connections.set(socket, new CallerConnection(socket, readClock(), reader));
      socket.once('close', () => this.connections.delete(socket));
    });
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      this.rejectBytes(error.code ?? '', socket);
    });
  }

  /** Number of connections that were accepted so far. */
  get acceptedCount(): number {
    return this.accepted;
  }

  /** Number of open connections. */
  get size(): number {
    return this.connections.size;
  }

  /**
   * Tracks a request until its response is handed to the operating system or its connection closes.
   *
   * @param exchange - Request and response
   * @returns False if the connection is closing, so that the request must be ignored
   */
  add(exchange: Kind): boolean {
    const connection = this.connections.get(exchange.request.socket);
    if (connection === undefined || connection.isClosing) return false;
    connection.add(exchange);
    observeClose(exchange, () => {
      connection.remove(exchange, this.options.readClock());
    });
    return true;
  }

  /** Number of requests whose response is not yet handed to the operating system. */
  countUnfinished(): number {
    let count = 0;
    for (const { unfinishedCount } of this.connections.values()) count += unfinishedCount;
    return count;
  }

  /**
   * Discards the rest of a body that is refused, and closes its connection if that is long.
   *
   * @param exchange - Exchange that is about to be refused
   */
  discardBody({ request }: Kind): void {
    this.connections.get(request.socket)?.discardBody(request);
  }

  /**
   * Checks whether a connection ends because the rest of a refused body is not read.
   *
   * @param exchange - Exchange whose head is about to be written
   */
  hasUnreadBody({ request }: Kind): boolean {
    return this.connections.get(request.socket)?.hasUnreadBody ?? false;
  }

  /**
   * Decides whether a response may announce the close of its connection.
   *
   * @param exchange - Exchange whose head is about to be written
   * @returns True if no further request on the connection waits for a response
   */
  tryAnnounceClose(exchange: Kind): boolean {
    return this.connections.get(exchange.request.socket)?.tryAnnounceClose(exchange) ?? true;
  }

  /** Stops accepting connections. */
  closeListener(): void {
    // The method of http.Server also closes connections whose response has ended but is not flushed.
    if (this.options.server.listening) NetServer.prototype.close.call(this.options.server);
  }

  /** Destroys all connections. */
  destroyAll(): void {
    for (const socket of this.connections.keys()) socket.destroy();
  }

  /** Answers bytes that are no request, unless the caller would take the answer for that to an earlier request. */
  private rejectBytes(code: string, socket: Socket): void {
    const connection = this.connections.get(socket);
    // The parser reports each further read of a connection that is closing.
    if (connection?.isClosing === true && connection.unfinishedCount === 0) return;
    if (connection === undefined || !socket.writable || connection.unfinishedCount > 0) {
      socket.destroy();
      return;
    }
    connection.close(this.options.formatRejection(code));
  }
}
