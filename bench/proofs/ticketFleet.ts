import { setTimeout as sleep } from 'node:timers/promises';
import { PlatformClient } from '../../src/process/membership/platformClient.js';
import { parsePublishedValue } from '../../src/version/ticket/publishedValue.js';
import { startConfigurationNode } from '../../test/standins/configurationNode.js';

const BASELINE_WATCH_TIMEOUT_MS = 2_000;
const BASELINE_RETRY_INTERVAL_MS = 200;
const BASELINE_REQUEST_TIMEOUT_MS = 2_000;

/** One process of the measured fleet, independent of how it receives its configuration. */
export interface FleetNode {
  readonly host: string;
  readonly port: number;
  getTicket(key: string): number;
  isReady(): boolean;
  isReader(): boolean;
  /** Pauses and resumes the process, as SIGSTOP and SIGCONT do; undefined if not supported. */
  readonly setPaused?: (paused: boolean) => void;
  /** Closes the links to these hosts and uses no new ones; an empty list heals the partition. */
  setIsolatedHosts(hosts: readonly string[]): void;
  /** Terminates the node without notifying its peers. */
  close(): void;
}

export interface FleetNodeOptions {
  readonly host: string;
  readonly availabilityZone: string;
  readonly port: number;
  readonly platformUrl: string;
  readonly seeds: readonly string[];
  /** Uniform values in [0, 1). */
  readonly random: () => number;
  /** Called after the ticket number of an object changed; `now` in milliseconds. */
  readonly onChange: (key: string, now: number) => void;
}

export type StartFleetNode = (options: FleetNodeOptions) => Promise<FleetNode>;

/** Starts a node with the project's store and distribution at default settings. */
export const startDistributedNode: StartFleetNode = async (options) => {
  const { onChange, ...rest } = options;
  const node = await startConfigurationNode(rest);
  node.store.onChange((keys) => {
    for (const key of keys) onChange(key, Date.now());
  });
  return {
    host: options.host,
    port: node.port,
    getTicket: (key) => node.store.getObject(key)?.ticket ?? 0,
    isReady: () => node.distribution.isReady(),
    setIsolatedHosts: (hosts) => {
      node.setIsolatedHosts(hosts);
    },
    isReader: () => (node.distribution.describe() as { reader: boolean }).reader,
    close: () => {
      node.close();
    },
  };
};

/** Starts a baseline node, which watches the platform itself and accepts every response. */
export const startBaselineNode: StartFleetNode = (options) => {
  const client = new PlatformClient(options.platformUrl, BASELINE_REQUEST_TIMEOUT_MS);
  const tickets = new Map<string, number>();
  const stopController = new AbortController();
  let ready = false;
  const readKeys = async (keys: readonly { key: string; revision: number }[]): Promise<boolean> => {
    for (const { key } of [...keys].sort((left, right) => left.revision - right.revision)) {
      const text = await client.readValue(key);
      if (text.isErr()) return false;
      const objects = parsePublishedValue(key, text.value);
      for (const object of objects.unwrapOr([])) {
        tickets.set(object.key, object.ticket);
        options.onChange(object.key, Date.now());
      }
    }
    return true;
  };
  const run = async (): Promise<void> => {
    let revision = 0;
    while (!stopController.signal.aborted) {
      const listed = await client.watchKeys(
        'tickets/',
        revision,
        BASELINE_WATCH_TIMEOUT_MS,
        stopController.signal,
      );
      // A response with an older revision replaces the state with the platform's current one.
      const isOlder = listed.isOk() && listed.value.revision < revision;
      const accepted = isOlder ? await client.listKeys('tickets/', 0) : listed;
      if (accepted.isOk() && (await readKeys(accepted.value.keys))) {
        revision = accepted.value.revision;
        ready = true;
      } else await sleep(BASELINE_RETRY_INTERVAL_MS);
    }
  };
  void run();
  return Promise.resolve({
    host: options.host,
    port: options.port,
    getTicket: (key) => tickets.get(key) ?? 0,
    isReady: () => ready,
    isReader: () => true,
    setIsolatedHosts: () => undefined,
    close: () => {
      stopController.abort();
      client.close();
    },
  });
};
