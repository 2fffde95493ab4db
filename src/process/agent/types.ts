import type { MessageHandlers, PeerLink } from '../../connection/peerLink.js';
import type { ConfigurationView } from '../../version/configuration/types.js';
import type { GroupHook } from '../group/types.js';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';

/** Distributes configuration to and from linked processes. */
export interface Distribution {
  addLink(link: PeerLink): void;
  readonly handlers: MessageHandlers;
  isReady(): boolean;
  describe(): unknown;
  start(): void;
  stop(): void;
}

export interface AgentDependencies {
  readonly configuration: ConfigurationView;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly distribution?: Distribution;
  /** Set when the upstream is a member of a group of ranks. */
  readonly group?: GroupHook;
}
