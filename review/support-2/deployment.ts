import type { StoreStandIn } from '../../test/standins/platformStore.js';

/** Key of the only tenant. */
export const API_KEY = 'n2ctnfzs989anu6wsjnb';
export const ROUTE_HOST = 'ficu95.example';

export interface PublishedRoute {
  readonly name: string;
  readonly prefix: string;
  readonly routeType: 'idempotent' | 'non_idempotent' | 'streaming';
  readonly service: string;
  readonly maxAttempts: number;
  readonly resumable?: boolean;
}

/**
 * Publishes a configuration as the operator does.
 *
 * @param store - Store stand-in
 * @param version - Version of the configuration
 * @param routes - Routes
 * @param apiKeys - Keys of the tenant
 */
export function publishConfiguration(
  store: StoreStandIn,
  version: number,
  routes: readonly PublishedRoute[],
  apiKeys: readonly string[] = [API_KEY],
): void {
  const services = [...new Set(routes.map(({ service }) => service))];
  store.put('op/config', {
    version,
    routes: routes.map((route) => ({
      host: ROUTE_HOST,
      timeoutMs: 8000,
      targetLatencyMs: 401,
      priority: 1,
      public: false,
      ...(route.routeType === 'streaming'
        ? { sticky: true, targetGapMs: 120, resumable: false }
        : {}),
      ...route,
    })),
    services: services.map((name) => ({
      name,
      healthPath: '/health',
      maxConns: 248,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    tenants: [{ name: 'hule930', apiKeys, priority: 1 }],
  });
}

/** What a worker publishes of itself. */
export interface PublishedWorker {
  readonly id: string;
  readonly port: number;
  readonly service: string;
  readonly slots: number;
  readonly state?: 'ready' | 'draining';
  readonly seq?: number;
  readonly born?: number;
}

/**
 * Publishes the entry of a worker, as the worker does.
 *
 * @param store - Store stand-in
 * @param worker - Worker
 */
export function publishWorker(store: StoreStandIn, { id, port, ...entry }: PublishedWorker): void {
  store.put(`servers/${id}`, {
    address: `127.0.0.1:${port}`,
    zone: 'ikeja',
    version: '1',
    state: 'ready',
    coldLeftMs: 0,
    seq: 1,
    born: 1_796_600_000_000,
    ...entry,
  });
}
