import type { Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

/** Entry of a worker in the store, as the protocol page lists its fields. */
export interface WorkerEntry {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly born: number;
}

/** Stand-in for the store of the platform; the gateways only use its range reads. */
export class StoreStandIn {
  private readonly items = new Map<string, Item>();
  private revision = 1;
  private readonly servers: Server[] = [];
  private copy: { items: [string, Item][]; revision: number } = { items: [], revision: 0 };
  private isAway = false;
  /** Value of `Store-Era`, which rises with each restore. */
  era = 0;
  /** Number of reads by the name under which the store was opened. */
  readonly reads = new Map<string, number>();

  /**
   * Opens an address of the store; the one that a process is given tells whose reads arrive there.
   *
   * @param name - Name for the count of reads
   * @returns Address
   */
  async listen(name = 'all'): Promise<string> {
    const server = createServer((call, response) => {
      this.reads.set(name, (this.reads.get(name) ?? 0) + 1);
      if (this.isAway) {
        call.socket.resetAndDestroy();
        return;
      }
      response.setHeader('Store-Era', this.era);
      this.answer(new URL(call.url ?? '/', 'http://store'), response);
    });
    this.servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  private answer(url: URL, response: ServerResponse): void {
    if (url.pathname !== '/kv-range') {
      response.writeHead(404).end();
      return;
    }
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const items = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    response.writeHead(200, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify({ items, truncated: false, storeRevision: this.revision }));
  }

  /** Copies what the store holds, for a later restore. */
  takeCopy(): void {
    this.copy = { items: [...this.items], revision: this.revision };
  }

  /** Resets every connection until the store is restored. */
  leave(): void {
    this.isAway = true;
  }

  /** Comes back with what the last copy holds; revisions are given out again. */
  restoreCopy(): void {
    this.items.clear();
    for (const [key, item] of this.copy.items) this.items.set(key, item);
    this.revision = this.copy.revision;
    this.era += 1;
    this.isAway = false;
  }

  put(key: string, value: object): void {
    this.revision += 1;
    const encoded = Buffer.from(JSON.stringify(value)).toString('base64');
    const { revision } = this;
    this.items.set(key, { key, value: encoded, revision, created: revision, lease: 0 });
  }

  remove(key: string): void {
    this.revision += 1;
    this.items.delete(key);
  }

  putWorker(entry: WorkerEntry, state: 'ready' | 'draining', seq: number): void {
    const { id, ...fields } = entry;
    this.put(`servers/${id}`, { ...fields, state, seq, version: 'v1', coldLeftMs: 0 });
  }

  close(): void {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }
}

export const HOST = 'ficu95.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';

/** Tenants of the configuration unless a case has others. */
const defaultTenants: readonly object[] = [{ name: 'hule930', apiKeys: [KEY], priority: 1 }];

/**
 * Creates a configuration like that of the small deployment.
 *
 * @param version - Version of the configuration
 * @param tenants - Tenants with their keys
 * @returns Value of `op/config`
 */
export function createConfiguration(
  version: number,
  tenants: readonly object[] = defaultTenants,
): object {
  const common = { host: HOST, targetGapMs: 0, priority: 2, public: false };
  return {
    version,
    routes: [
      {
        ...common,
        name: 'eligibility-chat',
        prefix: '/chat/',
        routeType: 'streaming',
        resumable: true,
        service: 'relief-assistant',
        maxAttempts: 2,
        timeoutMs: 8_000,
        targetLatencyMs: 401,
        targetGapMs: 120,
        priority: 1,
      },
      {
        ...common,
        name: 'disburse-pay',
        prefix: '/pay/',
        routeType: 'non_idempotent',
        service: 'payout-ledger',
        maxAttempts: 1,
        timeoutMs: 4_000,
        targetLatencyMs: 387,
      },
      {
        ...common,
        name: 'ledger-lookup',
        prefix: '/lookup/',
        routeType: 'idempotent',
        service: 'payout-ledger',
        maxAttempts: 2,
        timeoutMs: 4_000,
        targetLatencyMs: 386,
      },
    ],
    services: [
      { name: 'relief-assistant', healthPath: '/health', maxConns: 248 },
      { name: 'payout-ledger', healthPath: '/health', maxConns: 100 },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 15_000,
    },
    tenants,
  };
}
