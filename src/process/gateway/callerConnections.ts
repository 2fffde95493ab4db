import type { ConnectionTableOptions, ExchangeStage } from '../../connection/connectionTable.js';
import { ConnectionTable } from '../../connection/connectionTable.js';
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

const stages: Readonly<Record<RequestPhase, ExchangeStage>> = {
  reading: 'reading',
  waiting: 'working',
  sent: 'working',
  responding: 'working',
  delivering: 'delivering',
};

type CallerOptions = Omit<
  ConnectionTableOptions<CallerExchange>,
  'formatRejection' | 'getStage' | 'readClock'
>;

/** Tracks the connections of callers of a gateway, and what a stop does with their requests. */
export class CallerConnections extends ConnectionTable<CallerExchange> {
  /**
   * @param options - Server and bound on its connections
   * @param readClock - Current time in milliseconds
   */
  constructor(options: CallerOptions, readClock: () => number) {
    super({
      ...options,
      readClock,
      getStage: ({ progress }) => stages[progress.phase],
      formatRejection: (code) => {
        const status = rejectionStatuses[code] ?? DEFAULT_REJECTION_STATUS;
        return `HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`;
      },
    });
  }

  /** Lists what is known of the requests whose response is not yet handed to the operating system. */
  listUnfinished(): RequestProgress[] {
    const listed: RequestProgress[] = [];
    for (const connection of this.connections.values())
      for (const { progress } of connection.listUnfinished()) listed.push(progress);
    return listed;
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
}
