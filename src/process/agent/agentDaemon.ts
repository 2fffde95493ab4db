import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { pollSocketsOnce } from '../../connection/acceptPending.js';
import { LinkServer } from '../../connection/linkServer.js';
import type { Hello, PeerLink } from '../../connection/peerLink.js';
import { defaults } from '../../defaults.js';
import { maxSealedOrders } from '../../protocol/messages.js';
import { SEALED_ORDERS_FEATURE } from '../../request/orders/sealedOrders.js';
import { startOperatorServer } from '../operatorServer.js';
import type { AgentOptions, Daemon } from '../types.js';
import { createHandlers } from './agentHandlers.js';
import { computeLinkGraceEnd, createHello, isOrderPending } from './agentLifecycle.js';
import type { AgentState } from './agentPolicy.js';
import { AgentPolicy } from './agentPolicy.js';
import { readClock } from './clock.js';
import { Dispatcher } from './dispatcher.js';
import type { LoadState } from './loadReport.js';
import { LoadReporter } from './loadReport.js';
import { OrderMemory } from './orderMemory.js';
import { PauseDetector } from '../pauseDetector.js';
import { OrderRunner } from './orderRunner.js';
import { ProgressMonitor } from './progressMonitor.js';
import { RequestRunner } from './requestRunner.js';
import { SuspectTable } from './suspectTable.js';
import type { AgentDependencies } from './types.js';
import { adapterFactories } from './upstreams/registry.js';
import type { UpstreamAdapter } from './upstreams/types.js';
import { checkUpstreamHealth, runHealthChecks } from './upstreamHealth.js';

export type { AgentDependencies, Distribution } from './types.js';

const UPDATE_INTERVAL_MS = 50;
/** Processes take longer to start again at their address. */
const MIN_PAUSE_MS = 250;
const DRAIN_POLL_INTERVAL_MS = 20;
/** Time at the end of a drain in which the links write the final outcomes. */
const FLUSH_MS = 20;
/** Attempts at an upstream that stopped accepting fail after this delay, so that entries can resume them elsewhere. */
const STALL_ABORT_DELAY_MS = 500;
/** Engine priorities, higher first. Work beyond the guaranteed share runs at the lower priority. */
const enginePriorities = { guaranteed: 1, borrowed: 0 } as const;

/**
 * Starts the agent of one upstream.
 *
 * @param options - Settings
 * @param dependencies - Configuration, logger, metrics, configuration distribution and group
 * @returns The running daemon
 */
export async function startAgent(
  options: AgentOptions,
  dependencies: AgentDependencies,
): Promise<Daemon> {
  const agent = new AgentDaemon(options, dependencies);
  await agent.start();
  return agent;
}

class AgentDaemon implements Daemon {
  linkPort = 0;
  operatorPort = 0;
  private readonly incarnation = randomUUID();
  private readonly policy: AgentPolicy;
  private readonly suspects = new SuspectTable();
  private readonly progressMonitor = new ProgressMonitor();
  private readonly stopController = new AbortController();
  private readonly dispatcher: Dispatcher;
  private readonly requests: RequestRunner;
  private readonly reporter: LoadReporter;
  private readonly server: LinkServer;
  private orders: OrderRunner | undefined;
  private memory: OrderMemory | undefined;
  private adapter: UpstreamAdapter | undefined;
  private timer: NodeJS.Timeout | undefined;
  private readonly pauses = new PauseDetector(readClock(), MIN_PAUSE_MS);
  private draining = false;
  private drainEndsAt = 0;
  private linkGraceEndsAt = 0;
  private ordersSealed = false;
  private closeOperatorServer: () => void = () => undefined;
  private removeConfigurationListener: () => void = () => undefined;

  constructor(
    private readonly options: AgentOptions,
    private readonly dependencies: AgentDependencies,
  ) {
    const { logger, metrics } = dependencies;
    this.policy = new AgentPolicy(options, dependencies.configuration);
    this.reporter = new LoadReporter(() => this.describeLoad(), readClock);
    this.dispatcher = new Dispatcher(this.policy.slots, {
      getNominalThroughput: () => (this.policy.kind === 'engine' ? this.policy.tokensPerSecond : 0),
      getShare: (workspace) => this.policy.getShare(workspace),
      getMaxQueued: (workspace) => this.policy.getMaxQueued(workspace),
      readClock,
      onChange: () => {
        this.reporter.schedule();
      },
    });
    this.requests = new RequestRunner({
      dispatcher: this.dispatcher,
      suspects: this.suspects,
      logger,
      metrics,
      readClock,
      getAdapter: () => this.getOrCreateAdapter(),
      getMaxOutputTokens: () => this.policy.maxOutputTokens,
      computePriority: (workspace) => this.computePriority(workspace),
      checkAdmission: (message) => this.policy.checkRequest(message, this.state),
      onTokens: () => {
        this.recordProgress();
      },
      onUpstreamUnavailable: () => {
        this.progressMonitor.recordUnavailable(readClock());
        this.reporter.publish();
      },
    });
    const handlers = createHandlers({
      reporter: this.reporter,
      requests: this.requests,
      getOrderRunner: () => this.orders,
    });
    this.server = new LinkServer({
      host: options.listenHost,
      port: options.linkPort,
      tls: options.tls,
      self: () => this.createHello(),
      handlers: {
        ...dependencies.distribution?.handlers,
        ...dependencies.group?.handlers,
        ...handlers,
      },
      onLink: (link) => {
        this.addLink(link);
      },
      onRefused: (error) => {
        logger.warn({ code: error.code }, 'link refused');
      },
    });
  }

  private get state(): AgentState {
    return { accepting: this.progressMonitor.accepting, draining: this.draining };
  }

  /** Binds the ports and starts the health checks of the upstream. */
  async start(): Promise<void> {
    const { options, dependencies } = this;
    const { port } = await this.server.listen();
    this.linkPort = port;
    const identity = { host: options.host, incarnation: this.incarnation };
    this.memory = new OrderMemory({
      ...identity,
      address: `${options.listenHost}:${port}`,
      ttlMs: options.orderSlotTtlMs ?? defaults.orderSlotTtlMs,
      marginMs: options.orderMemoryMarginMs ?? defaults.orderMemoryMarginMs,
    });
    this.orders = new OrderRunner({
      memory: this.memory,
      dispatcher: this.dispatcher,
      logger: dependencies.logger,
      metrics: dependencies.metrics,
      readClock,
      upstreamUrl: options.upstreamUrl,
      hasPaused: () => this.hasPaused(),
      caller: `${options.host}/${this.incarnation}`,
      getMaxOrderSlots: (workspace) => this.policy.getMaxOrderSlots(workspace),
      checkAdmission: (service) => this.policy.checkSlotRequest(service, this.state),
      checkAccepting: () => this.policy.checkAccepting(this.state),
    });
    const operatorServer = await startOperatorServer({
      host: options.listenHost,
      port: options.operatorPort,
      tls: options.tls,
      routes: {
        '/dump': () => this.dump(),
        '/healthz': () => this.state,
      },
    });
    this.operatorPort = operatorServer.port;
    this.closeOperatorServer = () => {
      operatorServer.close();
    };
    this.removeConfigurationListener = dependencies.configuration.onChange(() => {
      this.dispatcher.updateSlots(this.policy.slots);
      this.reporter.schedule();
    });
    dependencies.distribution?.start();
    dependencies.group?.start(() => this.createHello());
    this.timer = setInterval(() => {
      this.update(readClock());
    }, UPDATE_INTERVAL_MS);
    await this.startHealthChecks();
  }

  createHello(): Hello {
    return createHello(this.options, this.incarnation);
  }

  dump(): unknown {
    return {
      hello: this.createHello(),
      draining: this.draining,
      accepting: this.progressMonitor.accepting,
      dispatch: this.dispatcher.describe(readClock()),
      requests: { accepted: this.requests.count, running: this.requests.runningCount },
      orders: this.memory?.countStates() ?? {},
      suspects: this.suspects
        .list(readClock())
        .map((suspect) => ({ ...suspect, fingerprint: suspect.fingerprint.slice(0, 8) })),
      load: { ...this.describeLoad(), suspects: undefined },
      links: [...this.server.links].map((link) => link.peer.processId),
      configuration: this.dependencies.distribution?.describe(),
      group: this.dependencies.group?.describe(),
      metrics: this.dependencies.metrics.summarize(),
    };
  }

  async drain(): Promise<void> {
    if (!this.draining) {
      this.draining = true;
      const now = readClock();
      this.drainEndsAt = now + this.options.drainLimitMs;
      const latestAt = this.drainEndsAt - DRAIN_POLL_INTERVAL_MS - FLUSH_MS;
      this.linkGraceEndsAt = computeLinkGraceEnd(now, latestAt);
      this.dispatcher.beginDrain(this.options.drainLimitMs, now);
      for (const link of this.server.links) link.send({ type: 'draining' });
      this.reporter.publish();
    }
    while (readClock() < this.drainEndsAt && this.isBusy(readClock())) {
      await sleep(DRAIN_POLL_INTERVAL_MS);
      // After a pause, timers run before the sockets are read, in which answers may wait.
      await pollSocketsOnce();
    }
    this.requests.stopAll('drain');
    this.sealOrders();
    await sleep(FLUSH_MS);
  }

  async stop(): Promise<void> {
    this.stopController.abort();
    clearInterval(this.timer);
    this.reporter.stop();
    this.removeConfigurationListener();
    this.dependencies.distribution?.stop();
    this.requests.stopAll('drain');
    this.sealOrders();
    this.server.close();
    this.closeOperatorServer();
    await this.dependencies.group?.stop();
    await this.adapter?.close();
  }

  /** Settles all orders, and tells the entries which have not run, as its memory ends with this process. */
  private sealOrders(): void {
    if (this.ordersSealed) return;
    this.ordersSealed = true;
    this.orders?.settleAll();
    const sealed = this.memory?.listNotRun() ?? [];
    for (let start = 0; start < sealed.length; start += maxSealedOrders) {
      const orders = sealed.slice(start, start + maxSealedOrders);
      for (const link of this.server.links) {
        if (link.peer.features?.includes(SEALED_ORDERS_FEATURE) !== true) continue;
        link.send({ type: 'ordersSealed', orders });
      }
    }
  }

  private addLink(link: PeerLink): void {
    this.dependencies.distribution?.addLink(link);
    this.dependencies.group?.addLink(link);
    if (this.draining) link.send({ type: 'draining' });
    this.reporter.addLink(link);
    link.onClose(() => {
      this.requests.cancelAttemptsOfLink(link);
    });
  }

  private async startHealthChecks(): Promise<void> {
    const healthCheck = {
      monitor: this.progressMonitor,
      getAdapter: () => this.getOrCreateAdapter(),
      readClock,
      onAcceptingChange: () => {
        this.reporter.publish();
      },
      signal: this.stopController.signal,
    };
    const adapter = this.getOrCreateAdapter();
    if (adapter !== undefined) await checkUpstreamHealth(adapter, healthCheck);
    void runHealthChecks(healthCheck);
  }

  private hasPaused(): boolean {
    return this.pauses.hasPaused(readClock());
  }

  private update(now: number): void {
    this.pauses.recordTick(now);
    const wasAccepting = this.progressMonitor.accepting;
    const isEngine = this.policy.kind === 'engine';
    // A plain service reports no progress during a call, so only its reachability is checked.
    const running = isEngine ? this.requests.runningCount : 0;
    if (this.progressMonitor.update(running, now) !== wasAccepting) this.reporter.publish();
    const { notAcceptingSince } = this.progressMonitor;
    if (notAcceptingSince !== undefined && now - notAcceptingSince >= STALL_ABORT_DELAY_MS) {
      this.requests.stopAll('stalled');
    }
    this.memory?.expire(now);
    this.dispatcher.update(now);
  }

  private recordProgress(): void {
    const wasAccepting = this.progressMonitor.accepting;
    this.progressMonitor.recordProgress(readClock());
    if (!wasAccepting) this.reporter.publish();
  }

  private isBusy(now: number): boolean {
    if (this.requests.count > 0 || now < this.linkGraceEndsAt) return true;
    return isOrderPending(this.orders, this.memory, now);
  }

  private describeLoad(): LoadState {
    const { upstream, service } = this.options;
    return {
      upstream,
      service,
      running: this.dispatcher.runningCount,
      queued: this.dispatcher.queuedCount,
      work: this.dispatcher.work,
      slots: this.dispatcher.slots,
      tokensPerSecond: this.policy.tokensPerSecond,
      accepting: this.progressMonitor.accepting,
      draining: this.draining,
      suspects: this.suspects.list(readClock()),
    };
  }

  private computePriority(workspace: string): number {
    const isGuaranteed = this.dispatcher.isBelowShare(workspace, readClock());
    return isGuaranteed ? enginePriorities.guaranteed : enginePriorities.borrowed;
  }

  private getOrCreateAdapter(): UpstreamAdapter | undefined {
    const { kind } = this.policy;
    if (this.adapter === undefined && kind !== undefined && !this.stopController.signal.aborted) {
      this.adapter = adapterFactories[kind](this.options.upstreamUrl, () => this.hasPaused());
    }
    return this.adapter;
  }
}
