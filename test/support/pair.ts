import type { TlsMaterial } from '../../src/connection/tlsOptions.js';
import { startAgent } from '../../src/process/agent/agentDaemon.js';
import { startEntry } from '../../src/process/entry/entryDaemon.js';
import type { EntryDaemon } from '../../src/process/entry/types.js';
import { createLogger } from '../../src/process/logging.js';
import { Metrics } from '../../src/process/metrics.js';
import type { Daemon } from '../../src/process/types.js';
import { startEngine } from '../standins/engine.js';
import type { ChatResult } from './chatCaller.js';
import { performChat } from './chatCaller.js';
import { getExampleToken } from './deployment.js';
import { MemoryConfiguration } from './memoryConfiguration.js';
import { waitUntil } from './waiting.js';

const WORKSPACE = 'branch';
const SERVICE = 'desk';
const UPSTREAM = 'desk-1';

/** One entry, one agent and one engine, all in this process. */
export interface EntryAgentPair {
  readonly entry: EntryDaemon;
  readonly agent: Daemon;
  chat(prompt: string): Promise<ChatResult>;
  close(): Promise<void>;
}

/**
 * Starts an entry and an agent and waits until they are linked.
 *
 * @param tls - Certificates for mutual TLS between entry and agent; plain TCP when absent
 * @param engineUrl - Engine of the test in place of the stand-in
 * @returns The running entry and agent
 */
export async function startEntryAgentPair(
  tls?: TlsMaterial,
  engineUrl?: string,
): Promise<EntryAgentPair> {
  const engine = await startEngine();
  const configuration = new MemoryConfiguration();
  configuration.putWorkspace(WORKSPACE, getExampleToken(WORKSPACE), { [SERVICE]: 1 });
  configuration.putService(SERVICE, { kind: 'engine' });
  const sharedSettings = {
    host: '127.0.0.1',
    availabilityZone: 'ikeja',
    listenHost: '127.0.0.1',
    linkPort: 0,
    operatorPort: 0,
    seeds: [],
    drainLimitMs: 1_000,
    tls,
  };
  const agent = await startAgent(
    {
      ...sharedSettings,
      processId: 'agent-1',
      upstream: UPSTREAM,
      service: SERVICE,
      upstreamUrl: engineUrl ?? engine.url,
      slots: 4,
    },
    { configuration, logger: createLogger('agent-1'), metrics: new Metrics() },
  );
  configuration.putUpstream(UPSTREAM, SERVICE, `127.0.0.1:${agent.linkPort}`);
  const entry = await startEntry(
    {
      ...sharedSettings,
      processId: 'entry-1',
      httpPort: 0,
      linksPerService: 4,
      maxBodyBytes: 10_000,
      routingPolicy: 'affinity',
    },
    { configuration, logger: createLogger('entry-1'), metrics: new Metrics() },
  );
  const url = `http://127.0.0.1:${entry.httpPort}`;
  await waitUntil('the entry is linked to the agent', () => {
    const { agents } = entry.dump() as { agents: { load: { down: boolean } }[] };
    return agents.some(({ load }) => !load.down);
  });
  return {
    entry,
    agent,
    chat: (prompt) =>
      performChat({
        url,
        model: SERVICE,
        workspace: WORKSPACE,
        prompt,
        maxTokens: 12,
        stream: true,
      }),
    close: async () => {
      await entry.stop();
      await agent.stop();
      await engine.close();
    },
  };
}
