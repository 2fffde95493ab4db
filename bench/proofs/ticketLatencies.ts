import { build } from 'hdr-histogram-js';

const MAX_LATENCY_MS = 600_000;
const MS_PER_S = 1_000;
/** R7: an accepted ticket must be in force on every process within this time. */
const TARGET_MS = 3_000;

interface ObservedNode {
  /** Time from which tickets older than those in force on all nodes count as reverts, milliseconds. */
  checkedFrom: number;
  readonly getTicket: (key: string) => number;
  /** Latest ticket seen in force on this node, by key. */
  readonly highest: Map<string, number>;
  /** Tickets not yet in force on this node, with the start of the wait, by key. */
  readonly waiting: Map<string, { ticket: number; since: number }[]>;
}

/** Figures of a run; times in seconds. */
export interface TicketSummary {
  readonly samples: number;
  readonly p50_s: number;
  readonly p99_s: number;
  readonly max_s: number;
  readonly reverts: number;
  /** Waits that did not end. */
  readonly missing: number;
}

/** Measures on each process the time until a ticket is in force, and counts reverts. */
export class TicketLatencies {
  reverts = 0;
  missing = 0;
  private readonly histogram = build({ highestTrackableValue: MAX_LATENCY_MS });
  private readonly nodes = new Map<string, ObservedNode>();
  private readonly suspended = new Map<string, ObservedNode>();
  /** Lowest ticket in force on all observed nodes, with its time, by key. */
  private readonly floors = new Map<string, { ticket: number; since: number }[]>();
  private readonly countedReverts = new Set<string>();
  /** Newest readable ticket, with the time at which it became readable, by key. */
  private readonly readable = new Map<string, { ticket: number; since: number }>();

  /**
   * Starts to observe a node that has become ready.
   *
   * @param host - Host of the node
   * @param getTicket - Reads the ticket in force for a key
   * @param now - Current time in milliseconds
   */
  addNode(host: string, getTicket: (key: string) => number, now: number): void {
    const waiting = new Map<string, { ticket: number; since: number }[]>();
    const observed: ObservedNode = { getTicket, highest: new Map(), waiting, checkedFrom: now };
    this.nodes.set(host, observed);
    for (const [key, { ticket }] of this.readable) this.addWait(observed, key, ticket, now);
  }

  /**
   * Suspends the observation of a node that is paused or isolated; its observed tickets are kept.
   *
   * @param host - Host of the node
   */
  suspendNode(host: string): void {
    const observed = this.nodes.get(host);
    if (observed === undefined) return;
    this.nodes.delete(host);
    observed.waiting.clear();
    this.suspended.set(host, observed);
  }

  /**
   * Resumes the observation. The node may take the target time to catch up before reverts are counted;
   * its latencies are measured from now.
   *
   * @param host - Host of the node
   * @param now - Current time in milliseconds
   */
  resumeNode(host: string, now: number): void {
    const observed = this.suspended.get(host);
    if (observed === undefined) return;
    this.suspended.delete(host);
    observed.checkedFrom = now + TARGET_MS;
    this.nodes.set(host, observed);
    for (const [key, { ticket }] of this.readable) this.addWait(observed, key, ticket, now);
  }

  /**
   * Counts a revert for each ready node that has an object older than the one that was in force on
   * all observed nodes more than the target time ago, once per node, key and ticket.
   *
   * @param now - Current time in milliseconds
   */
  countReverts(now: number): void {
    for (const key of this.readable.keys()) {
      const floor = this.updateFloor(key, now);
      for (const [host, { getTicket, checkedFrom }] of this.nodes) {
        const name = `${host} ${key} ${floor}`;
        if (now < checkedFrom || getTicket(key) >= floor || this.countedReverts.has(name)) continue;
        this.countedReverts.add(name);
        this.reverts += 1;
      }
    }
  }

  /**
   * Stops the observation of a node; its pending waits are discarded.
   *
   * @param host - Host of the node
   */
  removeNode(host: string): void {
    this.nodes.delete(host);
    this.suspended.delete(host);
  }

  /**
   * Records that a ticket's object can be read from at least one platform replica.
   *
   * @param key - Object key
   * @param ticket - Ticket number
   * @param now - Current time in milliseconds
   */
  addTicket(key: string, ticket: number, now: number): void {
    if ((this.readable.get(key)?.ticket ?? 0) < ticket) {
      this.readable.set(key, { ticket, since: now });
    }
    for (const observed of this.nodes.values()) this.addWait(observed, key, ticket, now);
  }

  /**
   * Records a changed object of a node.
   *
   * @param host - Host of the node
   * @param key - Object key
   * @param now - Current time in milliseconds
   */
  recordChange(host: string, key: string, now: number): void {
    const observed = this.nodes.get(host) ?? this.suspended.get(host);
    if (observed !== undefined) this.recordTicket(observed, key, now);
  }

  /**
   * Summarizes the run; waits that did not end count with their duration so far.
   *
   * @param now - Current time in milliseconds
   * @returns Latencies in seconds and counts
   */
  summarize(now: number): TicketSummary {
    for (const { waiting } of this.nodes.values()) {
      for (const { since } of [...waiting.values()].flat()) {
        this.missing += 1;
        this.recordLatency(now - since);
      }
    }
    return {
      samples: this.histogram.totalCount,
      p50_s: this.histogram.getValueAtPercentile(50) / MS_PER_S,
      p99_s: this.histogram.getValueAtPercentile(99) / MS_PER_S,
      max_s: this.histogram.maxValue / MS_PER_S,
      reverts: this.reverts,
      missing: this.missing,
    };
  }

  /** Returns the ticket that was in force on all observed nodes more than the target time ago. */
  private updateFloor(key: string, now: number): number {
    const floors = this.floors.get(key) ?? [{ ticket: 0, since: 0 }];
    this.floors.set(key, floors);
    const held = [...this.nodes.values()].map(({ getTicket }) => getTicket(key));
    const lowest = held.length === 0 ? 0 : Math.min(...held);
    if (lowest > (floors.at(-1)?.ticket ?? 0)) floors.push({ ticket: lowest, since: now });
    while ((floors[1]?.since ?? Infinity) < now - TARGET_MS) floors.shift();
    return floors[0]?.ticket ?? 0;
  }

  private addWait(observed: ObservedNode, key: string, ticket: number, now: number): void {
    const waiting = observed.waiting.get(key) ?? [];
    waiting.push({ ticket, since: now });
    observed.waiting.set(key, waiting);
    this.recordTicket(observed, key, now);
  }

  private recordTicket(observed: ObservedNode, key: string, now: number): void {
    const ticket = observed.getTicket(key);
    const highest = observed.highest.get(key) ?? 0;
    if (ticket < highest) this.reverts += 1;
    // A revert counts once until the ticket in force changes again.
    observed.highest.set(key, ticket);
    const rest: { ticket: number; since: number }[] = [];
    for (const wait of observed.waiting.get(key) ?? []) {
      if (ticket >= wait.ticket) this.recordLatency(now - wait.since);
      else rest.push(wait);
    }
    if (rest.length === 0) observed.waiting.delete(key);
    else observed.waiting.set(key, rest);
  }

  private recordLatency(durationMs: number): void {
    this.histogram.recordValue(Math.min(Math.max(0, Math.round(durationMs)), MAX_LATENCY_MS));
  }
}
