import type { Result } from 'ts-results-es';
import type { Refusal, Reservation, ReservationRequest } from './types.js';

/** A request that waits for room. */
export interface WaitingRequest {
  readonly request: ReservationRequest;
  /** Start tag of the fair order; the requests of a workspace share their tags out by the time that they have left. */
  start: number;
  /** Latest time at which it can be sent and still be served. */
  startBy: number;
  readonly queuedAt: number;
  /** Ends the wait. */
  settle: (result: Result<Reservation, Refusal>) => void;
}

/** Waiting requests of a service in their order of service: by priority, fair order and time left. */
export class WaitingRequests implements Iterable<WaitingRequest> {
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
   * @returns Requests that are served before it
   */
  add(entry: WaitingRequest): readonly WaitingRequest[] {
    this.entries.push(entry);
    shareTags(this.listOfWorkspace(entry));
    this.entries.sort(comparePlaces);
    return this.listBefore(entry);
  }

  /**
   * Counts the requests that are served before the last one of a workspace.
   *
   * @param priority - Priority
   * @param start - Start tag of the last one
   */
  countAhead(priority: number, start: number): number {
    let count = 0;
    for (const { request, start: other } of this.entries)
      if (request.priority < priority || (request.priority === priority && other <= start))
        count += 1;
    return count;
  }

  /**
   * Removes a request that is served, and that has used its tag.
   *
   * @param entry - Waiting request
   */
  take(entry: WaitingRequest): void {
    const index = this.entries.indexOf(entry);
    if (index !== -1) this.entries.splice(index, 1);
  }

  /**
   * Removes a request that is not served. The later ones of its workspace move up.
   *
   * @param entry - Waiting request
   * @returns False when it no longer waits
   */
  withdraw(entry: WaitingRequest): boolean {
    if (!this.entries.includes(entry)) return false;
    const own = this.listOfWorkspace(entry);
    const tags = own.map(({ start }) => start).sort((a, b) => a - b);
    this.take(entry);
    let index = 0;
    for (const other of own) {
      if (other === entry) continue;
      other.start = tags[index] ?? other.start;
      index += 1;
    }
    this.entries.sort(comparePlaces);
    return true;
  }

  /**
   * Lists the requests that are served before a waiting one.
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
   * @returns The request
   */
  findNext(priority: number): WaitingRequest | undefined {
    return this.entries.find(({ request }) => request.priority === priority);
  }

  /**
   * Counts the requests for the `/dump` endpoint.
   *
   * @returns Requests by priority
   */
  describe(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { request } of this.entries) {
      const key = `priority ${request.priority}`;
      counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
  }

  /** Requests that share their tags with a request, the one with the least time left first. */
  private listOfWorkspace({ request }: WaitingRequest): WaitingRequest[] {
    return this.entries
      .filter(
        (other) =>
          other.request.workspace === request.workspace &&
          other.request.priority === request.priority,
      )
      .sort(compareTimeLeft);
  }
}

function shareTags(entries: readonly WaitingRequest[]): void {
  const tags = entries.map(({ start }) => start).sort((a, b) => a - b);
  for (const [index, entry] of entries.entries()) entry.start = tags[index] ?? entry.start;
}

function comparePlaces(a: WaitingRequest, b: WaitingRequest): number {
  return a.request.priority - b.request.priority || a.start - b.start || compareTimeLeft(a, b);
}

function compareTimeLeft(a: WaitingRequest, b: WaitingRequest): number {
  return a.startBy - b.startBy || a.request.arrivedAt - b.request.arrivedAt;
}
