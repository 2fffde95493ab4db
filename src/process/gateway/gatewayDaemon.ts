import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { randomUUID } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import polka from 'polka';
import { CallerMemory } from '../../connection/callerMemory.js';
import { createBoundedServer, getRequestReader } from '../../connection/boundedServer.js';
import { ReadFlow } from '../../connection/readScheduler.js';
import { responseScheduler } from '../../connection/meteredSocket.js';
import { defaults } from '../../defaults.js';
import type { AvailabilityZoneId, ServiceId, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { BalancerSources } from '../../request/admission/upstreamBalancer.js';
import { UpstreamBalancer } from '../../request/admission/upstreamBalancer.js';
import { UpstreamStatements } from '../../request/admission/upstreamStatements.js';
import { CrashContainment } from '../../request/containment/crashContainment.js';
import { ListenerProbes } from '../../request/forwarding/listenerProbes.js';
import { AdmissionQueue } from '../../request/admission/admissionQueue.js';
import { BufferBudget } from '../../request/forwarding/bufferBudget.js';
import { failRequest, forwardRequest } from '../../request/forwarding/forwardRequest.js';
import { RequestDurations } from '../../request/forwarding/requestDurations.js';
import type { ForwardingContext, RequestProgress } from '../../request/forwarding/types.js';
import { SlidingWindowBudget } from '../../request/retry/slidingWindowBudget.js';
import { createControlServer } from '../controlServer.js';
import type { Logger } from '../logging.js';
import { Metrics } from '../metrics.js';
import { startMetricsServer } from '../metricsServer.js';
import type { GatewaySettings } from '../settings/gatewaySettings.js';
import { PauseDetector } from '../pauseDetector.js';
import { StartTimeline } from '../startTimeline.js';
import { CallerConnections } from './callerConnections.js';
import { ConfigurationCache } from './configurationCache.js';
import { GatewayPeers } from './gatewayPeers.js';
import {
  createColdTopic,
  createCrashTopic,
  createGroupTopic,
  createRateLimitTopic,
  createStatementTopic,
  peerFeatures,
} from './peerTopics.js';
import { GatewayRateLimits } from './gatewayRateLimits.js';
import { drainCallers } from './drainCallers.js';
import { GracefulStop } from './gracefulStop.js';
import { GroupDiscovery } from './groupDiscovery.js';
import { maintainGroupProbes } from './groupProbing.js';
import { PeerSnapshots } from './peerSnapshots.js';
import { maintainConfiguration, maintainUpstreams } from './storePolling.js';
import { PollTimer } from './pollTimer.js';
import { StoreContact } from './storeContact.js';
import { StoreEra } from './storeEra.js';
import { StoreRelay } from './storeRelay.js';
import { SuspendClock } from './suspendClock.js';
import type { ConfigurationSource, HeaderCodec, UpstreamProbe } from './types.js';
import { UpstreamDirectory } from './upstreamDirectory.js';
import { ZoneEvacuations } from './zoneEvacuations.js';

/** Permits are issued and queued requests dispatched at this interval; the latter also when a slot becomes free. */
const DISPATCH_INTERVAL_MS = 25;
/** The load balancer sends requests to a stopping gateway until two readiness checks, one per second, have failed. */
const DRAIN_LISTEN_MS = 2_600;
/** Interval of checks for the initial configuration; the first read of the store takes about 80 ms. */
const STARTUP_POLL_INTERVAL_MS = 10;
/** Time between the exit of the process and the limit after which it would be killed. */
const EXIT_MARGIN_MS = 500;
/** Subtracted from the maximum age of the configuration; covers one queued request and clock drift. */
const KEY_VALIDITY_MARGIN_MS = 500;
/** Processes take longer to start again at their address. */
const MIN_PAUSE_MS = 250;

export interface GatewayDependencies {
  readonly source: ConfigurationSource;
  readonly codec: HeaderCodec;
  readonly probe: UpstreamProbe;
  readonly logger: Logger;
}

/** The process that accepts callers' requests and forwards them to upstreams. */
export class GatewayDaemon {
  readonly metrics = new Metrics();
  private readonly clock = new SuspendClock(performance.now(), Date.now());
  private readonly pauses = new PauseDetector(this.readClock(), MIN_PAUSE_MS);
  private readonly stopController = new AbortController();
  private readonly configurationCache: ConfigurationCache;
  private readonly directory = new UpstreamDirectory();
  private readonly evacuations: ZoneEvacuations;
  private readonly storeEra = new StoreEra();
  private readonly contact = new StoreContact(this.pauses);
  private readonly balancer: UpstreamBalancer;
  private readonly rateLimits: GatewayRateLimits;
  private readonly crashes: CrashContainment;
  private readonly statements: UpstreamStatements;
  private readonly groups: GroupDiscovery;
  private readonly startTimeline: StartTimeline;
  private readonly queues = new Map<ServiceId, AdmissionQueue>();
  private readonly readFlows = new Map<ServiceId, ReadFlow>();
  private readonly repeatBudgets = new Map<ServiceId, SlidingWindowBudget>();
  private readonly front: Server;
  private readonly callers: CallerConnections;
  private readonly ready: Server;
  private readonly peers: GatewayPeers;
  private readonly relay: StoreRelay;
  private readonly pollTimers = {
    configuration: new PollTimer(this.stopController.signal),
    upstreams: new PollTimer(this.stopController.signal),
  };
  private readonly callerMemory: CallerMemory;
  private readonly context: ForwardingContext;
  private readonly incarnation = randomUUID();
  private metricsServer: Server | undefined;
  private readonly gracefulStop: GracefulStop;
  private isDispatchScheduled = false;

  constructor(
    private readonly settings: GatewaySettings,
    private readonly dependencies: GatewayDependencies,
  ) {
    const { logger, codec } = dependencies;
    // Each link to a peer listens for the stop, and the number of peers has no fixed bound.
    setMaxListeners(0, this.stopController.signal);
    this.gracefulStop = new GracefulStop({
      limitMs: settings.stopLimitMs - EXIT_MARGIN_MS,
      listeningMs: DRAIN_LISTEN_MS,
    });
    this.configurationCache = new ConfigurationCache(
      settings.keyRevocationLimitMs - KEY_VALIDITY_MARGIN_MS,
    );
    this.evacuations = new ZoneEvacuations({
      directory: this.directory,
      onReturn: (entries, now) => {
        this.rateLimits.cold.markCold(entries, now);
      },
      logger,
      metrics: this.metrics,
    });
    this.rateLimits = new GatewayRateLimits({
      self: settings.processId,
      directory: this.directory,
      getService: (service) => this.configurationCache.current?.configuration.services.get(service),
      logger,
      metrics: this.metrics,
      readClock: () => this.readClock(),
      readMonotonicClock: () => performance.now(),
      broadcastCold: (message) => {
        this.peers.broadcast(message, peerFeatures.cold);
      },
      countGateways: (now) => this.peers.countRunning(now),
      send: (gateway, message) => {
        this.peers.send(gateway, message);
      },
    });
    this.directory.continuity.mayHaveMissedOutage = (since) =>
      this.contact.mayHaveMissedOutage(since, this.readClock());
    this.directory.onListing = (entries, now) => {
      this.rateLimits.cold.observeListing(entries, now);
    };
    this.crashes = new CrashContainment({
      self: settings.processId,
      listLinked: () => this.peers.listLinked(),
      broadcast: (message) => {
        this.peers.broadcast(message, peerFeatures.crashes);
      },
      logger,
      metrics: this.metrics,
    });
    const sources: BalancerSources = {
      availabilityZone: toId<AvailabilityZoneId>(settings.availabilityZone),
      listReady: (service) => this.directory.listReady(service),
      getService: (service) => this.configurationCache.current?.configuration.services.get(service),
      getMaxGapMs: (service) => this.getMaxGapMs(service),
    };
    this.balancer = new UpstreamBalancer(sources, this.rateLimits.limiter);
    this.statements = new UpstreamStatements({
      directory: this.directory,
      balancer: this.balancer,
      maxPauseMs: settings.maxUpstreamPauseMs,
      broadcast: (message) => {
        this.peers.broadcast(message, peerFeatures.statements);
      },
      logger,
      metrics: this.metrics,
    });
    this.startTimeline = new StartTimeline(this.metrics, logger);
    this.groups = new GroupDiscovery({
      ...dependencies,
      self: settings.processId,
      hasPeers: settings.seeds.some((seed) => seed !== settings.linkAddress),
      configurationCache: this.configurationCache,
      directory: this.directory,
      health: this.balancer.health,
      statements: this.statements,
      metrics: this.metrics,
      readClock: () => this.readClock(),
      broadcast: (message) => {
        this.peers.broadcast(message, peerFeatures.groups);
      },
    });
    this.callerMemory = new CallerMemory(
      settings.callers.maxHeldBytes,
      ({ kind, group, request }, bytes) => {
        this.metrics.addCount(`caller_memory_reclaimed_${kind}`);
        const { requestId = '' } = codec.decodeRequest(request?.rawHeaders ?? []);
        logger.info({ requestId, kind, workspace: group, bytes }, 'memory of a caller reclaimed');
      },
    );
    this.context = {
      configurationCache: this.configurationCache,
      directory: this.directory,
      balancer: this.balancer,
      statements: this.statements,
      crashes: this.crashes,
      listenerProbes: new ListenerProbes(),
      rateLimits: this.rateLimits.observer,
      responseLimits: settings.responses,
      responseBuffers: new BufferBudget(settings.responses.maxBufferedBytes),
      maxUnreadBytes: settings.responses.maxUnreadBytes,
      codec,
      logger,
      metrics: this.metrics,
      readClock: () => this.readClock(),
      hasPaused: () => this.pauses.hasPaused(this.readClock()),
      isConfigured: () => this.isConfigured(),
      waitUntilConfigured: (timeoutMs) => this.waitUntilConfigured(timeoutMs),
      getQueue: (service) => this.getQueue(service),
      getReadFlow: (service) => this.getReadFlow(service),
      getRepeatBudget: (service) => this.getRepeatBudget(service),
      stop: this.gracefulStop,
      durations: new RequestDurations(),
      isBehindOther: (exchange) => this.callers.isBehindOther(exchange),
      tryAnnounceClose: (exchange) => this.callers.tryAnnounceClose(exchange),
      discardBody: (exchange) => {
        this.callers.discardBody(exchange);
      },
      hasUnreadBody: (exchange) => this.callers.hasUnreadBody(exchange),
      callerMemory: this.callerMemory,
    };
    const { maxRequestsPerConnection, maxPipelinedRequests } = settings.callers;
    this.front = createBoundedServer({
      maxHeaderSize: defaults.maxHeaderBytes,
      requestLimits: {
        maxPerConnection: maxRequestsPerConnection,
        maxTotal: maxPipelinedRequests,
      },
      memory: this.callerMemory,
      readClock: () => this.readClock(),
    });
    this.callers = new CallerConnections(
      {
        server: this.front,
        maxConnections: settings.callers.maxConnections,
        onEvict: (use) => {
          this.metrics.addCount(`caller_connections_closed_${use}`);
        },
      },
      () => this.readClock(),
    );
    this.ready = createControlServer();
    const snapshots = new PeerSnapshots({
      incarnation: this.incarnation,
      metrics: this.metrics,
      ...dependencies,
      configurationCache: this.configurationCache,
      directory: this.directory,
      storeEra: this.storeEra,
      readClock: () => this.readClock(),
      readMonotonicClock: () => performance.now(),
      evacuations: this.evacuations,
      cold: this.rateLimits.cold,
      onEvacuation: () => {
        this.dispatchAll();
      },
      onConfiguration: () => {
        this.applyLimits();
      },
      onUpstreamStarted: (upstream) => {
        this.groups.add(upstream);
      },
    });
    const readClock = (): number => this.readClock();
    const scheduleDispatch = (): void => {
      this.scheduleDispatch();
    };
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
        features: Object.values(peerFeatures),
      }),
      balancer: this.balancer,
      topics: [
        createRateLimitTopic(this.rateLimits.limiter, readClock, scheduleDispatch),
        createColdTopic(this.rateLimits.cold, () => performance.now()),
        createCrashTopic(this.crashes, readClock),
        createStatementTopic(this.statements),
        createGroupTopic(this.groups),
      ],
      logger,
      signal: this.stopController.signal,
      readClock,
      onCapacityChanged: scheduleDispatch,
      onHint: () => {
        this.pollTimers.configuration.wake();
      },
      createSnapshot: (version, configurationOnly, listing) =>
        snapshots.create(version, configurationOnly, listing),
      applySnapshot: (snapshot, queriedAt, sender) => {
        snapshots.apply(snapshot, queriedAt, sender);
      },
    });
    this.relay = new StoreRelay({
      metrics: this.metrics,
      self: settings.processId,
      configurationCache: this.configurationCache,
      directory: this.directory,
      evacuations: this.evacuations,
      storeEra: this.storeEra,
      readClock: () => this.readClock(),
      readMonotonicClock: () => performance.now(),
      listLinked: () => this.peers.listLinked(),
      queryGateway: (processId) => this.peers.queryOne(processId, snapshots.findListing(processId)),
    });
  }

  /** Opens all ports and starts to poll the store. */
  async start(): Promise<void> {
    const { settings, dependencies } = this;
    polka({ server: this.front })
      .use((request: IncomingMessage, response: ServerResponse) => {
        const reader = getRequestReader(request.socket);
        const progress: RequestProgress = {
          requestId: '',
          arrivedAt: reader.heldSince ?? this.readClock(),
          phase: 'reading',
          hasTime: () => true,
        };
        const controller = new AbortController();
        const exchange = { request, response, reader, progress, controller };
        if (!this.callers.add(exchange)) {
          // Unread bytes would make the kernel reset the connection when it is closed.
          request.resume();
          return;
        }
        forwardRequest(this.context, exchange).catch((error: unknown) => {
          failRequest(this.context, exchange, error);
        });
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
      configurationCache: this.configurationCache,
      directory: this.directory,
      evacuations: this.evacuations,
      storeEra: this.storeEra,
      contact: this.contact,
      metrics: this.metrics,
      signal: this.stopController.signal,
      relay: this.relay,
      timers: this.pollTimers,
      onStoreChange: () => {
        this.peers.broadcastHint();
      },
      readClock: () => this.readClock(),
      readMonotonicClock: () => performance.now(),
      onUpstreamStarted: (upstream: UpstreamId) => {
        this.groups.add(upstream);
      },
      queryPeers: (configurationOnly: boolean) =>
        this.peers.queryAll(this.configurationCache.version, configurationOnly),
      onChange: () => {
        this.applyLimits();
        this.dispatchAll();
      },
    };
    void maintainConfiguration(polling);
    void maintainUpstreams(polling);
    void maintainGroupProbes({
      ...polling,
      health: this.balancer.health,
      statements: this.statements,
      isPaused: (id) => {
        const entry = this.directory.findEntry(id);
        return entry !== undefined && this.balancer.isPaused(entry, this.readClock());
      },
      findAddress: (id) => this.directory.findEntry(id)?.address,
      onOpen: () => {
        this.dispatchAll();
      },
    });
    const timer = setInterval(() => {
      this.pauses.recordTick(this.readClock());
      this.rateLimits.advance(this.readClock());
      this.dispatchAll();
      this.callerMemory.advance(this.readClock());
      this.groups.advance(this.readClock());
      this.observeStart();
    }, DISPATCH_INTERVAL_MS);
    this.stopController.signal.addEventListener('abort', () => {
      clearInterval(timer);
    });
    this.startTimeline.observe({ listening: true });
    const { wallMs, processorMs } = this.startTimeline.describe().listening ?? {};
    dependencies.logger.info(
      { incarnation: this.incarnation, wallMs, processorMs },
      'gateway started',
    );
  }

  /** Stops gracefully: reports not ready at once, and stops when all requests have ended, at the limit at the latest. */
  async drain(): Promise<void> {
    const { gracefulStop, callers, metrics } = this;
    const { logger } = this.dependencies;
    const now = this.readClock();
    gracefulStop.begin(now, performance.now(), this.pauses.computeEarliestArrival(now));
    logger.info({ active: callers.countUnfinished() }, 'draining');
    const readClock = (): number => this.readClock();
    const unfinished = await drainCallers({
      callers,
      stop: gracefulStop,
      logger,
      metrics,
      readClock,
    });
    this.close();
    logger.info({ unfinished }, 'gateway stopped');
  }

  /** Stops immediately and closes all connections. */
  stop(): void {
    const unfinished = this.callers.countUnfinished();
    this.close();
    this.dependencies.logger.info({ unfinished }, 'gateway stopped');
  }

  /**
   * Describes the state for operators, without secrets.
   *
   * @returns Configuration version, upstreams, loads and queue lengths
   */
  dump(): unknown {
    const now = this.readClock();
    return {
      process: this.settings.processId,
      incarnation: this.incarnation,
      isReady: this.isReady(),
      isDraining: this.gracefulStop.isDraining,
      active: this.callers.countUnfinished(),
      callerConnections: this.callers.describeUses(),
      callerMemory: this.callerMemory.describe(),
      responses: {
        ...this.context.responseBuffers.describe(),
        waitingToBeRead: responseScheduler.waitingCount,
      },
      configurationVersion: this.configurationCache.version,
      proofAgeMs: this.configurationCache.computeAge(now),
      storeEra: this.storeEra.current,
      isStoreComplete: this.storeEra.isComplete(performance.now()),
      evacuations: this.evacuations.describe(now),
      gateways: this.peers.size,
      start: this.startTimeline.describe(),
      unknownGroups: this.groups.knowledge.unknownCount,
      upstreams: this.directory.listAll(),
      loads: this.balancer.describe(now),
      rateLimits: this.rateLimits.limiter.describe(now),
      cold: this.rateLimits.cold.describe(performance.now()),
      refused: this.crashes.describe(now),
      waiting: Object.fromEntries([...this.queues].map(([id, queue]) => [id, queue.length])),
      waitingByPriority: Object.fromEntries(
        [...this.queues].map(([id, queue]) => [id, queue.describe()]),
      ),
    };
  }

  private close(): void {
    this.stopController.abort();
    this.callers.destroyAll();
    this.front.close();
    this.ready.close();
    this.ready.closeAllConnections();
    this.metricsServer?.close();
    this.dependencies.source.close();
  }

  private isConfigured(): boolean {
    return (
      this.configurationCache.current !== undefined && this.storeEra.isConfirmed(performance.now())
    );
  }

  private async waitUntilConfigured(timeoutMs: number): Promise<void> {
    const deadlineAt = performance.now() + timeoutMs;
    const isLoaded = (): boolean => this.isConfigured() && this.directory.listAll().length > 0;
    const isWaiting = (): boolean =>
      !isLoaded() && performance.now() < deadlineAt && !this.gracefulStop.isOver(performance.now());
    while (isWaiting()) await sleep(STARTUP_POLL_INTERVAL_MS);
  }

  private isReady(): boolean {
    return (
      !this.gracefulStop.isDraining &&
      this.configurationCache.isFresh(this.readClock()) &&
      this.directory.listAll().length > 0
    );
  }

  private readClock(): number {
    return this.clock.readNow(performance.now(), Date.now());
  }

  /** Dispatches once after the messages of this turn of the event loop; each peer sends counts several times a second. */
  private scheduleDispatch(): void {
    if (this.isDispatchScheduled) return;
    this.isDispatchScheduled = true;
    setImmediate(() => {
      this.isDispatchScheduled = false;
      this.dispatchAll();
    });
  }

  private dispatchAll(): void {
    const now = this.readClock();
    for (const queue of this.queues.values()) if (queue.length > 0) queue.dispatchQueued(now);
  }

  private applyLimits(): void {
    const limits = this.configurationCache.current?.configuration.limits;
    if (limits === undefined) return;
    this.front.headersTimeout = limits.headerTimeoutMs;
    this.front.keepAliveTimeout = limits.idleTimeoutMs;
    this.front.requestTimeout = 0;
  }

  private observeStart(): void {
    if (this.startTimeline.isComplete) return;
    const { metrics } = this;
    const isConfigured = this.configurationCache.current !== undefined;
    const hasUpstreams = this.directory.listAll().length > 0;
    this.startTimeline.observe({
      configuration: isConfigured,
      upstreams: hasUpstreams,
      first_peer: this.peers.size > 1,
      groups: isConfigured && hasUpstreams && this.groups.knowledge.unknownCount === 0,
      first_response:
        metrics.getCount('outcome_streamed') + metrics.getCount('outcome_answered') > 0,
    });
  }

  private getMaxGapMs(service: ServiceId): number {
    return this.configurationCache.current?.maxGapsMs.get(service) ?? Infinity;
  }

  private getQueue(service: ServiceId): AdmissionQueue {
    let queue = this.queues.get(service);
    if (queue === undefined) {
      queue = new AdmissionQueue(service, this.balancer, this.metrics);
      this.queues.set(service, queue);
    }
    return queue;
  }

  private getReadFlow(service: ServiceId): ReadFlow {
    let flow = this.readFlows.get(service);
    if (flow === undefined) {
      flow = new ReadFlow();
      this.readFlows.set(service, flow);
    }
    return flow;
  }

  private getRepeatBudget(service: ServiceId): SlidingWindowBudget {
    let budget = this.repeatBudgets.get(service);
    if (budget === undefined) {
      const { windowMs, ratio, extra, gateways } = this.settings.repeats;
      budget = new SlidingWindowBudget(windowMs, ratio, extra / gateways);
      this.repeatBudgets.set(service, budget);
    }
    return budget;
  }
}
