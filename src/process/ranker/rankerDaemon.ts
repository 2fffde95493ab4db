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
import { computeCopyMs } from './changeCosts.js';
import { coordinateGroup } from './coordinator.js';
import { GroupView } from './groupView.js';
import type {
  ExpertLayout,
  OrderOutcome,
  SelectionCounts,
  RankEngine,
  RankOrder,
  RankReport,
} from './types.js';

/** Interval of selection count reads; demand shifts every 3 to 4 s, and each read costs about 0.5 ms. */
const POLL_INTERVAL_MS = 140;
/** Interval of report reads without recent orders, while a report only shows that the rank is alive. */
const REPORT_INTERVAL_MS = 420;
/** Used while a copy or, at the coordinator, a switch is pending: detecting its end promptly shortens the change. */
const FAST_POLL_INTERVAL_MS = 20;
/** Upper bound on the copy time of one change. */
const FAST_POLL_AFTER_PREPARE_MS = 1_500;
/** Reports are read on every poll for this long after an order, so that the switch is seen. */
const UNCACHED_AFTER_ORDER_MS = 700;
/** A released group begins the next pass within this time unless it is idle. */
const FAST_POLL_AFTER_RELEASE_MS = 250;
/** The upstream list and the expert layout change rarely; two coordinators read them. */
const REFRESH_INTERVAL_MS = 4_000;
const INITIAL_REFRESH_INTERVAL_MS = 300;
/** Covers a link round trip and one call to the engine. */
const ORDER_TIMEOUT_MS = 100;

/** How long the local rank is polled at the fast interval after an order. */
const fastPollAfterMs: Readonly<Record<RankOrder['kind'], number>> = {
  prepare: FAST_POLL_AFTER_PREPARE_MS,
  arm: 0,
  disarm: FAST_POLL_AFTER_RELEASE_MS,
  hold: 0,
  release: FAST_POLL_AFTER_RELEASE_MS,
};

export interface RankerDependencies {
  readonly engine: RankEngine;
  readonly source: ConfigurationSource;
  readonly logger: Logger;
}

/** Process next to one rank of a group: reports its state, executes orders and, for rank 0, coordinates the group. */
export class RankerDaemon {
  readonly metrics = new Metrics();
  private readonly stopController = new AbortController();
  private readonly server: LinkServer;
  private readonly incarnation = randomUUID();
  private readonly coordinatorLinks = new Set<PeerLink>();
  private readonly linkedAddresses = new Map<string, AbortController>();
  private readonly calls = new Map<number, (outcome: OrderOutcome) => void>();
  private metricsServer: Server | undefined;
  private nextCallId = 1;
  private fastPollUntil = -Infinity;
  private uncachedUntil = -Infinity;
  /** Version whose copies are in progress. */
  private preparingVersion: number | undefined;
  private lastSelectionCounts: SelectionCounts | undefined;
  private sentMapKey: string | undefined;
  private view: GroupView | undefined;
  private layout: ExpertLayout | undefined;
  private endPollDelay: () => void = () => undefined;

  constructor(
    private readonly settings: RankerSettings,
    private readonly dependencies: RankerDependencies,
  ) {
    const { host, port } = parseAddress(settings.linkAddress);
    this.server = new LinkServer({
      host,
      port,
      self: () => this.createHello(),
      handlers: {
        rankOrder: (message, link) => {
          void this.executeOrder(message, link);
        },
      },
      onLink: (link) => {
        this.addCoordinator(link);
      },
    });
  }

  /** Starts listening and reporting. */
  async start(): Promise<void> {
    await this.server.listen();
    this.metricsServer = startMetricsServer({
      host: parseAddress(this.settings.linkAddress).host,
      port: this.settings.metricsPort,
      metrics: this.metrics,
      dump: () => this.dump(),
    });
    void this.pollEngine();
    this.dependencies.logger.info({ incarnation: this.incarnation }, 'ranker started');
  }

  /** Stops immediately; a held pass is released by the coordinator after its restart. */
  stop(): void {
    this.stopController.abort();
    this.server.close();
    this.metricsServer?.close();
    this.dependencies.source.close();
    this.dependencies.logger.info({}, 'ranker stopped');
  }

  /**
   * Describes the state for the dump.
   *
   * @returns Links and, at the coordinator, the ranks of the group
   */
  dump(): unknown {
    return {
      process: this.settings.processId,
      incarnation: this.incarnation,
      coordinators: this.coordinatorLinks.size,
      group: this.view?.group,
      ranks: [...(this.view?.ranks.values() ?? [])].map(({ report }) => report),
    };
  }

  /** Polls the local rank and publishes its status to the coordinator. */
  private async pollEngine(): Promise<void> {
    const { engine } = this.dependencies;
    let selectionsReadAt = -Infinity;
    let isReachable = true;
    let last: RankReport | undefined;
    let reportedAt = -Infinity;
    while (!this.stopController.signal.aborted) {
      const now = performance.now();
      const mayReuseReport = last !== undefined && last.rank !== 0 && now >= this.uncachedUntil;
      if (mayReuseReport && last !== undefined && now - reportedAt < REPORT_INTERVAL_MS) {
        selectionsReadAt = now;
        await this.publishStatus(last, true);
        await this.waitForNextPoll(performance.now());
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
        if (this.preparingVersion !== undefined && read.value.prepared === this.preparingVersion) {
          this.preparingVersion = undefined;
          this.fastPollUntil = now;
        }
        const includeSelections = now - selectionsReadAt >= POLL_INTERVAL_MS;
        if (includeSelections) selectionsReadAt = now;
        await this.publishStatus(read.value, includeSelections);
      }
      await this.waitForNextPoll(performance.now());
    }
  }

  private async publishStatus(report: RankReport, includeSelections: boolean): Promise<void> {
    if (report.rank === 0) this.startCoordinator(report);
    const isCoordinator = this.view !== undefined && report.rank === 0;
    if (!isCoordinator && this.coordinatorLinks.size === 0) return;
    const choices = includeSelections ? await this.readSelections(report) : [];
    const experts = await this.readChangedExperts(report);
    const status = { report, choices, ...(experts === undefined ? {} : { experts }) };
    if (isCoordinator) {
      const sendOrder = (order: RankOrder, epoch: number): Promise<OrderOutcome> =>
        this.sendOrderToEngine(order, epoch);
      this.view?.applyStatus(status, sendOrder, this.layout, performance.now());
      return;
    }
    for (const link of this.coordinatorLinks) link.send({ type: 'rankStatus', ...status });
  }

  /** Returns the selection counts since the last read; counts restart from zero when the rank restarts. */
  private async readSelections(report: RankReport): Promise<number[]> {
    const read = await this.dependencies.engine.readSelectionCounts();
    if (read.isErr()) return [];
    const before = this.lastSelectionCounts;
    this.lastSelectionCounts = read.value;
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
    if (this.sentMapKey === key) return undefined;
    const read = await this.dependencies.engine.readExperts();
    if (read.isErr() || read.value.epoch !== report.epoch || read.value.map !== report.map) {
      return undefined;
    }
    this.sentMapKey = key;
    return read.value.experts.map((experts) => [...experts]);
  }

  private async executeOrder(message: MessageOf<'rankOrder'>, link: PeerLink): Promise<void> {
    const outcome = await this.sendOrderToEngine(message.order, message.epoch);
    link.send({ type: 'rankOrderReply', call: message.call, outcome });
  }

  private async sendOrderToEngine(order: RankOrder, epoch: number): Promise<OrderOutcome> {
    const outcome = await this.dependencies.engine.sendOrder(order, epoch);
    this.metrics.addCount(`order_${order.kind}_${outcome}`);
    this.fastPollUntil = performance.now() + fastPollAfterMs[order.kind];
    this.uncachedUntil = performance.now() + UNCACHED_AFTER_ORDER_MS;
    this.preparingVersion = order.kind === 'prepare' ? order.version : undefined;
    if (outcome === 'unknown' || outcome === 'refused') {
      this.dependencies.logger.warn({ order: order.kind, epoch, outcome }, 'order not carried out');
    }
    if (this.fastPollUntil > performance.now()) this.endPollDelay();
    return outcome;
  }

  private addCoordinator(link: PeerLink): void {
    this.coordinatorLinks.add(link);
    this.sentMapKey = undefined;
    link.onClose(() => {
      this.coordinatorLinks.delete(link);
    });
  }

  private startCoordinator(report: RankReport): void {
    if (this.view?.group === report.group) return;
    const { logger } = this.dependencies;
    logger.info({ group: report.group, size: report.size }, 'started to coordinate the group');
    this.view = new GroupView(report.group, report.size);
    void this.refreshConfiguration();
    void coordinateGroup({
      view: this.view,
      logger,
      metrics: this.metrics,
      signal: this.stopController.signal,
      readClock: () => performance.now(),
      readWallClock: () => Date.now(),
      getLayout: () => this.layout,
    });
  }

  /** Refreshes the expert layout and connects to the rankers of the group. */
  private async refreshConfiguration(): Promise<void> {
    const { source, logger } = this.dependencies;
    let revision: number | undefined;
    while (!this.stopController.signal.aborted) {
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
            slotsPerRank: experts.slotsPerRank,
            maxLoadsPerLayer: experts.maxLoadsPerLayer,
            copyMs: computeCopyMs(experts),
            expertShare: experts.expertShare,
          };
        }
      }
      const listing = await source.readUpstreams();
      if (listing.isErr()) {
        logger.debug({ code: listing.error.code }, 'failed to read the upstream list');
      } else {
        for (const upstream of listing.value.upstreams) {
          if (upstream.service === this.settings.service) this.connectToRanker(upstream.address);
        }
      }
      const isInitialized = this.layout !== undefined && listing.isOk();
      const intervalMs = isInitialized ? REFRESH_INTERVAL_MS : INITIAL_REFRESH_INTERVAL_MS;
      await sleep(intervalMs, undefined, { signal: this.stopController.signal }).catch(
        () => undefined,
      );
    }
  }

  private connectToRanker(engineAddress: string): void {
    const { host } = parseAddress(engineAddress);
    const localAddress = parseAddress(this.settings.linkAddress);
    const address = `${host}:${localAddress.port}`;
    if (host === localAddress.host || this.linkedAddresses.has(address)) return;
    const controller = new AbortController();
    this.linkedAddresses.set(address, controller);
    let linkedRank: number | undefined;
    void maintainLink({
      address,
      self: () => this.createHello(),
      signal: AbortSignal.any([controller.signal, this.stopController.signal]),
      handlers: {
        rankStatus: (message, link) => {
          if (message.report.group !== this.view?.group) {
            controller.abort();
            return;
          }
          linkedRank = message.report.rank;
          this.applyStatus(message, link);
        },
        rankOrderReply: (message) => {
          this.calls.get(message.call)?.(message.outcome);
        },
      },
      onLink: () => undefined,
      onDown: (reason) => {
        if (linkedRank === undefined) return;
        this.view?.removeRank(linkedRank);
        this.dependencies.logger.warn(
          { rank: linkedRank, reason },
          'lost the link to the ranker of a rank',
        );
        linkedRank = undefined;
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
      this.sendOrderOverLink(link, order, epoch);
    this.view?.applyStatus(status, sendOrder, this.layout, performance.now());
  }

  private sendOrderOverLink(
    link: PeerLink,
    order: RankOrder,
    epoch: number,
  ): Promise<OrderOutcome> {
    const call = this.nextCallId;
    this.nextCallId += 1;
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

  private waitForNextPoll(now: number): Promise<void> {
    const delayMs = now < this.fastPollUntil ? FAST_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, delayMs);
      this.endPollDelay = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  private createHello(): Hello {
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
