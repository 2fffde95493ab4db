import type { Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { randomUUID } from 'node:crypto';
import { parseAddress } from '../../connection/linkClient.js';
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
import { Deputy } from './deputy.js';
import { GroupLinks } from './groupLinks.js';
import { ROSTER_FEATURE } from './groupRoster.js';
import { GroupView } from './groupView.js';
import { RankOrderDecoder } from './remoteRankOrders.js';
import { SelectionReporter } from './selectionReporter.js';
import { isChangePending } from './standstillDetector.js';
import type { OrderOutcome, RankEngine, RankOrder, RankReport, RemoteEngine } from './types.js';

const POLL_INTERVAL_MS = 140;
/** A status without changes is sent this long after the last message; the coordinator drops a rank after 700 ms. */
const HEARTBEAT_INTERVAL_MS = 270;
/** Interval of report reads without recent orders, while a report only shows that the rank is alive. */
const REPORT_INTERVAL_MS = 420;
/** Used while a copy or, at the coordinator, a switch is pending: detecting its end promptly shortens the change. */
const FAST_POLL_INTERVAL_MS = 20;
/** Used while a prepared map is not in use yet, so that a standstill of the group is noticed. */
const PENDING_POLL_INTERVAL_MS = 70;
/** Upper bound on the copy time of one change. */
const FAST_POLL_AFTER_PREPARE_MS = 1_500;
/** Reports are read on every poll for this long after an order, so that the switch is seen. */
const UNCACHED_AFTER_ORDER_MS = 700;
/** An armed rank reports it on its next read, and the coordinator waits for the reports of all ranks. */
const FAST_POLL_AFTER_ARM_MS = 60;
/** A released group begins the next pass within this time unless it is idle. */
const FAST_POLL_AFTER_RELEASE_MS = 250;
/** A map change that a stopping ranker takes part in ends within this time, unless a rank is unreachable. */
const STOP_LIMIT_MS = 3_000;
/** How long the local rank is polled at the fast interval after an order. */
const fastPollAfterMs: Readonly<Record<RankOrder['kind'], number>> = {
  prepare: FAST_POLL_AFTER_PREPARE_MS,
  arm: FAST_POLL_AFTER_ARM_MS,
  disarm: FAST_POLL_AFTER_RELEASE_MS,
  hold: 0,
  release: FAST_POLL_AFTER_RELEASE_MS,
};

export interface RankerDependencies {
  readonly engine: RankEngine;
  /** Opens a connection to the engine of another rank. */
  readonly connectEngine: (address: string) => RemoteEngine;
  readonly source: ConfigurationSource;
  readonly logger: Logger;
}

/** Process next to one rank of a group: reports its state, executes orders and, for rank 0, coordinates the group. */
export class RankerDaemon {
  readonly metrics = new Metrics();
  private readonly stopController = new AbortController();
  /** Ends the coordination before the links close. */
  private readonly changeController = new AbortController();
  /** Resolves when the coordinator has ended its last change; undefined at other rankers. */
  private coordination: Promise<void> | undefined;
  private readonly server: LinkServer;
  private readonly incarnation = randomUUID();
  private readonly coordinators = new Map<PeerLink, RankOrderDecoder>();
  private readonly selections: SelectionReporter;
  private metricsServer: Server | undefined;
  private fastPollUntil = -Infinity;
  private uncachedUntil = -Infinity;
  /** Version whose copies are in progress. */
  private preparingVersion: number | undefined;
  private sentMapKey: string | undefined;
  private sentStatusKey: string | undefined;
  private statusSentAt = -Infinity;
  private readonly deputy: Deputy;
  /** Set at the coordinator. */
  private groupLinks: GroupLinks | undefined;
  private endPollDelay: () => void = () => undefined;

  constructor(
    private readonly settings: RankerSettings,
    private readonly dependencies: RankerDependencies,
  ) {
    this.selections = new SelectionReporter(dependencies.engine);
    this.deputy = new Deputy({ ...dependencies, metrics: this.metrics });
    const { host, port } = parseAddress(settings.linkAddress);
    this.server = new LinkServer({
      host,
      port,
      self: () => this.createHello(),
      handlers: {
        rankOrder: (message, link) => {
          void this.executeOrder(message, link);
        },
        groupRoster: ({ engines }) => {
          this.deputy.setEngines(engines);
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

  /**
   * Stops without leaving a pass held, as its group stands still until it is released: the coordinator begins no map
   * change and completes the one for which a pass is held; another ranker carries out orders until its rank has switched.
   */
  async stop(): Promise<void> {
    this.changeController.abort();
    this.groupLinks?.view.notifyWaiters();
    const limit = new AbortController();
    const timeout = sleep(STOP_LIMIT_MS, undefined, { signal: limit.signal }).catch(
      () => undefined,
    );
    await Promise.race([this.coordination ?? this.waitForSwitch(), timeout]);
    limit.abort();
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
      coordinators: this.coordinators.size,
      group: this.groupLinks?.view.group,
      ranks: [...(this.groupLinks?.view.ranks.values() ?? [])].map(({ report }) => report),
    };
  }

  /** Polls the local rank and publishes its status to the coordinator. */
  private async pollEngine(): Promise<void> {
    const { engine } = this.dependencies;
    let isReachable = true;
    let last: RankReport | undefined;
    let reportedAt = -Infinity;
    while (!this.stopController.signal.aborted) {
      const now = performance.now();
      const mayReuseReport =
        last !== undefined &&
        last.rank !== 0 &&
        now >= this.uncachedUntil &&
        !isChangePending(last);
      if (!mayReuseReport || now - reportedAt >= REPORT_INTERVAL_MS) {
        const read = await engine.readReport();
        last = read.isOk() ? read.value : undefined;
        reportedAt = now;
        if (isReachable !== read.isOk()) {
          isReachable = read.isOk();
          if (read.isErr()) this.dependencies.logger.warn({ code: read.error }, 'lost the engine');
          else this.dependencies.logger.info({}, 'regained the engine');
        }
      }
      if (last !== undefined) {
        this.deputy.observe(last, now);
        await this.publishReport(last, now);
      }
      const isPending = last !== undefined && isChangePending(last);
      await this.waitForNextPoll(
        performance.now(),
        isPending ? PENDING_POLL_INTERVAL_MS : POLL_INTERVAL_MS,
      );
    }
  }

  private async publishReport(report: RankReport, now: number): Promise<void> {
    if (this.preparingVersion !== undefined && report.prepared === this.preparingVersion) {
      this.preparingVersion = undefined;
      // The coordinator follows its own rank until the switch.
      if (report.rank !== 0) this.fastPollUntil = now;
    }
    if (report.rank === 0) this.startCoordinator(report);
    const isCoordinator = this.groupLinks !== undefined && report.rank === 0;
    if (!isCoordinator && this.coordinators.size === 0) return;
    if (now >= this.selections.computeNextAt(report.size)) await this.publishSelections(report);
    const experts = await this.readChangedExperts(report);
    const status = { report, ...(experts === undefined ? {} : { experts }) };
    if (isCoordinator) {
      this.groupLinks?.view.applyStatus(
        status,
        (order, epoch) => this.sendOrderToEngine(order, epoch),
        performance.now(),
      );
      return;
    }
    const { epoch, isOpen, map, prepared, armed, held } = report;
    const key = [epoch, isOpen, map, prepared, armed?.version, armed?.pass, held].join();
    const isDue = now - this.statusSentAt >= HEARTBEAT_INTERVAL_MS;
    if (key === this.sentStatusKey && experts === undefined && !isDue) return;
    this.sentStatusKey = key;
    this.statusSentAt = now;
    for (const link of this.coordinators.keys()) link.send({ type: 'rankStatus', ...status });
  }

  private async publishSelections(report: RankReport): Promise<void> {
    const packed = await this.selections.readPacked(report, performance.now());
    if (packed === undefined) return;
    const { epoch, rank } = report;
    if (rank === 0) this.groupLinks?.addSelections(rank, epoch, packed);
    else {
      for (const link of this.coordinators.keys())
        link.send({ type: 'rankSelections', epoch, ...packed });
    }
    // Selections show that the rank is alive, as a heartbeat does.
    this.statusSentAt = performance.now();
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
    const order = this.coordinators.get(link)?.decodeOrder(message);
    const outcome =
      order === undefined ? 'unknown' : await this.sendOrderToEngine(order, message.epoch);
    link.send({ type: 'rankOrderReply', call: message.call, outcome });
  }

  private async sendOrderToEngine(order: RankOrder, epoch: number): Promise<OrderOutcome> {
    const outcome = await this.dependencies.engine.sendOrder(order, epoch);
    this.metrics.addCount(`order_${order.kind}_${outcome}`);
    const now = performance.now();
    this.fastPollUntil = Math.max(this.fastPollUntil, now + fastPollAfterMs[order.kind]);
    this.uncachedUntil = now + UNCACHED_AFTER_ORDER_MS;
    this.preparingVersion = order.kind === 'prepare' ? order.version : undefined;
    if (outcome === 'unknown' || outcome === 'refused') {
      this.dependencies.logger.warn({ order: order.kind, epoch, outcome }, 'order not carried out');
    }
    if (this.fastPollUntil > now) this.endPollDelay();
    return outcome;
  }

  /** Waits while a prepared map is not in use yet: its coordinator may hold a pass until this rank is armed. */
  private async waitForSwitch(): Promise<void> {
    while (this.coordinators.size > 0 && !this.stopController.signal.aborted) {
      const read = await this.dependencies.engine.readReport();
      if (read.isErr() || !isChangePending(read.value)) return;
      await sleep(FAST_POLL_INTERVAL_MS);
    }
  }

  private addCoordinator(link: PeerLink): void {
    this.coordinators.set(link, new RankOrderDecoder());
    this.sentMapKey = undefined;
    this.sentStatusKey = undefined;
    link.onClose(() => {
      this.coordinators.delete(link);
    });
  }

  private startCoordinator(report: RankReport): void {
    if (this.groupLinks?.view.group === report.group) return;
    const { logger, source } = this.dependencies;
    logger.info({ group: report.group, size: report.size }, 'started to coordinate the group');
    const groupLinks = new GroupLinks({
      view: new GroupView(report.group, report.size),
      settings: this.settings,
      source,
      logger,
      metrics: this.metrics,
      signal: this.stopController.signal,
      self: () => this.createHello(),
    });
    this.groupLinks = groupLinks;
    void groupLinks.refresh();
    this.coordination = coordinateGroup({
      view: groupLinks.view,
      logger,
      metrics: this.metrics,
      signal: this.changeController.signal,
      readClock: () => performance.now(),
      readWallClock: () => Date.now(),
      getLayout: () => groupLinks.layout,
    });
  }

  private waitForNextPoll(now: number, intervalMs: number): Promise<void> {
    const delayMs = now < this.fastPollUntil ? FAST_POLL_INTERVAL_MS : intervalMs;
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
      features: [ROSTER_FEATURE],
    };
  }
}
