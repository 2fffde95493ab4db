import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { pathToFileURL } from 'node:url';
import { parseArgs } from 'node:util';

/** Stand-in for the platform: configuration values with revisions, and the live list of hosts. */

export interface ListedHost {
  readonly host: string;
  readonly availabilityZone: string;
  readonly state: 'live' | 'leaving';
  readonly role?: 'entry' | 'agent';
  /** Link address `ip:port`. */
  readonly address?: string;
}

export interface PlatformFaults {
  readonly down?: boolean;
  readonly frozen?: boolean;
  /** Serve the state of this revision; null ends the fault. */
  readonly stale?: number | null;
}

export interface PlatformStandIn {
  readonly port: number;
  readonly url: string;
  readonly calls: { total: number; byRoute: Record<string, number> };
  putValue(key: string, value: unknown): number;
  putHosts(hosts: readonly ListedHost[]): void;
  applyFaults(faults: PlatformFaults): void;
  close(): Promise<void>;
}

interface Change {
  readonly revision: number;
  readonly key: string;
  readonly text: string;
}

/**
 * Starts the platform stand-in on the loopback address.
 *
 * @param options - Port; 0 selects a free one
 * @returns The running stand-in
 */
export async function startPlatform(options: { port?: number } = {}): Promise<PlatformStandIn> {
  const changes: Change[] = [];
  const calls = { total: 0, byRoute: {} as Record<string, number> };
  const pendingWatches = new Set<() => void>();
  let hosts: readonly ListedHost[] = [];
  let frozenHosts: readonly ListedHost[] | undefined;
  let frozenAt: number | undefined;
  let staleAt: number | undefined;
  let down = false;

  const readRevision = (): number =>
    Math.min(changes.length, frozenAt ?? Infinity, staleAt ?? Infinity);
  const listChanges = (prefix: string, after: number): Map<string, Change> => {
    const latest = new Map<string, Change>();
    for (const change of changes.slice(0, readRevision())) {
      if (change.key.startsWith(prefix)) latest.set(change.key, change);
    }
    for (const [key, change] of latest) if (change.revision <= after) latest.delete(key);
    return latest;
  };
  const describeChanges = (prefix: string, after: number): object => ({
    revision: readRevision(),
    keys: [...listChanges(prefix, after).values()].map(({ key, revision }) => ({ key, revision })),
  });
  const putValue = (key: string, value: unknown): number => {
    changes.push({ revision: changes.length + 1, key, text: JSON.stringify(value) });
    for (const wake of [...pendingWatches]) wake();
    return changes.length;
  };
  const putHosts = (next: readonly ListedHost[]): void => {
    hosts = next;
  };
  const applyFaults = (faults: PlatformFaults): void => {
    if (faults.down !== undefined) down = faults.down;
    if (faults.frozen !== undefined) {
      frozenAt = faults.frozen ? changes.length : undefined;
      frozenHosts = faults.frozen ? hosts : undefined;
    }
    if (faults.stale !== undefined) staleAt = faults.stale ?? undefined;
    for (const wake of [...pendingWatches]) wake();
  };

  const watch = async (query: URLSearchParams, response: ServerResponse): Promise<void> => {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after') ?? 0);
    const until = Date.now() + Number(query.get('timeout_ms') ?? 0);
    while (
      !down &&
      !response.destroyed &&
      listChanges(prefix, after).size === 0 &&
      Date.now() < until
    ) {
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          clearTimeout(timer);
          pendingWatches.delete(wake);
          response.off('close', wake);
          resolve();
        };
        const timer = setTimeout(wake, until - Date.now());
        pendingWatches.add(wake);
        response.once('close', wake);
      });
    }
    if (down) response.destroy();
    else sendJson(response, 200, describeChanges(prefix, after));
  };
  const routeHandlers: Record<
    string,
    (query: URLSearchParams, response: ServerResponse, key: string) => void
  > = {
    list: (query, response) => {
      const after = Number(query.get('after') ?? 0);
      sendJson(response, 200, describeChanges(query.get('prefix') ?? '', after));
    },
    values: (_query, response, key) => {
      const change = listChanges(key, 0).get(key);
      if (change === undefined) sendJson(response, 404, { error: 'no such key' });
      else response.setHeader('x-revision', change.revision).end(change.text);
    },
    watch: (query, response) => {
      void watch(query, response);
    },
    hosts: (_query, response) => {
      sendJson(response, 200, frozenHosts ?? hosts);
    },
  };
  const handleControl = async (
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
  ): Promise<void> => {
    const body = request.method === 'GET' ? undefined : await readJson(request);
    if (path === '/control/calls') sendJson(response, 200, calls);
    else if (path === '/control/hosts') putHosts(body as ListedHost[]);
    else if (path.startsWith('/control/values/')) {
      putValue(decodeURIComponent(path.slice('/control/values/'.length)), body);
    } else applyFaults(body as PlatformFaults);
    if (!response.writableEnded) sendJson(response, 200, { revision: changes.length });
  };
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://localhost');
    if (url.pathname.startsWith('/control')) {
      handleControl(request, response, url.pathname).catch(() => {
        sendJson(response, 400, { error: 'expected a JSON body' });
      });
      return;
    }
    const [, version, route = '', ...rest] = url.pathname.split('/');
    const handler = Object.hasOwn(routeHandlers, route) ? routeHandlers[route] : undefined;
    calls.total += 1;
    calls.byRoute[route] = (calls.byRoute[route] ?? 0) + 1;
    if (down) sendJson(response, 503, { error: 'down' });
    else if (version !== 'v1' || handler === undefined) sendJson(response, 404, {});
    else handler(url.searchParams, response, decodeURIComponent(rest.join('/')));
  });
  await new Promise<void>((resolve) => server.listen(options.port ?? 0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => {
        resolve();
      });
      server.closeAllConnections();
    });
  return { port, url: `http://127.0.0.1:${port}`, calls, putValue, putHosts, applyFaults, close };
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return JSON.parse(Buffer.concat(parts).toString('utf8'));
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  const { values } = parseArgs({ options: { port: { type: 'string', default: '0' } } });
  const { port } = await startPlatform({ port: Number(values.port) });
  process.stdout.write(`${JSON.stringify({ ready: true, port })}\n`);
}
