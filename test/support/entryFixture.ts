import type { EntryDaemon } from '../../src/process/entry/types.js';
import { startEntry } from '../../src/process/entry/entryDaemon.js';
import { createLogger } from '../../src/process/logging.js';
import { Metrics } from '../../src/process/metrics.js';
import type { FakeAgentOptions } from './fakeAgent.js';
import { FakeAgent } from './fakeAgent.js';
import { MemoryConfiguration } from './memoryConfiguration.js';

export interface EntryFixture {
  readonly entry: EntryDaemon;
  readonly agents: FakeAgent[];
  readonly configuration: MemoryConfiguration;
  readonly metrics: Metrics;
  readonly url: string;
  post(path: string, body: unknown, headers?: Record<string, string>): Promise<Response>;
  call(method: string, path: string, body?: string): Promise<Response>;
  close(): Promise<void>;
}

const defaultHeaders = { authorization: 'Bearer secret' };

/**
 * Starts an entry with the services `chat` (engine), `ledger` (plain, orders) and `pump` (plain, not repeatable),
 * connects it to fake agents and waits until all links are open.
 *
 * @param agentOptions - Options of each agent
 * @param drainLimitMs - Drain limit of the entry
 * @returns The running fixture
 */
export async function startEntryFixture(
  agentOptions: readonly FakeAgentOptions[],
  drainLimitMs = 1_000,
): Promise<EntryFixture> {
  const configuration = new MemoryConfiguration();
  const shares = { chat: 0.5, ledger: 0.5, pump: 0.5 };
  configuration.putWorkspace('branch', 'secret', shares);
  configuration.putWorkspace('other', 'foreign', { chat: 0.5 });
  configuration.putService('chat', { kind: 'engine', maxOutputTokens: 16 });
  configuration.putService('ledger', { kind: 'plain', orders: true });
  configuration.putService('pump', { kind: 'plain', repeatable: false });
  const agents = agentOptions.map((options) => new FakeAgent(options));
  for (const [index, agent] of agents.entries()) {
    await agent.start();
    const options = agentOptions[index];
    if (options !== undefined)
      configuration.putUpstream(options.upstream, options.service, agent.address);
  }
  const metrics = new Metrics();
  const entry = await startEntry(
    {
      processId: 'entry-1',
      host: '127.0.0.1',
      availabilityZone: 'ikeja',
      listenHost: '127.0.0.1',
      linkPort: 0,
      operatorPort: 0,
      httpPort: 0,
      seeds: [],
      drainLimitMs,
      linksPerService: 4,
      maxBodyBytes: 2_000,
      routingPolicy: 'affinity',
    },
    { configuration, logger: createLogger('entry-1'), metrics },
  );
  const url = `http://127.0.0.1:${entry.httpPort}`;
  await waitUntil(() => countLinks(entry) === agents.length);
  return {
    entry,
    agents,
    configuration,
    metrics,
    url,
    post: (path, body, extra = {}) =>
      fetch(url + path, {
        method: 'POST',
        body: typeof body === 'string' ? body : JSON.stringify(body),
        headers: { ...defaultHeaders, ...extra },
      }),
    call: (method, path, body) =>
      fetch(url + path, {
        method,
        headers: defaultHeaders,
        ...(body === undefined ? {} : { body }),
      }),
    close: async () => {
      await entry.stop();
      for (const agent of agents) agent.close();
    },
  };
}

/**
 * Polls a condition until it holds.
 *
 * @param condition - Polled every 5 ms
 * @param timeoutMs - Longest wait in milliseconds
 * @throws Error when the condition does not hold in time
 */
export async function waitUntil(condition: () => boolean, timeoutMs = 5_000): Promise<void> {
  const end = Date.now() + timeoutMs;
  while (!condition()) {
    if (Date.now() > end) throw new Error('condition did not hold in time');
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

function countLinks(entry: EntryDaemon): number {
  const { agents } = entry.dump() as { agents: { load: { down: boolean } }[] };
  return agents.filter(({ load }) => !load.down).length;
}
