import { maintainLink } from '../../connection/linkClient.js';
import type { Hello, MessageHandlers, PeerLink } from '../../connection/peerLink.js';
import type { TlsMaterial } from '../../connection/tlsOptions.js';
import { defaults } from '../../defaults.js';
import type { ServiceId, UpstreamId } from '../../ids.js';
import type { ConfigurationView } from '../../version/configuration/types.js';
import type { Upstream } from '../../version/ticket/types.js';
import type { Logger } from '../logging.js';
import { AgentState } from './agentState.js';
import { selectSubset } from './selectSubset.js';

const RETIRE_POLL_INTERVAL_MS = 100;
/** Bounds the links outside the subset; the oldest are closed first. */
const MAX_PINNED_UPSTREAMS = 8;
const MIN_LINKS_PER_SERVICE = 2;
/** Maximum time for which an agent keeps an order. */
const ORDER_TTL_MS = defaults.orderSlotTtlMs + defaults.orderMemoryMarginMs;

interface PooledAgent {
  readonly state: AgentState;
  readonly service: ServiceId;
  readonly address: string;
  readonly stopController: AbortController;
}

export interface AgentPoolOptions {
  readonly processId: string;
  readonly linksPerService: number;
  readonly configuration: ConfigurationView;
  readonly handlers: MessageHandlers;
  readonly self: () => Hello;
  readonly tls?: TlsMaterial | undefined;
  readonly logger: Logger;
  /** Whether the platform's live list reports a host as leaving. */
  readonly isLeaving?: ((host: string, now: number) => boolean) | undefined;
  /** End of the last pause of this process. */
  readonly computeRunningSince?: ((now: number) => number) | undefined;
  readonly onLink: (link: PeerLink) => void;
}

/** Maintains links to a bounded subset of each service's agents, as the configuration changes. */
export class AgentPool {
  /** By `upstream@address`; an upstream that moves to another address gets a new agent state. */
  private readonly entries = new Map<string, PooledAgent>();
  private readonly retired = new Set<PooledAgent>();
  /** Time at which an agent was retired, by link address, oldest first. */
  private readonly retiredAddresses = new Map<string, number>();
  private readonly byLink = new Map<PeerLink, AgentState>();
  private readonly byService = new Map<ServiceId, AgentState[]>();
  /** Upstreams outside the subset that are linked to run suspect requests, oldest first. */
  private readonly pinned = new Set<UpstreamId>();

  constructor(private readonly options: AgentPoolOptions) {}

  /** Starts and retires links so that they match the configuration. */
  updateLinks(): void {
    const { configuration, processId, linksPerService } = this.options;
    const desiredKeys = new Set<string>();
    const services = configuration.listServices();
    const limit = computeLinkLimit(linksPerService, services.length);
    for (const service of services) {
      const upstreams = configuration.listUpstreams(service);
      const subset = selectSubset(processId, upstreams, limit);
      const pinned = upstreams.filter((upstream) => this.pinned.has(upstream.id));
      for (const { id, state } of new Set([...subset, ...pinned])) {
        const key = `${id}@${state.address}`;
        desiredKeys.add(key);
        const existing = this.entries.get(key);
        if (existing?.service === service) existing.state.configured = state;
        else this.startLink(key, service, this.createState(id, state));
      }
    }
    for (const [key, entry] of this.entries) if (!desiredKeys.has(key)) this.retire(key, entry);
    this.byService.clear();
    for (const { service, state } of this.entries.values()) {
      const agents = this.byService.get(service) ?? [];
      agents.push(state);
      this.byService.set(service, agents);
    }
  }

  /**
   * Opens links to the upstreams on which a suspect request may run.
   *
   * @param upstreams - Configured upstreams; those that are in the pool already are skipped
   */
  pin(upstreams: readonly UpstreamId[]): void {
    const inUse = new Set([...this.entries.values()].map(({ state }) => state.upstream));
    const absent = upstreams.filter((upstream) => !inUse.has(upstream));
    if (absent.length === 0) return;
    for (const upstream of absent) this.pinned.add(upstream);
    for (const upstream of this.pinned) {
      if (this.pinned.size <= MAX_PINNED_UPSTREAMS) break;
      this.pinned.delete(upstream);
    }
    this.updateLinks();
  }

  /**
   * Lists the agents of a service.
   *
   * @param service - Service id
   * @returns Agents in the pool, with or without an open link
   */
  listAgents(service: ServiceId): readonly AgentState[] {
    return this.byService.get(service) ?? [];
  }

  /**
   * Finds the agent at the other end of a link.
   *
   * @param link - Link
   * @returns The agent, or undefined when the link is closed or not of this pool
   */
  findAgent(link: PeerLink): AgentState | undefined {
    return this.byLink.get(link);
  }

  /** @returns All open links to agents. */
  listLinks(): PeerLink[] {
    return [...this.byLink.keys()];
  }

  /**
   * Checks whether an address belongs to an agent in the pool, or to a retired one that may still
   * hold orders: when a ticket moves an upstream, its orders stay at the previous agent.
   *
   * @param address - Link address, `ip:port`
   * @param now - Current time in milliseconds
   * @returns True for a known address
   */
  hasAddress(address: string, now: number): boolean {
    const retiredAt = this.retiredAddresses.get(address);
    if (retiredAt !== undefined && now - retiredAt < ORDER_TTL_MS) return true;
    return [...this.entries.values()].some((entry) => entry.address === address);
  }

  /** Closes all links. */
  stop(): void {
    for (const entry of [...this.entries.values(), ...this.retired]) entry.stopController.abort();
  }

  /** @returns All agents with link state and load, for the `/dump` endpoint. */
  describe(): unknown {
    return [...this.entries].map(([key, { service, state }]) => ({
      key,
      service,
      peer: state.link?.peer.processId,
      incarnation: state.link?.peer.incarnation,
      inFlight: state.inFlight,
      bufferedBytes: state.link?.bufferedBytes,
      counters: state.link?.counters,
      load: state.toCandidate(),
    }));
  }

  private createState(id: UpstreamId, configured: Upstream): AgentState {
    const { isLeaving, computeRunningSince } = this.options;
    return new AgentState(id, configured, isLeaving, computeRunningSince);
  }

  private startLink(key: string, service: ServiceId, state: AgentState): void {
    const entry = {
      state,
      service,
      address: state.configured.address,
      stopController: new AbortController(),
    };
    const replaced = this.entries.get(key);
    if (replaced !== undefined) this.retire(key, replaced);
    this.entries.set(key, entry);
    const { handlers, self, tls, logger } = this.options;
    void maintainLink({
      address: entry.address,
      handlers,
      self,
      tls,
      signal: entry.stopController.signal,
      onLink: (link) => {
        this.registerLink(state, link);
      },
      onDown: (reason) => {
        logger.debug({ upstream: state.upstream, reason }, 'link to agent closed');
      },
    });
  }

  private registerLink(state: AgentState, link: PeerLink): void {
    state.addLink(link, Date.now());
    this.byLink.set(link, state);
    link.onClose(() => {
      this.byLink.delete(link);
      if (state.link === link) state.removeLink();
    });
    this.options.onLink(link);
  }

  private recordRetiredAddress(address: string, now: number): void {
    for (const [retiredAddress, retiredAt] of this.retiredAddresses) {
      if (now - retiredAt < ORDER_TTL_MS) break;
      this.retiredAddresses.delete(retiredAddress);
    }
    this.retiredAddresses.delete(address);
    this.retiredAddresses.set(address, now);
  }

  /** Removes an agent from the pool and closes its link once the last attempt on it has ended. */
  private retire(key: string, entry: PooledAgent): void {
    this.entries.delete(key);
    this.recordRetiredAddress(entry.address, Date.now());
    this.retired.add(entry);
    const timer = setInterval(() => {
      if (entry.state.inFlight > 0) return;
      clearInterval(timer);
      this.retired.delete(entry);
      entry.stopController.abort();
    }, RETIRE_POLL_INTERVAL_MS);
    timer.unref();
  }
}

/**
 * Computes the maximum number of links to the agents of one service. The sum over all services is
 * bounded because load reports use 28.9 KB/s on 120 links and 13.1 KB/s on 60 links, of the 21 KB/s
 * that a node may use.
 *
 * @param linksPerService - Configured limit
 * @param services - Number of services
 * @returns Number of links, at least `MIN_LINKS_PER_SERVICE`
 */
export function computeLinkLimit(linksPerService: number, services: number): number {
  const share = Math.floor(defaults.maxAgentLinks / Math.max(1, services));
  return Math.max(MIN_LINKS_PER_SERVICE, Math.min(linksPerService, share));
}
