import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { maintainLink, openLink } from '../../connection/linkClient.js';
import { LinkServer } from '../../connection/linkServer.js';
import type { Hello, MessageHandlers, PeerLink } from '../../connection/peerLink.js';
import { defaults } from '../../defaults.js';
import type { ServiceId, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import { HttpServer } from '../../request/http/httpServer.js';
import { CallTable } from '../../request/orders/callTable.js';
import type { AgentDirectory } from '../../request/orders/orderDispatcher.js';
import { OrderDispatcher } from '../../request/orders/orderDispatcher.js';
import { SEALED_ORDERS_FEATURE, SealedOrders } from '../../request/orders/sealedOrders.js';
import { RetryBudgets } from '../../request/retry/retryBudget.js';
import { routingPolicies } from '../../request/routing/registry.js';
import type { OperatorServer } from '../operatorServer.js';
import { startOperatorServer } from '../operatorServer.js';
import { PauseDetector } from '../pauseDetector.js';
import type { EntryOptions } from '../types.js';
import { defaultEntryLimits } from '../types.js';
import { AgentPool } from './agentPool.js';
import { AttemptTable } from './attemptTable.js';
import { mergeHandlers } from './mergeHandlers.js';
import { RequestRunner } from './requestRunner.js';
import { SuspectList } from './suspectList.js';
import type { EntryDaemon, EntryDependencies } from './types.js';

/** Time to flush the final responses of cancelled requests. */
const CANCEL_FLUSH_MS = 200;
const STALL_POLL_INTERVAL_MS = 200;
const EXPIRY_INTERVAL_MS = 10_000;
/** A shorter gap occurs in a busy process; a longer one must not make up for most of the stall time-out. */
const MIN_PAUSE_MS = defaults.stallTimeoutMs / 2;

/**
 * Starts an entry.
 *
 * @param options - Settings
 * @param dependencies - Configuration, its distribution, logger and metrics
 * @returns The running entry
 * @throws Error when a port cannot be bound or the routing policy is unknown
 */
export async function startEntry(
  options: EntryOptions,
  dependencies: EntryDependencies,
): Promise<EntryDaemon> {
  const entry = new Entry(options, dependencies);
  await entry.start();
  return entry;
}

class Entry implements EntryDaemon {
  linkPort = 0;
  operatorPort = 0;
  httpPort = 0;
  private readonly incarnation = randomBytes(12).toString('base64url');
  private readonly attempts: AttemptTable;
  private readonly calls = new CallTable();
  private readonly sealedOrders = new SealedOrders();
  private readonly suspects = new SuspectList();
  private readonly budgets = new RetryBudgets();
  private readonly handlers: MessageHandlers;
  private readonly pool: AgentPool;
  private readonly runner: RequestRunner;
  private readonly orders: OrderDispatcher;
  private readonly http: HttpServer;
  private readonly linkServer: LinkServer;
  private readonly stopController = new AbortController();
  private readonly pauses = new PauseDetector(Date.now(), MIN_PAUSE_MS);
  private operatorServer: OperatorServer | undefined;
  private draining = false;
  /** Time at which the drain cancels the unfinished requests, in milliseconds. */
  private drainEnd = Number.POSITIVE_INFINITY;
  private readonly removeListener: () => void;
  private readonly expiryTimer: NodeJS.Timeout;
  private readonly stallTimer: NodeJS.Timeout;

  constructor(
    private readonly options: EntryOptions,
    private readonly dependencies: EntryDependencies,
  ) {
    const { configuration, metrics, logger, distribution } = dependencies;
    const policy = routingPolicies[options.routingPolicy];
    if (policy === undefined) throw new Error(`unknown routing policy ${options.routingPolicy}`);
    this.attempts = new AttemptTable(metrics);
    this.handlers = mergeHandlers([
      this.createHandlers(),
      this.attempts.handlers,
      this.calls.handlers,
      distribution?.handlers ?? this.createMergeHandlers(),
    ]);
    const self = (): Hello => this.createHello();
    const { handlers, attempts, suspects, budgets } = this;
    this.pool = new AgentPool({
      ...options,
      configuration,
      handlers,
      self,
      logger,
      isLeaving: (host, now) => distribution?.isLeaving?.(host, now) ?? false,
      computeRunningSince: (now) => this.pauses.computeRunningSince(now),
      onLink: (link) => {
        this.addLink(link);
      },
    });
    const { pool } = this;
    const listUpstreams = (service: ServiceId): UpstreamId[] =>
      configuration.listUpstreams(service).map(({ id }) => id);
    const runnerDependencies = {
      pool,
      attempts,
      suspects,
      budgets,
      policy,
      metrics,
      listUpstreams,
      getDrainEnd: () => this.drainEnd,
    };
    this.runner = new RequestRunner(runnerDependencies);
    this.orders = new OrderDispatcher(this.calls, this.createAgentDirectory(), this.sealedOrders);
    this.http = new HttpServer({
      configuration,
      runner: this.runner,
      orders: this.orders,
      metrics,
      logger,
      limits: {
        ...defaultEntryLimits,
        ...options.callerLimits,
        maxBodyBytes: options.maxBodyBytes,
      },
      isDraining: () => this.draining,
      getDrainEnd: () => this.drainEnd,
      isReady: () => distribution?.isReady() ?? true,
    });
    this.linkServer = new LinkServer({
      host: options.listenHost,
      port: options.linkPort,
      self,
      tls: options.tls,
      handlers,
      onLink: (link) => {
        this.addLink(link);
      },
    });
    this.removeListener = configuration.onChange((keys) => {
      if (keys.some((key) => !key.startsWith('workspace/'))) this.pool.updateLinks();
    });
    this.expiryTimer = setInterval(() => {
      this.suspects.expire(Date.now());
      this.budgets.removeFull(Date.now());
    }, EXPIRY_INTERVAL_MS);
    this.expiryTimer.unref();
    this.stallTimer = setInterval(() => {
      const now = Date.now();
      this.pauses.recordTick(now);
      this.attempts.failStalled(now);
    }, STALL_POLL_INTERVAL_MS);
    this.stallTimer.unref();
  }

  /** Binds the ports and starts the links. */
  async start(): Promise<void> {
    const { options } = this;
    this.linkPort = (await this.linkServer.listen()).port;
    this.operatorServer = await startOperatorServer({
      host: options.listenHost,
      port: options.operatorPort,
      tls: options.tls,
      routes: {
        '/dump': () => this.dump(),
        '/healthz': () => this.describeHealth(),
        '/explain': (query) => this.explain(query),
      },
    });
    this.operatorPort = this.operatorServer.port;
    this.pool.updateLinks();
    for (const seed of options.seeds) this.startSeedLink(seed);
    this.dependencies.distribution?.start();
    this.httpPort = await this.http.listen(options.httpPort, options.listenHost);
  }

  createHello(): Hello {
    const { processId, host, availabilityZone } = this.options;
    return {
      type: 'hello',
      version: defaults.protocolVersion,
      role: 'entry',
      processId,
      incarnation: this.incarnation,
      host,
      availabilityZone,
      upstreams: [],
      features: [SEALED_ORDERS_FEATURE],
    };
  }

  dump(): unknown {
    const now = Date.now();
    return {
      hello: this.createHello(),
      ...this.describeHealth(),
      requests: this.http.activeRequests,
      callers: this.http.describeCallers(),
      attempts: this.attempts.size,
      orderCalls: this.calls.size,
      agents: this.pool.describe(),
      peers: [...this.linkServer.links].map(({ peer, counters }) => ({
        processId: peer.processId,
        role: peer.role,
        counters,
      })),
      retryBudgets: this.budgets.describe(),
      suspects: this.suspects.describe(now),
      distribution: this.dependencies.distribution?.describe(),
      metrics: this.dependencies.metrics.summarize(),
    };
  }

  async drain(): Promise<void> {
    this.draining = true;
    this.drainEnd = Date.now() + this.options.drainLimitMs;
    for (const link of this.linkServer.links) link.send({ type: 'draining' });
    await this.http.stopAccepting();
    await this.http.waitUntilIdle(AbortSignal.timeout(this.options.drainLimitMs));
    await this.stop();
  }

  async stop(): Promise<void> {
    this.draining = true;
    await this.cancelRequests();
    clearInterval(this.expiryTimer);
    clearInterval(this.stallTimer);
    this.removeListener();
    this.stopController.abort();
    this.dependencies.distribution?.stop();
    this.http.close();
    this.pool.stop();
    this.linkServer.close();
    this.operatorServer?.close();
  }

  /** Cancels unfinished requests and waits until their final responses are flushed. */
  private async cancelRequests(): Promise<void> {
    const unfinished = this.http.activeRequests;
    if (unfinished === 0) return;
    this.dependencies.logger.warn({ unfinished }, 'cancelling unfinished requests');
    this.http.cancelReads();
    this.runner.cancelAll();
    this.orders.stop();
    this.calls.failAll();
    await sleep(CANCEL_FLUSH_MS);
  }

  private describeHealth(): { ready: boolean; draining: boolean } {
    const ready = this.dependencies.distribution?.isReady() ?? true;
    return { ready: ready && !this.draining, draining: this.draining };
  }

  private explain(query: URLSearchParams): unknown {
    const service = toId<ServiceId>(query.get('service') ?? '');
    return this.runner.explain(service, query.get('prefix') ?? '', Date.now());
  }

  private addLink(link: PeerLink): void {
    link.onClose(() => {
      this.attempts.failLink(link);
      this.calls.failLink(link);
    });
    this.dependencies.distribution?.addLink(link);
  }

  private createHandlers(): MessageHandlers {
    return {
      load: (message, link) => {
        const now = Date.now();
        this.pool.findAgent(link)?.applyReport(message, now);
        const { processId, incarnation } = link.peer;
        this.suspects.applyReport(`${processId}/${incarnation}`, message.suspects, now);
      },
      draining: (_message, link) => this.pool.findAgent(link)?.markDraining(),
      ordersSealed: ({ orders }, link) => {
        this.sealedOrders.record(orders, link.peer, Date.now());
      },
    };
  }

  /** Without a distribution, objects received from peers are merged but not forwarded. */
  private createMergeHandlers(): MessageHandlers {
    const { configuration } = this.dependencies;
    return { configuration: ({ objects }) => configuration.mergeObjects?.(objects) };
  }

  private createAgentDirectory(): AgentDirectory {
    const { configuration } = this.dependencies;
    return {
      availabilityZone: this.options.availabilityZone,
      listAgents: (service) => this.pool.listAgents(service),
      listLinks: () => this.pool.listLinks(),
      isKnownAddress: (address) =>
        this.pool.hasAddress(address, Date.now()) ||
        configuration
          .listServices()
          .some((service) =>
            configuration.listUpstreams(service).some(({ state }) => state.address === address),
          ),
      openLink: (address) => this.openOrderLink(address),
    };
  }

  private async openOrderLink(address: string): Promise<PeerLink | undefined> {
    const { handlers } = this.calls;
    const { tls } = this.options;
    const opened = await openLink({ address, handlers, self: () => this.createHello(), tls });
    if (opened.isErr()) return undefined;
    const link = opened.value;
    link.onClose(() => {
      this.calls.failLink(link);
    });
    return link;
  }

  private startSeedLink(address: string): void {
    const { handlers } = this;
    void maintainLink({
      address,
      handlers,
      self: () => this.createHello(),
      tls: this.options.tls,
      signal: this.stopController.signal,
      onLink: (link) => {
        this.addLink(link);
      },
      onDown: (reason) => {
        this.dependencies.logger.debug({ address, reason }, 'link to entry closed');
      },
    });
  }
}
