import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { Server as NetServer } from 'node:net';
import { CallerConnection } from '../../connection/callerConnection.js';
import { observeClose } from '../../request/forwarding/responseClose.js';
import type {
  CallerExchange,
  RequestPhase,
  RequestProgress,
} from '../../request/forwarding/types.js';

/** Status of the response to bytes that are no request, by error code; these requests have not run. */
const rejectionStatuses: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const DEFAULT_REJECTION_STATUS = '400 Bad Request';

/**
 * A stopping gateway closes a connection that has been idle for this long. A caller that has just received a response
 * would otherwise send its next request into the close, and not know whether it has run.
 */
const MIN_IDLE_MS = 1_000;

/** Phases of requests that a stop may still refuse, unless an earlier attempt may have run them. */
const pendingPhases: ReadonlySet<RequestPhase> = new Set(['reading', 'waiting']);

/** Tracks the connections of callers and the responses that are not yet handed to the operating system. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection<CallerExchange>>();
  private accepted = 0;

  /**
   * @param server - Server that accepts the connections
   * @param readClock - Current time in milliseconds
   */
  constructor(
    private readonly server: Server,
    private readonly readClock: () => number,
  ) {
    server.on('connection', (socket: Socket) => {
      this.accepted += 1;
      this.connections.set(socket, new CallerConnection(socket, this.readClock()));
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

  /** Number of requests whose response is not yet handed to the operating system. */
  countUnfinished(): number {
    let count = 0;
    for (const { unfinishedCount } of this.connections.values()) count += unfinishedCount;
    return count;
  }

  /** Lists what is known of the requests whose response is not yet handed to the operating system. */
  listUnfinished(): RequestProgress[] {
    const listed: RequestProgress[] = [];
    for (const connection of this.connections.values())
      for (const { progress } of connection.listUnfinished()) listed.push(progress);
    return listed;
  }

  /**
   * Tracks a request until its response is handed to the operating system or its connection closes.
   *
   * @param exchange - Request and response
   * @returns False if the connection is closing, so that the request must be ignored
   */
  add(exchange: CallerExchange): boolean {
    const connection = this.connections.get(exchange.request.socket);
    if (connection === undefined || connection.isClosing) return false;
    connection.add(exchange);
    observeClose(exchange, () => {
      connection.remove(exchange, this.readClock());
    });
    return true;
  }

  /**
   * Checks whether a response has to wait for that to an earlier request on its connection.
   *
   * @param exchange - Request and response
   */
  isBehindOther(exchange: CallerExchange): boolean {
    return this.connections.get(exchange.request.socket)?.isBehindOther(exchange) ?? false;
  }

  /**
   * Decides whether a response may announce the close of its connection.
   *
   * @param exchange - Exchange whose head is about to be written
   * @returns True if no further request on the connection waits for a response
   */
  tryAnnounceClose(exchange: CallerExchange): boolean {
    return this.connections.get(exchange.request.socket)?.tryAnnounceClose(exchange) ?? true;
  }

  /** Stops accepting connections. */
  closeListener(): void {
    // The method of http.Server also closes connections whose response has ended but is not flushed.
    NetServer.prototype.close.call(this.server);
  }

  /**
   * Closes the connections that have been without a request for a while.
   *
   * @param now - Current time in milliseconds
   * @returns Number of closed connections
   */
  closeIdle(now: number): number {
    let count = 0;
    for (const connection of this.connections.values()) {
      if (connection.measureIdleMs(now) < MIN_IDLE_MS) continue;
      connection.close();
      count += 1;
    }
    return count;
  }

  /**
   * Aborts the requests that have not run and have no time left for it.
   *
   * @param now - Current time in milliseconds
   */
  endLate(now: number): void {
    for (const connection of this.connections.values()) {
      for (const { progress, controller } of connection.listUnfinished()) {
        if (!pendingPhases.has(progress.phase) || progress.hasTime(now)) continue;
        controller.abort('stopping');
      }
    }
  }

  /** Aborts all requests, so that they end with what can be said of them. */
  endAll(): void {
    for (const connection of this.connections.values())
      for (const { controller } of connection.listUnfinished()) controller.abort('stopping');
  }

  /** Closes the connections without an unfinished response, in order. */
  closeAll(): void {
    for (const connection of this.connections.values())
      if (connection.unfinishedCount === 0) connection.close();
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
    const status = rejectionStatuses[code] ?? DEFAULT_REJECTION_STATUS;
    connection.close(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
  }
}
