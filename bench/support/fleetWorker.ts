import { monitorEventLoopDelay } from 'node:perf_hooks';
import { startAgent } from '../../src/process/agent/agentDaemon.js';
import { startEntry } from '../../src/process/entry/entryDaemon.js';
import { defaults } from '../../src/defaults.js';
import { createLogger } from '../../src/process/logging.js';
import { Metrics } from '../../src/process/metrics.js';
import type { Daemon } from '../../src/process/types.js';
import { ConfigurationStore } from '../../src/version/configuration/configurationStore.js';
import type { Engine } from '../../test/standins/engine.js';
import { startEngine } from '../../test/standins/engine.js';
import type { CommandHandlers, CommandName } from './fleetTypes.js';

/** Worker process of a bench; starts engine stand-ins with their agents, or entries, on request. */

const LOOPBACK = '127.0.0.1';
const NANOSECONDS_PER_MS = 1e6;
const engines = new Map<string, Engine>();
const daemons = new Map<string, Daemon>();
const store = new ConfigurationStore();
const loopDelay = monitorEventLoopDelay({ resolution: 5 });
loopDelay.enable();

const createOptions = (id: string, availabilityZone: string) => ({
  processId: id,
  host: id,
  availabilityZone,
  listenHost: LOOPBACK,
  linkPort: 0,
  operatorPort: 0,
  seeds: [],
  drainLimitMs: 1_000,
});
const createParts = (id: string) => ({
  configuration: store,
  logger: createLogger(id),
  metrics: new Metrics(),
});

const handlers: CommandHandlers = {
  startUpstream: async ({ id, availabilityZone, service, slots, engine }) => {
    const started = await startEngine(engine);
    engines.set(id, started);
    const agentOptions = { upstream: id, service, slots, upstreamUrl: started.url };
    const options = { ...createOptions(id, availabilityZone), ...agentOptions };
    const agent = await startAgent(options, createParts(id));
    daemons.set(id, agent);
    return { id, address: `${LOOPBACK}:${agent.linkPort}`, engineUrl: started.url };
  },
  startEntry: async ({ id, availabilityZone, linksPerService, routingPolicy }) => {
    const entryOptions = { httpPort: 0, linksPerService, routingPolicy };
    const maxBodyBytes = defaults.maxBodyBytes;
    const options = { ...createOptions(id, availabilityZone), ...entryOptions, maxBodyBytes };
    const entry = await startEntry(options, createParts(id));
    daemons.set(id, entry);
    return { id, httpUrl: `http://${LOOPBACK}:${entry.httpPort}` };
  },
  configure: (objects) => {
    const report = store.mergeObjects(objects);
    if (report.refused.length > 0) throw new Error(JSON.stringify(report.refused));
    return null;
  },
  control: ({ upstream, change }) => {
    engines.get(upstream)?.control(change);
    return null;
  },
  stopUpstream: async (id) => {
    await daemons.get(id)?.stop();
    daemons.delete(id);
    await engines.get(id)?.close();
    return null;
  },
  readState: () => {
    const loopDelayP99Ms = loopDelay.percentile(99) / NANOSECONDS_PER_MS;
    loopDelay.reset();
    const counters = [...engines].map(([id, engine]) => [id, { ...engine.counters }] as const);
    const dumps = [...daemons].map(([id, daemon]) => [id, daemon.dump()] as const);
    return {
      engines: Object.fromEntries(counters),
      dumps: Object.fromEntries(dumps),
      loopDelayP99Ms,
    };
  },
};

async function handleCommand(message: { id: number; name: CommandName; request: never }) {
  try {
    const answer = await handlers[message.name](message.request);
    process.send?.({ id: message.id, answer });
  } catch (error) {
    process.send?.({ id: message.id, error: String(error) });
  }
}

process.on('message', (message) => {
  void handleCommand(message as never);
});
process.once('disconnect', () => process.exit(0));
