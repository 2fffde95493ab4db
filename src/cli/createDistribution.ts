import { randomUUID } from 'node:crypto';
import type { Hello, MessageHandlers } from '../connection/peerLink.js';
import { defaults } from '../defaults.js';
import { ConfigurationDistribution } from '../process/membership/configurationDistribution.js';
import type { Daemon, ProcessOptions } from '../process/types.js';
import { ConfigurationStore } from '../version/configuration/configurationStore.js';

/** Configuration store and distribution of a process. */
export interface ConfigurationParts {
  readonly store: ConfigurationStore;
  /** Passed to the daemon; its `start` does nothing, since `startDistribution` starts the tasks. */
  readonly distribution: Pick<
    ConfigurationDistribution,
    'addLink' | 'handlers' | 'isReady' | 'isLeaving' | 'describe' | 'stop'
  > & { start(): void };
  /** Starts the distribution with the identity of the started daemon. */
  startDistribution(daemon: Daemon): void;
}

/**
 * Creates the configuration store and its distribution.
 *
 * The distribution's tasks start after the daemon, because the hello that they send contains the incarnation that
 * the daemon generates at its start.
 *
 * @param options - Settings of the process
 * @param role - An `entry` opens links to other entries; an `agent` accepts links from entries
 * @returns Store, distribution and start function
 */
export function createDistribution(
  options: ProcessOptions,
  role: 'entry' | 'agent',
): ConfigurationParts {
  let daemon: Daemon | undefined;
  const store = new ConfigurationStore();
  const provisionalHello = createProvisionalHello(options, role);
  const peerHandlers: MessageHandlers = {
    configuration: (message, link) => distribution.handlers.configuration?.(message, link),
    digest: (message, link) => distribution.handlers.digest?.(message, link),
  };
  const distribution = new ConfigurationDistribution({
    self: () => daemon?.createHello() ?? provisionalHello,
    store,
    platformUrl: options.platformUrl,
    seeds: options.seeds,
    ...(role === 'entry' ? { peerLinks: { handlers: peerHandlers, tls: options.tls } } : {}),
  });
  return {
    store,
    distribution: {
      handlers: distribution.handlers,
      addLink: (link) => {
        distribution.addLink(link);
      },
      isReady: () => distribution.isReady(),
      isLeaving: (host, now) => distribution.isLeaving(host, now),
      describe: () => distribution.describe(),
      start: () => undefined,
      stop: () => {
        distribution.stop();
      },
    },
    startDistribution: (started) => {
      daemon = started;
      distribution.start();
    },
  };
}

function createProvisionalHello(options: ProcessOptions, role: 'entry' | 'agent'): Hello {
  const { processId, host, availabilityZone } = options;
  return {
    type: 'hello',
    version: defaults.protocolVersion,
    role,
    processId,
    incarnation: randomUUID(),
    host,
    availabilityZone,
    upstreams: [],
  };
}
