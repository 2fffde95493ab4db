import { LinkServer } from '../../src/connection/linkServer.js';
import type { Hello, PeerLink } from '../../src/connection/peerLink.js';
import { ConfigurationDistribution } from '../../src/process/membership/configurationDistribution.js';
import type { DistributionTimings } from '../../src/process/membership/types.js';
import { ConfigurationStore } from '../../src/version/configuration/configurationStore.js';

/** Entry without callers: real links, configuration store and configuration distribution only. */
export interface ConfigurationNode {
  readonly hello: Hello;
  readonly address: string;
  readonly port: number;
  readonly store: ConfigurationStore;
  readonly distribution: ConfigurationDistribution;
  /** Closes the links to these hosts and refuses new ones; an empty list ends the partition. */
  setIsolatedHosts(hosts: readonly string[]): void;
  close(): void;
}

let startCount = 0;

/**
 * Starts a node on the loopback address.
 *
 * @param options - Identity, platform, seeds and timings
 * @returns The running node
 */
export async function startConfigurationNode(options: {
  host: string;
  availabilityZone: string;
  port?: number;
  platformUrl?: string;
  seeds?: readonly string[];
  timings?: Partial<DistributionTimings>;
  random?: () => number;
}): Promise<ConfigurationNode> {
  startCount += 1;
  const hello: Hello = {
    type: 'hello',
    version: 1,
    role: 'entry',
    processId: options.host,
    incarnation: `${options.host}-${startCount}`,
    host: options.host,
    availabilityZone: options.availabilityZone,
    upstreams: [],
  };
  const store = new ConfigurationStore();
  const handlers = {};
  const links = new Set<PeerLink>();
  let isolatedHosts: ReadonlySet<string> = new Set();
  const addLink = (link: PeerLink): void => {
    links.add(link);
    link.onClose(() => links.delete(link));
    if (isolatedHosts.has(link.peer.host)) link.destroy('closed');
  };
  const distribution = new ConfigurationDistribution({
    self: () => hello,
    store,
    platformUrl: options.platformUrl,
    seeds: options.seeds ?? [],
    peerLinks: { handlers, onLink: addLink },
    ...(options.timings === undefined ? {} : { timings: options.timings }),
    ...(options.random === undefined ? {} : { random: options.random }),
  });
  Object.assign(handlers, distribution.handlers);
  const server = new LinkServer({
    host: '127.0.0.1',
    port: options.port ?? 0,
    self: () => hello,
    handlers,
    onLink: (link) => {
      addLink(link);
      if (link.isOpen && !isolatedHosts.has(link.peer.host)) distribution.addLink(link);
    },
  });
  const { port } = await server.listen();
  distribution.start();
  const close = (): void => {
    distribution.stop();
    server.close();
  };
  const setIsolatedHosts = (hosts: readonly string[]): void => {
    isolatedHosts = new Set(hosts);
    for (const link of links) if (isolatedHosts.has(link.peer.host)) link.destroy('closed');
  };
  return {
    setIsolatedHosts,
    hello,
    address: `127.0.0.1:${port}`,
    port,
    store,
    distribution,
    close,
  };
}
