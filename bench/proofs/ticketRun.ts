import { monitorEventLoopDelay } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import seedrandom from 'seedrandom';
import { formatTicketKey } from '../../src/version/ticket/ticketSchema.js';
import type { PlatformStandIn } from '../../test/standins/platform.js';
import { startPlatform } from '../../test/standins/platform.js';
import type { FleetNode, StartFleetNode } from './ticketFleet.js';
import type { FaultTarget, PlannedFault } from './ticketFaults.js';
import { PAUSE_MS, plannedFaults } from './ticketFaults.js';
import type { TicketSummary } from './ticketLatencies.js';
import { TicketLatencies } from './ticketLatencies.js';

const DEFAULT_DURATION_MS = 40_000;
const SETTLE_MS = 5_000;
const TICK_MS = 50;
const TICKET_INTERVAL_MS = 250;
const OUT_OF_ORDER_FRACTION = 0.25;
const OUT_OF_ORDER_DELAY_MS = 100;
const KILL_INTERVAL_MS = 4_000;
const RESTART_DELAY_MS = 1_500;
/** Delay until the platform's list of hosts reflects a change. */
const HOST_LIST_DELAY_MS = 8_000;
const WORKSPACES = 40;
const SEEDS = 5;
const PARALLEL_STARTS = 8;
const PAUSE_INTERVAL_MS = 6_000;
/** Nodes that read this replica are isolated during a partition. */
const ISOLATED_REPLICA = 1;
const NANOSECONDS_PER_MS = 1_000_000;
const ZONES = ['ikeja', 'apapa', 'lekki', 'champlain', 'connecticut', 'berkshire', 'hudson'];

export interface TicketProofOptions {
  readonly seed: number;
  /** Number of nodes, each with its own store and loopback links. */
  readonly processes: number;
  readonly durationMs?: number;
  /** Time after the last ticket until unfinished waits count as missing. */
  readonly settleMs?: number;
}

/** Figures of one fleet. */
export type FleetSummary = TicketSummary & Readonly<Record<string, number>>;

/**
 * Publishes tickets to one fleet under the planned faults.
 *
 * @param options - Seed, nodes and length of the run
 * @param startNode - Starts one node
 * @returns Seconds until tickets were in force, reverts and platform calls
 */
export async function runFleet(
  options: TicketProofOptions,
  startNode: StartFleetNode,
): Promise<FleetSummary> {
  return new FleetRun(options, startNode).run();
}

class FleetRun implements FaultTarget {
  private readonly random: seedrandom.PRNG;
  private readonly durationMs: number;
  private readonly latencies = new TicketLatencies();
  readonly replicas: PlatformStandIn[] = [];
  private readonly nodes = new Map<number, FleetNode>();
  private readonly ports: number[] = [];
  private readonly starts: number[] = [];
  /** Index of the platform replica that each node reads. */
  private readonly replicaByNode: number[] = [];
  private readonly broken = new Set<number>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly unreadable: { key: string; ticket: number }[] = [];
  private nextTicket = 1;
  private kills = 0;
  private pauses = 0;
  private partitioned = false;
  private readonly paused = new Set<FleetNode>();
  private ended = false;

  constructor(
    private readonly options: TicketProofOptions,
    private readonly startNode: StartFleetNode,
  ) {
    this.random = seedrandom(`tickets ${options.seed}`);
    this.durationMs = options.durationMs ?? DEFAULT_DURATION_MS;
  }

  /** Runs the schedule and closes all nodes and replicas at the end. */
  async run(): Promise<FleetSummary> {
    this.replicas.push(await startPlatform(), await startPlatform());
    this.publishTicket(this.nextTicket++);
    const indexes = Array.from({ length: this.options.processes }, (_, index) => index);
    for (let from = 0; from < indexes.length; from += PARALLEL_STARTS) {
      const chunk = indexes.slice(from, from + PARALLEL_STARTS);
      await Promise.all(
        chunk.map((index) => this.startFleetNode(index, index % this.replicas.length)),
      );
    }
    this.publishHosts();
    await this.waitUntilReady();
    const callsBefore = this.countCalls();
    const startedAt = Date.now();
    // The event loop delay of this process shows how much the observer adds to the measured times.
    const loopDelay = monitorEventLoopDelay();
    loopDelay.enable();
    await this.runSchedule(startedAt);
    loopDelay.disable();
    const loop_p99_ms = Math.round(loopDelay.percentile(99) / NANOSECONDS_PER_MS);
    const now = Date.now();
    const perSecond = (this.countCalls() - callsBefore) / ((now - startedAt) / 1000);
    const summary = this.latencies.summarize(now);
    this.ended = true;
    for (const timer of this.timers) clearTimeout(timer);
    for (const node of this.nodes.values()) node.close();
    for (const replica of this.replicas) await replica.close();
    const tickets = this.nextTicket - 1;
    const rounded = Math.round(perSecond * 10) / 10;
    const { kills, pauses } = this;
    return { ...summary, tickets, kills, pauses, platform_calls_per_s: rounded, loop_p99_ms };
  }

  private async runSchedule(startedAt: number): Promise<void> {
    let nextTicketAt = 0;
    let nextKillAt = KILL_INTERVAL_MS;
    let nextPauseAt = PAUSE_INTERVAL_MS;
    const active = new Set<PlannedFault>();
    for (;;) {
      const elapsed = Date.now() - startedAt;
      if (elapsed >= this.durationMs + (this.options.settleMs ?? SETTLE_MS)) return;
      this.applyFaults(elapsed / this.durationMs, active);
      if (elapsed < this.durationMs && elapsed >= nextTicketAt) {
        nextTicketAt += TICKET_INTERVAL_MS;
        this.publishNext();
      }
      if (elapsed < this.durationMs && elapsed >= nextKillAt) {
        nextKillAt += KILL_INTERVAL_MS;
        this.killReader();
      }
      if (elapsed < this.durationMs && elapsed >= nextPauseAt) {
        nextPauseAt += PAUSE_INTERVAL_MS;
        this.pauseReader(PAUSE_MS);
      }
      this.latencies.countReverts(Date.now());
      await sleep(TICK_MS);
    }
  }

  private applyFaults(progress: number, active: Set<PlannedFault>): void {
    for (const fault of plannedFaults) {
      const isDue = progress >= fault.from && progress < fault.to;
      if (isDue === active.has(fault)) continue;
      if (isDue) {
        active.add(fault);
        fault.begin(this);
      } else {
        active.delete(fault);
        fault.end(this);
      }
    }
    if (this.broken.size === this.replicas.length) return;
    for (const { key, ticket } of this.unreadable.splice(0)) {
      this.latencies.addTicket(key, ticket, Date.now());
    }
  }

  get newestTicket(): number {
    return this.nextTicket - 1;
  }

  setBroken(replica: number, broken: boolean): void {
    if (broken) this.broken.add(replica);
    else this.broken.delete(replica);
  }

  /** Publishes the next ticket; some pairs are out of order, as when two operators publish concurrently. */
  private publishNext(): void {
    const ticket = this.nextTicket++;
    if (this.random() >= OUT_OF_ORDER_FRACTION) {
      this.publishTicket(ticket);
      return;
    }
    const workspace = this.pickWorkspace();
    this.publishTicket(this.nextTicket++, workspace);
    this.schedule(OUT_OF_ORDER_DELAY_MS, () => {
      this.publishTicket(ticket, this.random() < 0.5 ? workspace : this.pickWorkspace());
    });
  }

  private publishTicket(ticket: number, workspace = this.pickWorkspace()): void {
    const state = { tokenHashes: [], shares: {}, maxQueued: ticket };
    const value = { ticket, objects: [{ kind: 'workspace', id: workspace, state }] };
    for (const replica of this.replicas) replica.putValue(formatTicketKey(ticket), value);
    const key = `workspace/${workspace}`;
    if (this.broken.size < this.replicas.length) this.latencies.addTicket(key, ticket, Date.now());
    else this.unreadable.push({ key, ticket });
  }

  private pickWorkspace(): string {
    return `workspace-${Math.floor(this.random() * WORKSPACES)}`;
  }

  killReader(): void {
    const index = this.pickReader();
    if (index !== undefined) this.killNode(index);
  }

  killNodes(fraction: number, replica: number): void {
    const count = Math.max(1, Math.floor(fraction * this.nodes.size));
    for (let killed = 0; killed < count; killed += 1) {
      const indexes = [...this.nodes.keys()];
      const index = indexes[Math.floor(this.random() * indexes.length)];
      if (index !== undefined) this.killNode(index, replica);
    }
  }

  pauseReader(durationMs: number): void {
    const index = this.pickReader();
    const node = index === undefined ? undefined : this.nodes.get(index);
    if (index === undefined || node?.setPaused === undefined) return;
    this.pauses += 1;
    this.latencies.suspendNode(node.host);
    node.setPaused(true);
    this.paused.add(node);
    this.schedule(durationMs, () => {
      this.paused.delete(node);
      if (this.nodes.get(index) !== node) return;
      node.setPaused?.(false);
      if (!this.isIsolated(index)) this.latencies.resumeNode(node.host, Date.now());
    });
  }

  setPartitioned(partitioned: boolean): void {
    this.partitioned = partitioned;
    for (const [index, node] of this.nodes) {
      this.applyPartition(index, node);
      if (this.replicaByNode[index] !== ISOLATED_REPLICA) continue;
      if (partitioned) this.latencies.suspendNode(node.host);
      else if (!this.paused.has(node)) this.latencies.resumeNode(node.host, Date.now());
    }
  }

  private isIsolated(index: number): boolean {
    return this.partitioned && this.replicaByNode[index] === ISOLATED_REPLICA;
  }

  private applyPartition(index: number, node: FleetNode): void {
    const isolatedHosts: string[] = [];
    for (const [other, replica] of this.replicaByNode.entries()) {
      if (this.partitioned && replica !== this.replicaByNode[index])
        isolatedHosts.push(`entry-${other}`);
    }
    node.setIsolatedHosts(isolatedHosts);
  }

  private pickReader(): number | undefined {
    const readers = [...this.nodes].filter(
      ([, node]) => node.isReady() && node.isReader() && !this.paused.has(node),
    );
    return readers[Math.floor(this.random() * readers.length)]?.[0];
  }

  private killNode(index: number, replica?: number): void {
    const node = this.nodes.get(index);
    if (node === undefined) return;
    this.kills += 1;
    this.latencies.removeNode(node.host);
    this.nodes.delete(index);
    node.close();
    // Outside a partition, a restarted node reads the other replica by default, as behind a load balancer.
    const other = this.partitioned
      ? this.replicaByNode[index]
      : 1 - (this.replicaByNode[index] ?? 0);
    this.schedule(RESTART_DELAY_MS, () => void this.startFleetNode(index, replica ?? other ?? 0));
    this.schedule(HOST_LIST_DELAY_MS, () => {
      this.publishHosts();
    });
  }

  private async startFleetNode(index: number, replica: number): Promise<void> {
    const starts = (this.starts[index] ?? 0) + 1;
    this.starts[index] = starts;
    this.replicaByNode[index] = replica;
    const host = `entry-${index}`;
    const node = await this.startNode({
      host,
      availabilityZone: ZONES[index % ZONES.length] ?? '',
      port: this.ports[index] ?? 0,
      platformUrl: this.replicas[replica]?.url ?? '',
      seeds: this.ports.slice(0, SEEDS).map((port) => `127.0.0.1:${port}`),
      random: seedrandom(`node ${this.options.seed} ${index} ${starts}`),
      onChange: (key, now) => {
        this.latencies.recordChange(host, key, now);
      },
    });
    if (this.ended) {
      node.close();
      return;
    }
    this.ports[index] = node.port;
    this.nodes.set(index, node);
    this.applyPartition(index, node);
    this.observeWhenReady(index, node);
  }

  private observeWhenReady(index: number, node: FleetNode): void {
    if (this.nodes.get(index) !== node) return;
    if (node.isReady()) {
      this.latencies.addNode(node.host, (key) => node.getTicket(key), Date.now());
      if (this.isIsolated(index)) this.latencies.suspendNode(node.host);
      return;
    }
    this.schedule(TICK_MS, () => {
      this.observeWhenReady(index, node);
    });
  }

  private publishHosts(): void {
    const hosts = [...this.nodes].map(([index, node]) => ({
      host: node.host,
      availabilityZone: ZONES[index % ZONES.length] ?? '',
      state: 'live' as const,
      role: 'entry' as const,
      address: `127.0.0.1:${node.port}`,
    }));
    for (const replica of this.replicas) replica.putHosts(hosts);
  }

  private async waitUntilReady(): Promise<void> {
    const until = Date.now() + this.durationMs;
    while (Date.now() < until && [...this.nodes.values()].some((node) => !node.isReady())) {
      await sleep(TICK_MS);
    }
  }

  private countCalls(): number {
    return this.replicas.reduce((sum, replica) => sum + replica.calls.total, 0);
  }

  private schedule(delayMs: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, delayMs);
    this.timers.add(timer);
  }
}
