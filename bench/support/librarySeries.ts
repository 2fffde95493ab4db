import { setTimeout as sleep } from 'node:timers/promises';
import { openLink } from '../../src/connection/linkClient.js';
import { LinkServer } from '../../src/connection/linkServer.js';
import type { Hello, PeerLink } from '../../src/connection/peerLink.js';
import { LoadReporter } from '../../src/process/agent/loadReport.js';
import { OrderMemory } from '../../src/process/agent/orderMemory.js';
import { defaults } from '../../src/defaults.js';
import { selectPeers } from '../../src/process/membership/readerElection.js';
import { PeerExchange } from '../../src/process/membership/peerExchange.js';
import { ConfigurationStore } from '../../src/version/configuration/configurationStore.js';
import { hashText } from '../../src/version/configuration/objectHash.js';
import type { StoredObject } from '../../src/version/ticket/types.js';

/** Measures one size in a separate process; the name of each figure contains its unit. */
type MeasureSize = (size: number) => Promise<Record<string, number>>;

const SERVICES = 5;
const ZONES = 7;
const REPETITIONS = 50;
const LINK_WARM_UP_MS = 1_000;
const LINK_MEASURE_MS = 5_000;
const MICROSECONDS_PER_MS = 1_000;
const HASH_DIGITS = 64;

function readHeap(): number {
  for (let round = 0; round < 3; round += 1) globalThis.gc?.();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

function readCpuMicroseconds(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

const createState: Record<string, (id: number) => unknown> = {
  workspace: (id) => ({
    tokenHashes: [hashText(`token ${id}`).toString(16).padStart(HASH_DIGITS, '0')],
    shares: Object.fromEntries(
      Array.from({ length: SERVICES }, (_, service) => [`service-${service}`, 0.0001]),
    ),
    maxQueued: 256,
    maxOrderSlots: 10_000,
  }),
  service: () => ({ kind: 'engine', repeatable: true, orders: false }),
  upstream: (id) => ({
    service: `service-${id % SERVICES}`,
    host: `host-${id}`,
    availabilityZone: `zone-${id % 7}`,
    address: `10.0.${id >> 8}.${id & 255}:7100`,
    slots: 32,
    tokensPerSecond: 400,
  }),
};

function createObjects(kind: string, count: number, ticket: number): StoredObject[] {
  return Array.from({ length: count }, (_, id) => ({
    key: `${kind}/${kind}-${id}`,
    ticket,
    state: createState[kind]?.(id),
  }));
}

function measureObjects(kind: string): MeasureSize {
  return (size) => {
    const store = new ConfigurationStore();
    store.mergeObjects(createObjects(kind, 10, 1));
    const before = readHeap();
    store.mergeObjects(createObjects(kind, size, 2));
    const memory_bytes = readHeap() - before;
    if (store.countObjects() !== size) throw new Error('objects were refused');
    return Promise.resolve({ memory_bytes });
  };
}

const measureMerge: MeasureSize = (size) => {
  const store = new ConfigurationStore();
  store.mergeObjects(createObjects('workspace', 7_000, 1));
  const objects = createObjects('workspace', size, 2);
  const start = readCpuMicroseconds();
  for (const object of objects) store.mergeObjects([object]);
  const merged = readCpuMicroseconds();
  for (const object of objects) store.mergeObjects([{ ...object }]);
  const repeated_us = readCpuMicroseconds() - merged;
  return Promise.resolve({ merge_us: merged - start, repeated_us });
};

const measureDigest: MeasureSize = (size) => {
  const store = new ConfigurationStore();
  store.mergeObjects(createObjects('workspace', size, 1));
  const exchange = new PeerExchange(store, Date.now, () => true);
  let bytes = 0;
  const link = {
    peer: { processId: 'peer' },
    send: (message: unknown) => {
      bytes += JSON.stringify(message).length;
      return true;
    },
  } as unknown as PeerLink;
  const buckets = store.digest();
  const start = readCpuMicroseconds();
  for (let round = 0; round < REPETITIONS; round += 1) {
    exchange.handleDigest({ type: 'digest', buckets, reply: true }, link);
  }
  const digest_us = (readCpuMicroseconds() - start) / REPETITIONS;
  const digest_json_bytes = bytes / REPETITIONS;
  exchange.addLink(Object.assign(link, { isOpen: true, onClose: () => undefined }));
  bytes = 0;
  exchange.requestRandomSync(0);
  return Promise.resolve({ digest_us, digest_json_bytes, root_json_bytes: bytes });
};

const measureOrders: MeasureSize = (size) => {
  const identity = { address: '127.0.0.1:7100', host: 'agent', incarnation: 'one' };
  const memory = new OrderMemory({ ...identity, ttlMs: 120_000, marginMs: 60_000 });
  const owner = { workspace: 'branch-ikeja', service: 'payout-ledger' };
  const now = Date.now();
  memory.issue(owner, 10, Infinity, now);
  const before = readHeap();
  const start = readCpuMicroseconds();
  const issued = memory.issue(owner, size, Infinity, now);
  const issue_us = readCpuMicroseconds() - start;
  issued.unwrap().length = 0;
  const memory_bytes = readHeap() - before;
  memory.expire(now);
  return Promise.resolve({ memory_bytes, issue_us });
};

function createHello(processId: string): Hello {
  return {
    type: 'hello',
    version: 1,
    role: 'agent',
    processId,
    incarnation: processId,
    host: processId,
    availabilityZone: 'zone-1',
    upstreams: [],
  };
}

/** Opens links with both ends in this process; figures are for one end, half of the process. */
function measureLinks(withLoadReports: boolean): MeasureSize {
  return async (size) => {
    const handlers = { load: () => undefined };
    const accepted: PeerLink[] = [];
    const server = new LinkServer({
      host: '127.0.0.1',
      port: 0,
      self: () => createHello('entry'),
      handlers,
      onLink: (link) => accepted.push(link),
    });
    const { port } = await server.listen();
    const before = readHeap();
    const residentBefore = process.memoryUsage.rss();
    const address = `127.0.0.1:${port}`;
    const opened: PeerLink[] = [];
    for (let index = 0; index < size; index += 1) {
      const self = (): Hello => createHello(`agent-${index}`);
      const link = (await openLink({ address, self, handlers })).unwrap();
      opened.push(link);
      if (withLoadReports) createReporter(index).addLink(link);
    }
    await sleep(LINK_WARM_UP_MS);
    const memory_bytes = (readHeap() - before) / 2;
    const resident_bytes = (process.memoryUsage.rss() - residentBefore) / 2;
    const sumBytes = (links: readonly PeerLink[]): number =>
      links.reduce((sum, { counters }) => sum + counters.bytesSent + counters.bytesReceived, 0);
    const bytesBefore = sumBytes(accepted);
    const start = readCpuMicroseconds();
    const startedAt = performance.now();
    await sleep(LINK_MEASURE_MS);
    const seconds = (performance.now() - startedAt) / 1000;
    const used = (readCpuMicroseconds() - start) / seconds / 2;
    const payload_bytes_per_s = (sumBytes(accepted) - bytesBefore) / seconds;
    const core_percent = (used / MICROSECONDS_PER_MS / 1_000) * 100;
    return { memory_bytes, resident_bytes, payload_bytes_per_s, core_percent };
  };
}

function createReporter(index: number): LoadReporter {
  const state = {
    upstream: `relief-assistant-${index}`,
    service: 'relief-assistant',
    running: 17,
    queued: 3,
    work: 9_000,
    slots: 32,
    tokensPerSecond: 400,
    accepting: true,
    draining: false,
    suspects: [],
  };
  return new LoadReporter(() => state, Date.now);
}

/** Counts the links between entries that `selectPeers` selects in a fleet of seven zones. */
const measurePeerLinks: MeasureSize = (size) => {
  const entries = Array.from({ length: size }, (_, index) => ({
    host: `entry-${index}`,
    availabilityZone: `zone-${index % ZONES}`,
    address: `10.1.${index >> 8}.${index & 255}:7100`,
  }));
  const counts = new Map<string, number>();
  const countLink = (host: string): unknown => counts.set(host, (counts.get(host) ?? 0) + 1);
  const pairs = new Set<string>();
  for (const entry of entries) {
    for (const peer of selectPeers(entry, entries, defaults.readersPerZone)) {
      pairs.add([entry.host, peer.host].sort().join(' '));
    }
  }
  for (const pair of pairs) for (const host of pair.split(' ')) countLink(host);
  const sorted = [...counts.values()].sort((left, right) => left - right);
  const median_links = sorted[Math.floor(sorted.length / 2)] ?? 0;
  return Promise.resolve({ median_links, most_links: sorted.at(-1) ?? 0 });
};

/** Sizes of each series. */
export const seriesSizes: Readonly<Record<string, readonly number[]>> = {
  workspaces: [1_000, 3_000, 5_000, 7_000],
  services: [50, 200, 500],
  upstreams: [700, 1_400, 2_800],
  merges: [1_000, 3_000, 6_300],
  digests: [1_000, 3_500, 7_000],
  orderSlots: [1_000, 5_000, 10_000],
  entries: [85, 170, 340],
  idleLinks: [30, 60, 120],
  loadLinks: [30, 60, 120],
};

const measures: Readonly<Record<string, MeasureSize>> = {
  workspaces: measureObjects('workspace'),
  services: measureObjects('service'),
  upstreams: measureObjects('upstream'),
  merges: measureMerge,
  digests: measureDigest,
  orderSlots: measureOrders,
  entries: measurePeerLinks,
  idleLinks: measureLinks(false),
  loadLinks: measureLinks(true),
};

const [, , name = '', size = ''] = process.argv;
const measure = Object.hasOwn(measures, name) ? measures[name] : undefined;
if (measure !== undefined && Number(size) > 0) {
  process.stdout.write(`${JSON.stringify(await measure(Number(size)))}\n`);
  process.exit(0);
}
