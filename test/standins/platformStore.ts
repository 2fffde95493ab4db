import type { ServerResponse } from 'node:http';
import type { StandIn } from './httpServer.js';
import { createRouteServer, listenOnLoopback } from './httpServer.js';

/** Current behaviour of the store: `unresponsive` never responds, `busy` responds with 503. */
export type StoreMode = 'serving' | 'unresponsive' | 'busy';

export interface StoreStandIn extends StandIn {
  mode: StoreMode;
  calls: number;
  /** Value of the era header; undefined for a store that does not send it. */
  era: number | undefined;
  /** Copies all items and the revision counter. */
  takeCopy(): void;
  /** Returns to the last copy; the era rises, and the revisions since the copy are assigned again. */
  restoreCopy(): void;
  put(key: string, value: unknown): void;
  putBytes(key: string, bytes: Buffer): void;
  remove(key: string): void;
}

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

/**
 * Starts a stand-in for the store of the platform, with the two read routes that the gateway and ranker use.
 *
 * @returns The running stand-in
 */
export async function startPlatformStore(): Promise<StoreStandIn> {
  const items = new Map<string, Item>();
  let revision = 1;
  const state: Pick<StoreStandIn, 'mode' | 'calls' | 'era'> = {
    mode: 'serving',
    calls: 0,
    era: undefined,
  };
  let copy: { revision: number; items: [string, Item][] } = { revision, items: [] };
  const server = createRouteServer({
    'GET /kv-key': ({ query, response }) => {
      state.calls += 1;
      if (refuse(response)) return undefined;
      const item = items.get(query.get('key') ?? '');
      if (item !== undefined) return { ...item, storeRevision: revision };
      response.writeHead(404).end();
      return undefined;
    },
    'GET /kv-range': ({ query, response }) => {
      state.calls += 1;
      if (refuse(response)) return undefined;
      const prefix = query.get('prefix') ?? '';
      const listed = [...items.values()].filter(({ key }) => key.startsWith(prefix));
      return { items: listed, truncated: false, storeRevision: revision };
    },
  });
  function refuse(response: ServerResponse): boolean {
    if (state.era !== undefined) response.setHeader('Store-Era', state.era);
    if (state.mode === 'busy') response.writeHead(503).end();
    return state.mode !== 'serving';
  }
  const port = await listenOnLoopback(server, 0);
  const putBytes = (key: string, bytes: Buffer): void => {
    revision += 1;
    const value = bytes.toString('base64');
    items.set(key, { key, value, revision, created: revision, lease: 0 });
  };
  return Object.assign(state, {
    port,
    url: `http://127.0.0.1:${port}`,
    takeCopy: () => {
      copy = { revision, items: [...items] };
    },
    restoreCopy: () => {
      items.clear();
      for (const [key, item] of copy.items) items.set(key, item);
      revision = copy.revision;
      state.era = (state.era ?? 0) + 1;
    },
    putBytes,
    put: (key: string, value: unknown) => {
      putBytes(key, Buffer.from(JSON.stringify(value)));
    },
    remove: (key: string) => {
      revision += 1;
      items.delete(key);
    },
    close: () =>
      new Promise<void>((resolve) => {
        server.closeAllConnections();
        server.close(() => {
          resolve();
        });
      }),
  });
}
