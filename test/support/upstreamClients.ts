import { RankEngineClient } from '../../platform/rankEngineClient.js';
import { StoreClient } from '../../platform/storeClient.js';
import { fetchOperatorJson } from '../../src/cli/operatorClient.js';
import { CallerClient } from '../../src/client/callerClient.js';
import { defaults } from '../../src/defaults.js';
import { createEngineAdapter } from '../../src/process/agent/upstreams/engine.js';
import { sendOrder } from '../../src/process/agent/upstreams/orderExchange.js';
import { createPlainAdapter } from '../../src/process/agent/upstreams/plain.js';
import type { Exchange, UpstreamAdapter } from '../../src/process/agent/upstreams/types.js';
import { EngineClient } from '../../src/process/group/engineClient.js';
import { PlatformClient } from '../../src/process/membership/platformClient.js';

/** A client in the programs that reads responses of another process. */
export interface UpstreamClient {
  /** Its own time limit, or the one that its caller sets here, in milliseconds. */
  readonly timeLimitMs: number;
  /** Its own limit of a body. */
  readonly maxBytes: number;
  /**
   * Calls once.
   *
   * @param address - `ip:port` of the other process
   * @param closeLater - Takes what closes a client that uses no connection twice, and so has to close each by itself
   * @returns Whether the client took the response as an answer
   */
  readonly call: (address: string, closeLater: CloseLater) => Promise<boolean>;
}

type CloseLater = (close: () => Promise<void> | void) => void;

const CALL_LIMIT_MS = 2_000;
const READ_LIMIT_MS = 1_000;
const MIB = 1024 * 1024;

const hasPaused = (): boolean => false;
const createExchange = (): Exchange => ({
  id: 'c-1',
  body: Buffer.from('{"prompt":"a"}'),
  resumeAfter: 0,
  resumeText: '',
  priority: 1,
  maxOutputTokens: 4,
  signal: AbortSignal.timeout(CALL_LIMIT_MS),
  onTokens: () => undefined,
});

async function runAdapter(adapter: UpstreamAdapter, closeLater: CloseLater): Promise<boolean> {
  closeLater(() => adapter.close());
  const { kind } = await adapter.run(createExchange());
  return kind === 'done';
}

function proveAdapter(adapter: UpstreamAdapter, closeLater: CloseLater): Promise<boolean> {
  closeLater(() => adapter.close());
  return adapter.prove(READ_LIMIT_MS);
}

async function callEntry(
  address: string,
  closeLater: CloseLater,
  call: (client: CallerClient) => Promise<{ isOk(): boolean }>,
): Promise<boolean> {
  const client = new CallerClient({
    entries: [`http://${address}`],
    token: 't',
    answerTimeoutMs: READ_LIMIT_MS,
  });
  closeLater(() => client.close());
  return (await call(client)).isOk();
}

const chat = { model: 'm', messages: [{ role: 'user', content: 'a' }] };

/** All clients, by name. */
export const upstreamClients = {
  'call of an agent': {
    timeLimitMs: CALL_LIMIT_MS,
    maxBytes: defaults.maxCallResponseBytes,
    call: (address, closeLater) =>
      runAdapter(createPlainAdapter(`http://${address}`, hasPaused), closeLater),
  },
  'chat of an agent': {
    timeLimitMs: CALL_LIMIT_MS,
    maxBytes: defaults.maxEventBytes,
    call: (address, closeLater) => runAdapter(createEngineAdapter(`http://${address}`), closeLater),
  },
  'probe of an engine': {
    timeLimitMs: READ_LIMIT_MS,
    maxBytes: 64 * 1024,
    call: (address, closeLater) =>
      proveAdapter(createEngineAdapter(`http://${address}`), closeLater),
  },
  'load of an engine': {
    timeLimitMs: READ_LIMIT_MS,
    maxBytes: 64 * 1024,
    call: async (address, closeLater) => {
      const adapter = createEngineAdapter(`http://${address}`);
      closeLater(() => adapter.close());
      return (await adapter.readLoad(READ_LIMIT_MS)) !== undefined;
    },
  },
  'order of an agent': {
    timeLimitMs: CALL_LIMIT_MS,
    maxBytes: defaults.maxBodyBytes,
    call: async (address) => {
      const end = await sendOrder({
        url: `http://${address}`,
        order: 'o-1',
        body: Buffer.from('{}'),
        caller: 'h1/i1',
        claim: () => true,
        hasPaused,
        signal: AbortSignal.timeout(CALL_LIMIT_MS),
      });
      return end.kind === 'ended' && end.outcome.state === 'done';
    },
  },
  'state of a rank group': {
    timeLimitMs: READ_LIMIT_MS,
    maxBytes: defaults.maxEngineReportBytes,
    call: async (address, closeLater) => {
      const client = new EngineClient(`http://${address}`, 'checked');
      closeLater(() => client.close());
      await client.readState();
      return client.step !== undefined;
    },
  },
  'report of an engine': {
    timeLimitMs: 120,
    maxBytes: defaults.maxEngineReportBytes,
    call: async (address) => {
      const client = new RankEngineClient(address);
      const report = await client.readReport();
      client.close();
      return report.isOk();
    },
  },
  'order to an engine': {
    timeLimitMs: 60,
    maxBytes: defaults.maxEngineReportBytes,
    call: async (address) => {
      const client = new RankEngineClient(address);
      const outcome = await client.sendOrder({ kind: 'release', pass: 1 }, 1);
      client.close();
      return outcome !== 'unknown';
    },
  },
  'read of the platform': {
    timeLimitMs: READ_LIMIT_MS,
    maxBytes: 8 * MIB,
    call: async (address, closeLater) => {
      const client = new PlatformClient(`http://${address}`, READ_LIMIT_MS);
      closeLater(() => {
        client.close();
      });
      return (await client.listHosts()).isOk();
    },
  },
  'read of the store': {
    timeLimitMs: 600,
    maxBytes: defaults.maxStoreResponseBytes,
    call: async (address, closeLater) => {
      const client = new StoreClient(address);
      closeLater(() => {
        client.close();
      });
      return (await client.readConfiguration(undefined)).isOk();
    },
  },
  'call through an entry': {
    timeLimitMs: READ_LIMIT_MS,
    maxBytes: defaults.maxResponseBodyBytes,
    call: (address, closeLater) =>
      callEntry(address, closeLater, (client) => client.sendCall('s', {})),
  },
  'chat through an entry': {
    timeLimitMs: READ_LIMIT_MS,
    maxBytes: defaults.maxResponseBodyBytes,
    call: (address, closeLater) =>
      callEntry(address, closeLater, (client) =>
        client.sendStreamedChat(chat, () => undefined, READ_LIMIT_MS),
      ),
  },
  'read of an operator': {
    timeLimitMs: 5_000,
    maxBytes: defaults.maxResponseBodyBytes,
    call: async (address) => (await fetchOperatorJson({ _: [], $0: '' }, address, '/dump')).isOk(),
  },
} as const satisfies Record<string, UpstreamClient>;

export type UpstreamClientName = keyof typeof upstreamClients;
