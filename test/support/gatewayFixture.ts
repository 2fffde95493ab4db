import { request } from 'undici';
import { createLogger } from '../../src/process/logging.js';
import { GatewayDaemon } from '../../src/process/gateway/gatewayDaemon.js';
import type { HeaderCodec } from '../../src/process/gateway/types.js';
import type { GatewaySettings } from '../../src/process/settings/gatewaySettings.js';
import {
  defaultCallerLimits,
  defaultResponseLimits,
} from '../../src/process/settings/gatewaySettings.js';
import { headerCodec } from '../../platform/headerCodec.js';
import { engineProbe } from '../../platform/rankEngineClient.js';
import { StoreClient } from '../../platform/storeClient.js';
import type { StoreStandIn } from '../standins/platformStore.js';
import { startPlatformStore } from '../standins/platformStore.js';
import type { WorkerStandIn } from '../standins/platformWorker.js';
import { startPlatformWorker } from '../standins/platformWorker.js';
import { reservePorts } from './ports.js';
import { waitUntil } from './waiting.js';

/** Fields of a worker that its entry in the upstream list names. */
export type PublishedWorker = Pick<WorkerStandIn, 'id' | 'port'>;

export interface GatewayFixture {
  readonly store: StoreStandIn;
  /** One store per gateway with `separateStores`, otherwise one; all hold the same items. */
  readonly stores: readonly StoreStandIn[];
  readonly workers: WorkerStandIn[];
  readonly gateways: GatewayDaemon[];
  readonly urls: string[];
  publishWorker(worker: PublishedWorker, fields?: object): void;
  publishConfiguration(version: number, fields?: object): void;
  /** Starts the next gateway when `started` has left some out; resolves without waiting until it is ready. */
  startNextGateway(): Promise<void>;
  close(): Promise<void>;
}

export interface GatewayResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** The response body was terminated according to its framing. */
  readonly isComplete: boolean;
}

const routes = [
  { name: 'chat', prefix: '/chat/', routeType: 'streaming', resumable: true, maxAttempts: 2 },
  { name: 'talk', prefix: '/talk/', routeType: 'streaming', resumable: false, maxAttempts: 2 },
  { name: 'lookup', prefix: '/lookup/', routeType: 'idempotent', maxAttempts: 2 },
  { name: 'pay', prefix: '/pay/', routeType: 'non_idempotent', maxAttempts: 2 },
  { name: 'open', prefix: '/open/', routeType: 'idempotent', maxAttempts: 2, public: true },
];

/**
 * Starts a platform store, workers and gateways in this process.
 *
 * @param options - Numbers of workers and gateways, and settings overrides
 * @returns The running fixture
 */
export async function startGatewayFixture(
  options: {
    workers?: number;
    /** Workers started by the test, published beside those that the fixture starts. */
    ownWorkers?: readonly PublishedWorker[];
    gateways?: number;
    settings?: Partial<GatewaySettings>;
    /** Functions of the header codec to replace. */
    codec?: Partial<HeaderCodec>;
    separateStores?: boolean;
    /** Number of gateways that are started at once, all by default. */
    started?: number;
    /** Initial value of the era header of the stores, which they do not send by default. */
    era?: number;
    /** Called when a gateway listens but has not yet read the store. */
    onListening?: (url: string, store: StoreStandIn) => void;
  } = {},
): Promise<GatewayFixture> {
  const count = options.gateways ?? 1;
  const store = await startPlatformStore();
  const stores = [store];
  while (options.separateStores === true && stores.length < count) {
    stores.push(await startPlatformStore());
  }
  const putInAllStores = (key: string, value: unknown): void => {
    for (const target of stores) target.put(key, value);
  };
  for (const target of stores) target.era = options.era;
  const workers: WorkerStandIn[] = [];
  for (let index = 0; index < (options.workers ?? 2); index += 1) {
    workers.push(await startPlatformWorker(`i-${index}`));
  }
  const publishWorker = (worker: PublishedWorker, fields: object = {}): void => {
    putInAllStores(`servers/${worker.id}`, {
      service: 'assistant',
      address: `127.0.0.1:${worker.port}`,
      zone: 'a',
      version: 'v1',
      slots: 4,
      state: 'ready',
      coldLeftMs: 0,
      seq: 1,
      born: 1,
      ...fields,
    });
  };
  const publishConfiguration = (version: number, fields: object = {}): void => {
    putInAllStores('op/config', {
      version,
      routes: routes.map((route) => ({
        host: 'app.example',
        timeoutMs: 3000,
        targetLatencyMs: 400,
        targetGapMs: 120,
        priority: 1,
        service: 'assistant',
        public: false,
        ...route,
      })),
      services: [{ name: 'assistant', healthPath: '/health', maxConns: 100 }],
      limits: {
        maxHeaderBytes: 16384,
        maxBodyBytes: 4096,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15000,
      },
      tenants: [{ name: 'branch', apiKeys: ['key-1', 'key-2'], priority: 1 }],
      ...fields,
    });
  };
  publishConfiguration(1);
  for (const worker of [...workers, ...(options.ownWorkers ?? [])]) publishWorker(worker);
  const ports = await reservePorts(count * 3);
  const seeds = ports.slice(0, count).map((port) => `127.0.0.1:${port}`);
  const gateways: GatewayDaemon[] = [];
  const urls: string[] = [];
  const startNextGateway = async (): Promise<number> => {
    const index = gateways.length;
    const [linkPort = 0, frontPort = 0, readyPort = 0] = [
      index,
      count + index,
      2 * count + index,
    ].map((position) => ports[position]);
    const settings: GatewaySettings = {
      processId: `gateway-${index}`,
      availabilityZone: 'a',
      logLevel: 'info',
      host: '127.0.0.1',
      frontPort,
      readyPort,
      linkAddress: `127.0.0.1:${linkPort}`,
      seeds,
      metricsPort: 0,
      storeAddress: `127.0.0.1:${(stores[index] ?? store).port}`,
      keyRevocationLimitMs: 5000,
      stopLimitMs: 8000,
      repeats: { windowMs: 10_000, ratio: 0.2, extra: 90, gateways: 1 },
      maxUpstreamPauseMs: 300_000,
      callers: defaultCallerLimits,
      responses: defaultResponseLimits,
      ...options.settings,
    };
    const source = new StoreClient(settings.storeAddress);
    const daemon = new GatewayDaemon(settings, {
      source,
      codec: { ...headerCodec, ...options.codec },
      probe: engineProbe,
      logger: createLogger(settings.processId),
    });
    if (options.onListening !== undefined) store.mode = 'busy';
    await daemon.start();
    options.onListening?.(`http://127.0.0.1:${frontPort}`, store);
    gateways.push(daemon);
    urls.push(`http://127.0.0.1:${frontPort}`);
    return readyPort;
  };
  for (let index = 0; index < (options.started ?? count); index += 1) {
    const readyUrl = `http://127.0.0.1:${await startNextGateway()}/ready`;
    await waitUntil('gateway ready', async () => (await request(readyUrl)).statusCode === 200);
  }
  return {
    store,
    stores,
    workers,
    gateways,
    urls,
    publishWorker,
    publishConfiguration,
    startNextGateway: async () => {
      await startNextGateway();
    },
    close: async () => {
      for (const gateway of gateways) gateway.stop();
      for (const worker of workers) await worker.close();
      for (const target of stores) await target.close();
    },
  };
}

let nextRequestNumber = 1;

/**
 * Sends a request with the headers that clients of the platform set.
 *
 * @param url - Base URL of the gateway
 * @param path - Request target
 * @param headers - Headers that override the defaults
 * @param signal - Aborts the request
 * @returns The response, with the part of the body that was received
 */
export async function callGateway(
  url: string,
  path: string,
  headers: Record<string, string> = {},
  signal?: AbortSignal,
): Promise<GatewayResponse> {
  const isPost = !path.startsWith('/lookup/') && !path.startsWith('/open/');
  nextRequestNumber += 1;
  const response = await request(`${url}${path}`, {
    method: isPost ? 'POST' : 'GET',
    headers: {
      host: 'app.example',
      'request-id': `r-${nextRequestNumber}`,
      'deadline-ms': '2000',
      'x-api-key': 'key-1',
      ...headers,
    },
    body: isPost ? 'question' : null,
    ...(signal === undefined ? {} : { signal }),
  });
  let body = '';
  let isComplete = true;
  try {
    for await (const chunk of response.body as AsyncIterable<Buffer>)
      body += chunk.toString('utf8');
  } catch {
    isComplete = false;
  }
  return { status: response.statusCode, headers: response.headers, body, isComplete };
}
