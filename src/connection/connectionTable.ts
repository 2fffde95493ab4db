import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { Server as NetServer } from 'node:net';
import { getRequestReader } from './boundedServer.js';
import { CallerConnection } from './callerConnection.js';
import type { Exchange } from './responseClose.js';
import { observeClose } from './responseClose.js';

/** How far a request has come: its body is being read, it is in work, or its response is being written. */
export type ExchangeStage = 'reading' | 'working' | 'delivering';

export interface ConnectionTableOptions<Kind extends Exchange> {
  /** Bounded server that accepts the connections. */
  readonly server: Server;
  readonly maxConnections: number;
  /** Current time in milliseconds. */
  readonly readClock: () => number;
  /** Formats the response to bytes that are no request, by the code of the parser. */
  readonly formatRejection: (code: string) => string;
  readonly getStage: (exchange: Kind) => ExchangeStage;
  /** Called for each connection that is closed because there are too many. */
  readonly onEvict: (use: ConnectionUse) => void;
}

/** What a connection is used for, in the order in which connections are closed when there are too many. */
const connectionUses = ['closing', 'unused', 'idle', 'delivering', 'working'] as const;

export type ConnectionUse = (typeof connectionUses)[number];

/** Connections of the callers of a server, with their exchanges whose response is not yet handed to the operating system. */
export class ConnectionTable<Kind extends Exchange> {
  protected readonly connections = new Map<Socket, CallerConnection<Kind>>();
  private accepted = 0;

  constructor(private readonly options: ConnectionTableOptions<Kind>) {
    const { server, readClock } = options;
    server.on('connection', (socket: Socket) => {
      this.accepted += 1;
      const reader = getRequestReader(socket);
      this.connections.set(socket, new CallerConnection(socket, readClock(), reader));
      socket.once('close', () => this.connections.delete(socket));
      if (this.connections.size > options.maxConnections) this.closeLeastUsed();
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
   * Counts the connections by their use.
   *
   * @returns Number of connections of each use that occurs
   */
  describeUses(): Partial<Record<ConnectionUse, number>> {
    const counts: Partial<Record<ConnectionUse, number>> = {};
    for (const connection of this.connections.values()) {
      const use = this.findUse(connection);
      counts[use] = (counts[use] ?? 0) + 1;
    }
    return counts;
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

  /** Closes the connection that serves its caller least, and among those the one that has done so for longest. */
  private closeLeastUsed(): void {
    let victim: Socket | undefined;
    let least = Infinity;
    let since = Infinity;
    for (const [socket, connection] of this.connections) {
      const rank = connectionUses.indexOf(this.findUse(connection));
      if (rank > least || (rank === least && connection.usedAt >= since)) continue;
      victim = socket;
      least = rank;
      since = connection.usedAt;
    }
    this.options.onEvict(connectionUses[least] ?? 'working');
    victim?.destroy();
  }

  private findUse(connection: CallerConnection<Kind>): ConnectionUse {
    if (connection.hasClosed) return 'closing';
    const unused = connection.hasServed ? 'idle' : 'unused';
    let use: ConnectionUse = unused;
    for (const exchange of connection.listUnfinished()) {
      const stage = this.options.getStage(exchange);
      if (stage === 'working') return 'working';
      if (stage === 'delivering') use = 'delivering';
    }
    return use;
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
