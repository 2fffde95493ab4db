import type { LogFields } from '../process/logging.js';

/** Interval of the log lines of one kind of fault; faults between them are only counted. */
const LOG_INTERVAL_MS = 1_000;

/** What the other end of a connection has violated. */
export type ConnectionFault = 'idle_bytes' | 'link_flooded' | 'link_unread' | 'link_protocol_error';

/** Writes a line about a fault, as the `warn` of a logger does. */
export type FaultLog = (fields: LogFields, message: string) => void;

/** Counts faults of connections by kind, and logs some of them. */
export class ConnectionFaults {
  private readonly counts = new Map<ConnectionFault, number>();
  private readonly loggedAt = new Map<ConnectionFault, number>();
  private readonly loggedCounts = new Map<ConnectionFault, number>();
  private log: FaultLog | undefined;

  /**
   * Sets where faults are logged.
   *
   * @param log - Called at most once a second for each kind
   */
  configure(log: FaultLog): void {
    this.log = log;
  }

  /**
   * Records a fault.
   *
   * @param fault - Kind of fault
   * @param fields - Address and figures for the log
   * @param now - Current time in milliseconds
   */
  record(fault: ConnectionFault, fields: LogFields, now: number): void {
    const count = (this.counts.get(fault) ?? 0) + 1;
    this.counts.set(fault, count);
    if (now - (this.loggedAt.get(fault) ?? -Infinity) < LOG_INTERVAL_MS) return;
    const unlogged = count - (this.loggedCounts.get(fault) ?? 0) - 1;
    this.loggedAt.set(fault, now);
    this.loggedCounts.set(fault, count);
    this.log?.({ ...fields, fault, unlogged }, 'connection broken by its other end');
  }

  /** Lists the number of faults by kind. */
  listCounts(): [fault: ConnectionFault, count: number][] {
    return [...this.counts];
  }
}

/** Faults of all connections of this process. */
export const connectionFaults = new ConnectionFaults();
