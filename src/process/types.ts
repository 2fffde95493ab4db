import type { TlsMaterial } from '../connection/tlsOptions.js';
import type { Hello } from '../connection/peerLink.js';
import { defaults } from '../defaults.js';
import type { CallerLimits } from '../request/http/types.js';

type EntryLimits = Omit<CallerLimits, 'maxBodyBytes'>;

/** Bounds of callers used unless the settings state others. */
export const defaultEntryLimits: EntryLimits = {
  maxConnections: defaults.maxEntryConnections,
  maxRequestsPerConnection: defaults.maxRequestsPerConnection,
  maxPipelinedRequests: defaults.maxPipelinedRequests,
  maxHeldBytes: defaults.maxEntryHeldBytes,
};

/** Options common to all daemons. */
export interface ProcessOptions {
  readonly processId: string;
  /** Host name or IP address as given in the platform's live list. */
  readonly host: string;
  readonly availabilityZone: string;
  /** Address on which all ports listen and under which peers reach this process. */
  readonly listenHost: string;
  /** Port for links from peers; 0 selects a free port. */
  readonly linkPort: number;
  /** Operator HTTP port (`/dump`, `/healthz`). */
  readonly operatorPort: number;
  /** Base URL of the configuration service; undefined if tests merge objects directly. */
  readonly platformUrl?: string | undefined;
  /** Link addresses (`ip:port`) of the entries to connect to initially. */
  readonly seeds: readonly string[];
  readonly tls?: TlsMaterial | undefined;
  readonly drainLimitMs: number;
}

export interface EntryOptions extends ProcessOptions {
  /** Port of the HTTP API. */
  readonly httpPort: number;
  readonly linksPerService: number;
  readonly maxBodyBytes: number;
  readonly callerLimits?: EntryLimits | undefined;
  readonly routingPolicy: string;
}

export interface AgentOptions extends ProcessOptions {
  readonly upstream: string;
  readonly service: string;
  /** Base URL of the local engine or plain service. */
  readonly upstreamUrl: string;
  /** Concurrent requests to the upstream until the configuration overrides it. */
  readonly slots: number;
  /** Lifetime of an order slot. */
  readonly orderSlotTtlMs?: number | undefined;
  /** Time for which a slot is retained after its expiry. */
  readonly orderMemoryMarginMs?: number | undefined;
}

/** A running daemon. */
export interface Daemon {
  readonly linkPort: number;
  readonly operatorPort: number;
  createHello(): Hello;
  /** Returns the process state for operators, without secrets. */
  dump(): unknown;
  /** Finishes in-flight work and resolves, at the latest after the configured drain limit. */
  drain(): Promise<void>;
  /** Stops immediately without draining. */
  stop(): Promise<void>;
}
