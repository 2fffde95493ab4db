import type { Result } from 'ts-results-es';
import type { Line } from './lineChoice.js';
import type { Refusal, Reservation, ReservationRequest } from './types.js';

const lineOrder: Record<Line, number> = { first: 0, second: 1 };

/** Place of a request in the order of service. */
export interface Place {
  readonly line: Line;
  readonly request: ReservationRequest;
  /** Position among the requests of the same line and priority; arrival decides between equal ones. */
  readonly start: number;
}

export interface WaitingRequest extends Place {
  line: Line;
  /** Time at which the request is removed. */
  expiresAt: number;
  /** Time at which a request of the first line has missed its target. */
  readonly firstUntil: number;
  readonly queuedAt: number;
  readonly settle: (result: Result<Reservation, Refusal>) => void;
}

/** Waiting requests of a service in their order of service: by line, priority, start tag and arrival. */
export class WaitingLines implements Iterable<WaitingRequest> {
  private readonly entries: WaitingRequest[] = [];

  get length(): number {
    return this.entries.length;
  }

  /** Iterates over a copy, so that entries may be removed meanwhile. */
  [Symbol.iterator](): Iterator<WaitingRequest> {
    return [...this.entries][Symbol.iterator]();
  }

  /**
   * Adds a request at its place.
   *
   * @param entry - Waiting request
   */
  add(entry: WaitingRequest): void {
    this.entries.splice(this.listAhead(entry).length, 0, entry);
  }

  /**
   * Removes a request.
   *
   * @param entry - Waiting request
   * @returns False when it no longer waits
   */
  remove(entry: WaitingRequest): boolean {
    const index = this.entries.indexOf(entry);
    if (index === -1) return false;
    this.entries.splice(index, 1);
    return true;
  }

  /**
   * Moves a request to the second line.
   *
   * @param entry - Request of the first line
   * @param expiresAt - Time at which it is removed from the second line
   */
  defer(entry: WaitingRequest, expiresAt: number): void {
    this.remove(entry);
    entry.line = 'second';
    entry.expiresAt = expiresAt;
    this.add(entry);
  }

  /**
   * Lists the requests that are served before one that joins.
   *
   * @param place - Place of that request
   * @returns Requests in the order of service
   */
  listAhead(place: Place): readonly WaitingRequest[] {
    const position = this.entries.findIndex((other) => comparePlaces(place, other) < 0);
    return position === -1 ? this.entries : this.entries.slice(0, position);
  }

  /**
   * Lists the requests that wait before a waiting one.
   *
   * @param entry - Waiting request
   * @returns Requests in the order of service
   */
  listBefore(entry: WaitingRequest): readonly WaitingRequest[] {
    return this.entries.slice(0, this.entries.indexOf(entry));
  }

  /**
   * Finds the request of a priority that is served next.
   *
   * @param priority - Priority
   * @returns The request, of either line
   */
  findNext(priority: number): WaitingRequest | undefined {
    return this.entries.find(({ request }) => request.priority === priority);
  }

  /**
   * Counts the requests for the `/dump` endpoint.
   *
   * @returns Requests by line and priority
   */
  describe(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { line, request } of this.entries) {
      const key = `${line} line, priority ${request.priority}`;
      counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
  }
}

function comparePlaces(a: Place, b: Place): number {
  return (
    lineOrder[a.line] - lineOrder[b.line] ||
    a.request.priority - b.request.priority ||
    a.start - b.start
  );
}
