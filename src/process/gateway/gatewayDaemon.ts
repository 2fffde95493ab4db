import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import polka from 'polka';
import { defaults } from '../../defaults.js';
import type { AvailabilityZoneId, ServiceId, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import { UpstreamBalancer } from '../../request/admission/upstreamBalancer.js';
import { SuspectTable } from '../../request/admission/suspectTable.js';
import { AdmissionQueue } from '../../request/admission/admissionQueue.js';
import { forwardRequest } from '../../request/forwarding/forwardRequest.js';
import type { ForwardingContext } from '../../request/forwarding/types.js';
import { SlidingWindowBudget } from '../../request/retry/slidingWindowBudget.js';
import type { Logger } from '../logging.js';
import { Metrics } from '../metrics.js';
import { startMetricsServer } from '../metricsServer.js';
import type { GatewaySettings } from '../settings/gatewaySettings.js';
import { ConfigurationHolder } from './configurationHolder.js';
import type { Knowledge } from './gatewayPeers.js';
import { GatewayPeers } from './gatewayPeers.js';
import { maintainGroupProbes } from './groupProbing.js';
import { maintainConfiguration, maintainUpstreams } from './platformPolling.js';
import { SuspendClock } from './suspendClock.js';
import type { ConfigurationSource, HeadCodec, UpstreamProbe } from './types.js';
import { UpstreamDirectory } from './upstreamDirectory.js';

/** Waiting requests are looked at this often, besides whenever a place comes free. */
const DISPATCH_INTERVAL_MS = 25;
/** Clients reach a stopping gateway until the balancer has missed two readiness checks, one a second. */
const LISTEN_AFTER_STOP_MS = 2_600;
/** The first read of the store takes about 80 ms. */
const START_CHECK_MS = 10;
/** The process ends this long before it would be killed. */
const EXIT_MARGIN_MS = 500;
/** A key is refused this long before its proof reaches the limit; covers one queued request and clock drift. */
const PROOF_MARGIN_MS = 500;
const DRAIN_CHECK_MS = 25;
/** An engine that does not answer when it is new is asked again; a probe has a price. */
const GROUP_TRIES = 6;
const GROUP_RETRY_MS = 500;

export interface GatewayDependencies {
  readonly source: ConfigurationSource;
  readonly codec: HeadCodec;
  readonly probe: UpstreamProbe;
  readonly logger: Logger;
}

/** The process that takes callers' requests and forwards them to upstreams. */
export class GatewayDaemon {
  readonly metrics = new Metrics();
  private readonly clock = new SuspendClock(performance.now(), Date.now());
  private readonly stopping = new AbortController();
  private readonly holder: ConfigurationHolder;
  private readonly directory = new UpstreamDirectory();
  private readonly board: UpstreamBalancer;
  private readonly lines = new Map<ServiceId, AdmissionQueue>();
  private readonly budgets = new Map<ServiceId, SlidingWindowBudget>();
  private readonly front: Server;
  private readonly ready: Server;
  private readonly peers: GatewayPeers;
  private readonly context: ForwardingContext;
  private readonly incarnation = randomUUID();
  private metricsServer: Server | undefined;
  private isDraining = false;
  private active = 0;

  constructor(
    private readonly settings: GatewaySettings,
    private readonly dependencies: GatewayDependencies,
  ) {
    const { logger, codec } = dependencies;
    this.holder = new ConfigurationHolder(settings.keyProofMs - PROOF_MARGIN_MS);
    this.board = new UpstreamBalancer({
      availabilityZone: toId<AvailabilityZoneId>(settings.availabilityZone),
      listReady: (service) => this.directory.listReady(service),
      getService: (service) => this.holder.current?.configuration.services.get(service),
      getMaxGapMs: (service) => this.getMaxGapMs(service),
    });
    this.context = {
      holder: this.holder,
      directory: this.directory,
      balancer: this.board,
      suspects: new SuspectTable(),
      codec,
      logger,
      metrics: this.metrics,
      readNow: () => this.readNow(),
      waitUntilConfigured: (limitMs) => this.waitUntilKnown(limitMs),
      getQueue: (service) => this.getLine(service),
      getRepeatBudget: (service) => this.getBudget(service),
      broadcastCrash: (fingerprint) => {
        this.peers.shareCrash(fingerprint);
      },
      isDraining: () => this.isDraining,
    };
    this.front = createServer({ maxHeaderSize: defaults.maxHeaderBytes });
    this.ready = createServer();
    this.peers = new GatewayPeers({
      address: settings.linkAddress,
      seeds: settings.seeds,
      self: () => ({
        type: 'hello',
        version: defaults.protocolVersion,
        role: 'gateway',
        processId: settings.processId,
        incarnation: this.incarnation,
        host: settings.linkAddress,
        availabilityZone: settings.availabilityZone,
        upstreams: [],
      }),
      board: this.board,
      logger,
      signal: this.stopping.signal,
      readNow: () => this.readNow(),
      onCounts: () => {
        this.dispatchAll();
      },
      onCrash: (fingerprint) => {
        this.context.suspects.recordCrash(fingerprint, this.readNow());
      },
      describeKnowledge: (version) => this.describeKnowledge(version),
      applyKnowledge: (knowledge, askedAt) => {
        this.applyKnowledge(knowledge, askedAt);
      },
    });
  }

  /** Opens all ports and starts to read the store. */
  async start(): Promise<void> {
    const { settings, dependencies } = this;
    polka({ server: this.front })
      .use((request: IncomingMessage, response: ServerResponse) => {
        void this.serve(request, response);
      })
      .listen(settings.frontPort, settings.host);
    polka({ server: this.ready })
      .get('/ready', (_request: IncomingMessage, response: ServerResponse) => {
        response.writeHead(this.isReady() ? 200 : 503).end();
      })
      .listen(settings.readyPort, settings.host);
    this.metricsServer = startMetricsServer({
      host: settings.host,
      port: settings.metricsPort,
      metrics: this.metrics,
      dump: () => this.dump(),
    });
    await this.peers.start();
    const polling = {
      ...dependencies,
      holder: this.holder,
      directory: this.directory,
      metrics: this.metrics,
      signal: this.stopping.signal,
      readNow: () => this.readNow(),
      onUpstream: (upstream: UpstreamId) => {
        void this.learnGroup(upstream);
      },
      askPeers: () => this.peers.askAll(this.holder.version),
      onChange: () => {
        this.applyLimits();
        this.dispatchAll();
      },
    };
    void maintainConfiguration(polling);
    void maintainUpstreams(polling);
    void maintainGroupProbes({
      ...polling,
      health: this.board.health,
      findAddress: (id) => this.directory.findEntry(id)?.address,
      onOpen: () => {
        this.dispatchAll();
      },
    });
    const timer = setInterval(() => {
      this.dispatchAll();
    }, DISPATCH_INTERVAL_MS);
    this.stopping.signal.addEventListener('abort', () => {
      clearInterval(timer);
    });
    dependencies.logger.info({ incarnation: this.incarnation }, 'gateway started');
  }

  /**
   * Stops gracefully: no longer ready at once, then no new connections, then the end of the last request.
   *
   * @returns When all requests have ended or the limit is reached
   */
  async drain(): Promise<void> {
    const startedAt = performance.now();
    this.isDraining = true;
    this.dependencies.logger.info({ active: this.active }, 'draining');
    await sleep(LISTEN_AFTER_STOP_MS);
    this.front.close();
    this.front.closeIdleConnections();
    const limit = startedAt + this.settings.stopLimitMs - EXIT_MARGIN_MS;
    while (this.active > 0 && performance.now() < limit) await sleep(DRAIN_CHECK_MS);
    await sleep(DRAIN_CHECK_MS);
    this.stop();
  }

  /** Stops at once. */
  stop(): void {
    this.stopping.abort();
    this.front.close();
    this.ready.close();
    this.ready.closeAllConnections();
    this.metricsServer?.close();
    this.front.closeAllConnections();
    this.dependencies.source.close();
    this.dependencies.logger.info({ unfinished: this.active }, 'gateway stopped');
  }

  /**
   * Describes the state without secrets.
   *
   * @returns Versions, fleet, loads and queues
   */
  dump(): unknown {
    const now = this.readNow();
    return {
      process: this.settings.processId,
      incarnation: this.incarnation,
      isReady: this.isReady(),
      isDraining: this.isDraining,
      active: this.active,
      configurationVersion: this.holder.version,
      proofAgeMs: this.holder.computeProofAge(now),
      gateways: this.peers.size,
      upstreams: this.directory.listAll(),
      loads: this.board.describe(now),
      waiting: Object.fromEntries([...this.lines].map(([id, line]) => [id, line.length])),
    };
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.active += 1;
    try {
      await forwardRequest(this.context, { request, response });
    } finally {
      this.active -= 1;
    }
  }

  private describeKnowledge(version: number): Knowledge {
    const now = this.readNow();
    const proofAgeMs = this.holder.computeProofAge(now);
    const listingAgeMs = this.directory.computeAge(now);
    const held = this.holder.current;
    return {
      version: this.holder.version,
      ...(Number.isFinite(proofAgeMs) ? { proofAgeMs } : {}),
      ...(held !== undefined && this.holder.version > version ? { document: held.document } : {}),
      ...(Number.isFinite(listingAgeMs) ? { listingAgeMs } : {}),
      upstreams: this.directory.listAll().map(({ startedAt, ...entry }) => ({
        ...entry,
        ...(startedAt === undefined ? {} : { startedAt }),
      })),
    };
  }

  private applyKnowledge(knowledge: Knowledge, askedAt: number): void {
    const { logger, source } = this.dependencies;
    const { version, proofAgeMs, document, listingAgeMs } = knowledge;
    if (proofAgeMs !== undefined) {
      this.holder.noteUnchanged(version, askedAt - proofAgeMs);
      if (document !== undefined && version > this.holder.version) {
        const decoded = source.decodeDocument(document);
        if (decoded.isErr()) {
          logger.warn(
            { code: decoded.error.code, detail: decoded.error.message },
            'peer sent an unreadable configuration',
          );
        } else if (this.holder.applyRead(decoded.value, askedAt - proofAgeMs, document)) {
          logger.info(
            { configurationVersion: version, proofAgeMs },
            'configuration of a peer in force',
          );
          this.applyLimits();
        }
      }
    }
    if (listingAgeMs === undefined) return;
    const upstreams = knowledge.upstreams.map((entry) => ({
      ...entry,
      id: toId<UpstreamId>(entry.id),
      service: toId<ServiceId>(entry.service),
      availabilityZone: toId<AvailabilityZoneId>(entry.availabilityZone),
    }));
    const changes = this.directory.applyListing(upstreams, askedAt - listingAgeMs, this.readNow());
    for (const { upstream, change } of changes) {
      logger.info({ upstream, change }, 'upstream list of a peer taken over');
    }
  }

  private async waitUntilKnown(limitMs: number): Promise<void> {
    const limit = performance.now() + limitMs;
    const isKnown = (): boolean =>
      this.holder.current !== undefined && this.directory.listAll().length > 0;
    while (!isKnown() && performance.now() < limit) await sleep(START_CHECK_MS);
  }

  private isReady(): boolean {
    return (
      !this.isDraining && this.holder.isFresh(this.readNow()) && this.directory.listAll().length > 0
    );
  }

  /** Asks a new engine once for its group; the groups do not change while it runs. */
  private async learnGroup(id: UpstreamId): Promise<void> {
    const { probe, logger } = this.dependencies;
    const { health } = this.board;
    for (let tries = 0; tries < GROUP_TRIES; tries += 1) {
      const entry = this.directory.findEntry(id);
      if (entry === undefined) return;
      const service = this.holder.current?.configuration.services.get(entry.service);
      if (service !== undefined) {
        if (service.engine?.experts === undefined) return;
        // Until the groups are known, an engine that refuses may speak for all others that are not known either.
        if (tries === 0) health.setGroup(id, `unknown groups of ${entry.service}`);
        const read = await probe.readGroup(entry.address);
        if (read.isOk()) {
          health.setGroup(id, read.value?.name);
          logger.info({ upstream: id, ...read.value }, 'group of an upstream learned');
          if (read.value?.isOpen === false) health.recordFailure(id, this.readNow());
          return;
        }
      }
      await sleep(GROUP_RETRY_MS);
    }
    health.setGroup(id, undefined);
    logger.warn({ upstream: id }, 'the group of an upstream is not known');
  }

  private readNow(): number {
    return this.clock.readNow(performance.now(), Date.now());
  }

  private dispatchAll(): void {
    const now = this.readNow();
    for (const line of this.lines.values()) if (line.length > 0) line.dispatchQueued(now);
  }

  private applyLimits(): void {
    const limits = this.holder.current?.configuration.limits;
    if (limits === undefined) return;
    this.front.headersTimeout = limits.headerTimeoutMs;
    this.front.keepAliveTimeout = limits.idleTimeoutMs;
    this.front.requestTimeout = 0;
  }

  private getMaxGapMs(service: ServiceId): number {
    let lowest = Infinity;
    for (const route of this.holder.current?.configuration.routes ?? []) {
      if (route.gapTargetMs <= 0 || route.gapTargetMs >= lowest) continue;
      if (route.shares.some((share) => share.service === service)) lowest = route.gapTargetMs;
    }
    return lowest;
  }

  private getLine(service: ServiceId): AdmissionQueue {
    let line = this.lines.get(service);
    if (line === undefined) {
      line = new AdmissionQueue(service, this.board);
      this.lines.set(service, line);
    }
    return line;
  }

  private getBudget(service: ServiceId): SlidingWindowBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      const { windowMs, ratio, extra, gateways } = this.settings.repeats;
      budget = new SlidingWindowBudget(windowMs, ratio, extra / gateways);
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
