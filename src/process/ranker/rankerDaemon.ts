import type { Server } from 'node:http';
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { maintainLink, parseAddress } from '../../connection/linkClient.js';
import { LinkServer } from '../../connection/linkServer.js';
import type { Hello, PeerLink } from '../../connection/peerLink.js';
import { defaults } from '../../defaults.js';
import type { MessageOf } from '../../protocol/messages.js';
import type { ConfigurationSource } from '../gateway/types.js';
import type { Logger } from '../logging.js';
import { Metrics } from '../metrics.js';
import { startMetricsServer } from '../metricsServer.js';
import type { RankerSettings } from '../settings/rankerSettings.js';
import { coordinateGroup } from './coordinator.js';
import { GroupView } from './groupView.js';
import type {
  GroupLayout,
  OrderOutcome,
  RankCounts,
  RankEngine,
  RankOrder,
  RankReport,
} from './types.js';

/** Choices are read this often; a change of demand lasts 3 to 4 s. Each read costs about half a millisecond. */
const POLL_INTERVAL_MS = 140;
/** State that changes by orders is read after them; in between it shows only that the rank lives. */
const REPORT_INTERVAL_MS = 420;
/** The end of a copy, and at the coordinator the switch, decide how long a change takes. */
const BUSY_POLL_INTERVAL_MS = 20;
/** Copies of one change take less than this. */
const BUSY_AFTER_PREPARE_MS = 1_500;
/** Reports are read anew for this long after an order, so that the switch shows. */
const FRESH_AFTER_ORDER_MS = 700;
/** A released group takes the next pass within this time unless it is idle. */
const BUSY_AFTER_RELEASE_MS = 250;
/** The fleet and the layout change rarely; two coordinators read them. */
const FLEET_INTERVAL_MS = 4_000;
const FIRST_FLEET_INTERVAL_MS = 300;
/** An order over a link takes two ways and one call to the engine. */
const ORDER_TIMEOUT_MS = 100;

/** How long the own rank is read often after an order. */
const busyAfterMs: Readonly<Record<RankOrder['kind'], number>> = {
  prepare: BUSY_AFTER_PREPARE_MS,
  arm: 0,
  disarm: BUSY_AFTER_RELEASE_MS,
  hold: 0,
  release: BUSY_AFTER_RELEASE_MS,
};

export interface RankerDependencies {
  readonly engine: RankEngine;
  readonly source: ConfigurationSource;
  readonly logger: Logger;
}

/** The process beside one rank of a group: reports its state, carries out orders, and coordinates beside rank 0. */
export class RankerDaemon {
  readonly metrics = new Metrics();
  private readonly stopping = new AbortController();
  private readonly server: LinkServer;
  private readonly incarnation = randomUUID();
  private readonly coordinatorLinks = new Set<PeerLink>();
  private readonly linkedAddresses = new Map<string, AbortController>();
  private readonly calls = new Map<number, (outcome: OrderOutcome) => void>();
  private metricsServer: Server | undefined;
  private nextCall = 1;
  private busyUntil = -Infinity;
  private freshUntil = -Infinity;
  /** Version whose copies are awaited. */
  private preparing: number | undefined;
  private lastCounts: RankCounts | undefined;
  private sentMap: string | undefined;
  private view: GroupView | undefined;
  private layout: GroupLayout | undefined;
  private wakePoll: () => void = () => undefined;

  constructor(
    private readonly settings: RankerSettings,
    private readonly dependencies: RankerDependencies,
  ) {
    const { host, port } = parseAddress(settings.linkAddress);
    this.server = new LinkServer({
      host,
      port,
      self: () => this.describeSelf(),
      handlers: {
        rankOrder: (message, link) => {
          void this.carryOut(message, link);
        },
      },
      onLink: (link) => {
        this.addCoordinator(link);
      },
    });
  }

  /** Opens the port and starts to report. */
  async start(): Promise<void> {
    await this.server.listen();
    this.metricsServer = startMetricsServer({
      host: parseAddress(this.settings.linkAddress).host,
      port: this.settings.metricsPort,
      metrics: this.metrics,
      dump: () => this.dump(),
    });
    void this.maintainReports();
    this.dependencies.logger.info({ incarnation: this.incarnation }, 'ranker started');
  }

  /** Stops at once; a held pass is released by the coordinator that starts again. */
  stop(): void {
    this.stopping.abort();
    this.server.close();
    this.metricsServer?.close();
    this.dependencies.source.close();
    this.dependencies.logger.info({}, 'ranker stopped');
  }

  /**
   * Describes the state.
   *
   * @returns Links, and at the coordinator the ranks of the group
   */
  dump(): unknown {
    return {
      process: this.settings.processId,
      incarnation: this.incarnation,
      coordinators: this.coordinatorLinks.size,
      group: this.view?.group,
      ranks: [...(this.view?.seats.values() ?? [])].map(({ report }) => report),
    };
  }

  /** Reads the own rank again and again and tells the coordinator. */
  private async maintainReports(): Promise<void> {
    const { engine } = this.dependencies;
    let countedAt = -Infinity;
    let isReachable = true;
    let last: RankReport | undefined;
    let reportedAt = -Infinity;
    while (!this.stopping.signal.aborted) {
      const now = performance.now();
      const mayKeep = last !== undefined && last.rank !== 0 && now >= this.freshUntil;
      if (mayKeep && last !== undefined && now - reportedAt < REPORT_INTERVAL_MS) {
        countedAt = now;
        await this.publish(last, true);
        await this.waitForPoll(performance.now());
        continue;
      }
      const read = await engine.readReport();
      last = read.isOk() ? read.value : undefined;
      reportedAt = now;
      if (read.isErr()) {
        if (isReachable) this.dependencies.logger.warn({ code: read.error }, 'lost the engine');
        isReachable = false;
      } else {
        if (!isReachable) this.dependencies.logger.info({}, 'regained the engine');
        isReachable = true;
        if (this.preparing !== undefined && read.value.prepared === this.preparing) {
          this.preparing = undefined;
          this.busyUntil = now;
        }
        const wantsCounts = now - countedAt >= POLL_INTERVAL_MS;
        if (wantsCounts) countedAt = now;
        await this.publish(read.value, wantsCounts);
      }
      await this.waitForPoll(performance.now());
    }
  }

  private async publish(report: RankReport, wantsCounts: boolean): Promise<void> {
    if (report.rank === 0) this.startCoordinating(report);
    const isCoordinator = this.view !== undefined && report.rank === 0;
    if (!isCoordinator && this.coordinatorLinks.size === 0) return;
    const choices = wantsCounts ? await this.readChoices(report) : [];
    const experts = await this.readChangedExperts(report);
    const status = { report, choices, ...(experts === undefined ? {} : { experts }) };
    if (isCoordinator) {
      const sendOrder = (order: RankOrder, epoch: number): Promise<OrderOutcome> =>
        this.sendOwnOrder(order, epoch);
      this.view?.applyStatus(status, sendOrder, this.layout, performance.now());
      return;
    }
    for (const link of this.coordinatorLinks) link.send({ type: 'rankStatus', ...status });
  }

  /** Choices since the last read; after a restart of the rank they count from zero. */
  private async readChoices(report: RankReport): Promise<number[]> {
    const read = await this.dependencies.engine.readCounts();
    if (read.isErr()) return [];
    const before = this.lastCounts;
    this.lastCounts = read.value;
    if (before?.epoch !== report.epoch) return [];
    const choices: number[] = [];
    for (const [index, value] of read.value.counts.entries()) {
      const difference = value - (before.counts[index] ?? 0);
      if (difference < 0) return [];
      choices.push(difference);
    }
    return choices;
  }

  private async readChangedExperts(report: RankReport): Promise<number[][] | undefined> {
    const key = `${report.epoch}/${report.map}`;
    if (this.sentMap === key) return undefined;
    const read = await this.dependencies.engine.readHeld();
    if (read.isErr() || read.value.epoch !== report.epoch || read.value.map !== report.map) {
      return undefined;
    }
    this.sentMap = key;
    return read.value.experts.map((experts) => [...experts]);
  }

  private async carryOut(message: MessageOf<'rankOrder'>, link: PeerLink): Promise<void> {
    const outcome = await this.sendOwnOrder(message.order, message.epoch);
    link.send({ type: 'rankOrderReply', call: message.call, outcome });
  }

  private async sendOwnOrder(order: RankOrder, epoch: number): Promise<OrderOutcome> {
    const outcome = await this.dependencies.engine.sendOrder(order, epoch);
    this.metrics.addCount(`order_${order.kind}_${outcome}`);
    this.busyUntil = performance.now() + busyAfterMs[order.kind];
    this.freshUntil = performance.now() + FRESH_AFTER_ORDER_MS;
    this.preparing = order.kind === 'prepare' ? order.version : undefined;
    if (outcome === 'unknown' || outcome === 'refused') {
      this.dependencies.logger.warn({ order: order.kind, epoch, outcome }, 'order not carried out');
    }
    if (this.busyUntil > performance.now()) this.wakePoll();
    return outcome;
  }

  private addCoordinator(link: PeerLink): void {
    this.coordinatorLinks.add(link);
    this.sentMap = undefined;
    link.onClose(() => {
      this.coordinatorLinks.delete(link);
    });
  }

  private startCoordinating(report: RankReport): void {
    if (this.view?.group === report.group) return;
    const { logger } = this.dependencies;
    logger.info({ group: report.group, size: report.size }, 'coordinating the group');
    this.view = new GroupView(report.group, report.size);
    void this.maintainFleet();
    void coordinateGroup({
      view: this.view,
      logger,
      metrics: this.metrics,
      signal: this.stopping.signal,
      readNow: () => performance.now(),
      readWallClock: () => Date.now(),
      getLayout: () => this.layout,
    });
  }

  /** Links to the rankers of the group and learns the layout of its experts. */
  private async maintainFleet(): Promise<void> {
    const { source, logger } = this.dependencies;
    let revision: number | undefined;
    while (!this.stopping.signal.aborted) {
      const configuration = await source.readConfiguration(revision);
      if (configuration.isOk()) {
        revision = configuration.value.revision;
        const service = [...(configuration.value.configuration?.services.values() ?? [])].find(
          ({ id }) => id === this.settings.service,
        );
        const experts = service?.engine?.experts;
        if (experts !== undefined) {
          this.layout = {
            layers: experts.sets,
            expertsPerLayer: experts.expertsPerSet,
            placesPerRank: experts.slotsPerRank,
            sparePerLayer: experts.maxLoadsPerChange,
          };
        }
      }
      const listing = await source.readUpstreams();
      if (listing.isErr()) {
        logger.debug({ code: listing.error.code }, 'upstream list not read');
      } else {
        for (const upstream of listing.value.upstreams) {
          if (upstream.service === this.settings.service) this.connect(upstream.address);
        }
      }
      const isKnown = this.layout !== undefined && listing.isOk();
      const pause = isKnown ? FLEET_INTERVAL_MS : FIRST_FLEET_INTERVAL_MS;
      await sleep(pause, undefined, { signal: this.stopping.signal }).catch(() => undefined);
    }
  }

  private connect(engineAddress: string): void {
    const { host } = parseAddress(engineAddress);
    const own = parseAddress(this.settings.linkAddress);
    const address = `${host}:${own.port}`;
    if (host === own.host || this.linkedAddresses.has(address)) return;
    const controller = new AbortController();
    this.linkedAddresses.set(address, controller);
    let seat: number | undefined;
    void maintainLink({
      address,
      self: () => this.describeSelf(),
      signal: AbortSignal.any([controller.signal, this.stopping.signal]),
      handlers: {
        rankStatus: (message, link) => {
          if (message.report.group !== this.view?.group) {
            controller.abort();
            return;
          }
          seat = message.report.rank;
          this.applyStatus(message, link);
        },
        rankOrderReply: (message) => {
          this.calls.get(message.call)?.(message.outcome);
        },
      },
      onLink: () => undefined,
      onDown: (reason) => {
        if (seat === undefined) return;
        this.view?.removeSeat(seat);
        this.dependencies.logger.warn({ rank: seat, reason }, 'lost the ranker of a rank');
        seat = undefined;
      },
    });
  }

  private applyStatus(message: MessageOf<'rankStatus'>, link: PeerLink): void {
    const { report } = message;
    const status = {
      ...message,
      report: {
        ...report,
        prepared: report.prepared,
        armed: report.armed,
        held: report.held,
      },
    };
    const sendOrder = (order: RankOrder, epoch: number): Promise<OrderOutcome> =>
      this.sendOrderOver(link, order, epoch);
    this.view?.applyStatus(status, sendOrder, this.layout, performance.now());
  }

  private sendOrderOver(link: PeerLink, order: RankOrder, epoch: number): Promise<OrderOutcome> {
    const call = this.nextCall;
    this.nextCall += 1;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.calls.get(call)?.('unknown');
      }, ORDER_TIMEOUT_MS);
      this.calls.set(call, (outcome) => {
        clearTimeout(timer);
        this.calls.delete(call);
        resolve(outcome);
      });
      const copy = structuredClone(order) as MessageOf<'rankOrder'>['order'];
      link.send({ type: 'rankOrder', call, epoch, order: copy });
    });
  }

  private waitForPoll(now: number): Promise<void> {
    const pause = now < this.busyUntil ? BUSY_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, pause);
      this.wakePoll = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  private describeSelf(): Hello {
    return {
      type: 'hello',
      version: defaults.protocolVersion,
      role: 'ranker',
      processId: this.settings.processId,
      incarnation: this.incarnation,
      host: this.settings.linkAddress,
      availabilityZone: this.settings.availabilityZone,
      upstreams: [],
    };
  }
}
