import type { MessageHandlers, PeerLink } from '../../connection/peerLink.js';
import type { ConfigurationView } from '../../version/configuration/types.js';
import type { StoredObject } from '../../version/ticket/types.js';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';
import type { Daemon } from '../types.js';

/** Distributes configuration objects over the links between processes. */
export interface EntryDistribution {
  readonly handlers: MessageHandlers;
  addLink(link: PeerLink): void;
  /** Whether enough configuration has been merged to accept traffic. */
  isReady(): boolean;
  /** Whether the platform's live list reports a host as leaving. */
  isLeaving?(host: string, now: number): boolean;
  describe(): unknown;
  start(): void;
  stop(): void;
}

export interface EntryDependencies {
  readonly configuration: ConfigurationView & {
    mergeObjects?(objects: readonly StoredObject[]): unknown;
  };
  readonly distribution?: EntryDistribution;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export interface EntryDaemon extends Daemon {
  readonly httpPort: number;
}
