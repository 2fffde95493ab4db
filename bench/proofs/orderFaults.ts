import type { ClusterAgent } from '../../test/support/cluster.js';
import { sendControl } from '../../test/support/cluster.js';
import { waitMs } from '../../test/support/waiting.js';
import type { OrderFleet } from './orderFleet.js';
import { SLOT_TTL_MS } from './orderFleet.js';
import type { RelayFault } from './orderRelay.js';

/** Longer than the response timeout of the callers and the heartbeat timeout of a link. */
const PAUSE_MS = 1_700;
const PAUSE_JITTER_MS = 600;
/** Pause after which every slot issued before it has expired. */
const LONG_PAUSE_MS = SLOT_TTL_MS + 700;
/** Longer than the spread of the callers' start times in a round. */
const FAULT_MS = 400;
const MAX_START_DELAY_MS = 250;

/** Effect of a fault. */
export interface FaultEffect {
  /** Agents whose process exited or whose upstream connections were reset; their orders may stay `unknown`. */
  readonly affectedAgents: readonly string[];
  /** Restores the fleet once no order of the round is in flight. */
  readonly repair?: () => Promise<void>;
}

/** Causes one fault while a round of orders is in flight. */
export type OrderFault = (fleet: OrderFleet, random: () => number) => Promise<FaultEffect>;

/** A fault and the behavior of the callers in its rounds. */
export interface FaultPlan {
  readonly run: OrderFault;
  /** The caller aborts its first PUT, disconnects within the body, or sends concurrent repeats. */
  readonly caller?: 'aborts' | 'disconnectsInBody' | 'repeats';
  /** Maximum delay between taking a slot and the first PUT, milliseconds. */
  readonly maxPutDelayMs?: number;
  /** The fault affects only the upstream, so that it also applies to a baseline agent. */
  readonly isUpstreamFault?: boolean;
}

const NO_AGENTS_AFFECTED: FaultEffect = { affectedAgents: [] };
const doNothing: OrderFault = () => Promise.resolve(NO_AGENTS_AFFECTED);

function pickOne<Item>(items: readonly Item[], random: () => number): Item {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) throw new Error('cannot pick from an empty list');
  return item;
}

const computePauseMs = (random: () => number): number => PAUSE_MS + PAUSE_JITTER_MS * random();

/** Creates a fault that a randomly selected service shows for a short time. */
function createServiceFault(name: 'refuse' | 'resetAfterRun' | 'resetBeforeRun'): OrderFault {
  return async (fleet, random) => {
    const agent = pickOne(fleet.agents, random);
    const control = `${agent.upstreamUrl}/control`;
    await sendControl(control, 'POST', { [name]: true });
    await waitMs(FAULT_MS + FAULT_MS * random());
    await sendControl(control, 'POST', { [name]: false });
    return { affectedAgents: name === 'refuse' ? [] : [agent.plan.id] };
  };
}

/** Creates a fault of the relay in front of a random agent; afterwards, connections that lost bytes are closed. */
function createRelayFault(
  build: (random: () => number) => RelayFault,
  durationMs: number,
): OrderFault {
  return async (fleet, random) => {
    const relay = fleet.getRelay(pickOne(fleet.agents, random));
    await waitMs(MAX_START_DELAY_MS * random());
    relay.apply(build(random));
    await waitMs(durationMs);
    relay.apply({ kind: 'pass' });
    return NO_AGENTS_AFFECTED;
  };
}

/** Drops all bytes between one entry and all agents; the other entries are not affected. */
const partitionEntry: OrderFault = async (fleet, random) => {
  const { id } = pickOne(fleet.cluster.entries, random).plan;
  const relays = fleet.agents.map((agent) => fleet.getRelay(agent));
  await waitMs(MAX_START_DELAY_MS * random());
  for (const relay of relays) relay.apply({ kind: 'partition', processId: id });
  await waitMs(computePauseMs(random));
  for (const relay of relays) relay.apply({ kind: 'pass' });
  return NO_AGENTS_AFFECTED;
};

const killAgent: OrderFault = async (fleet, random) => {
  const agent = pickOne(fleet.agents, random);
  await waitMs(MAX_START_DELAY_MS * random());
  agent.process.send('SIGKILL');
  await agent.process.exited;
  agent.process = await fleet.cluster.startDaemon('agent', agent.plan.id);
  return { affectedAgents: [agent.plan.id] };
};

function createPause(computeMs: (random: () => number) => number): OrderFault {
  return async (fleet, random) => {
    const agent = pickOne(fleet.agents, random);
    await waitMs(MAX_START_DELAY_MS * random());
    agent.process.send('SIGSTOP');
    await waitMs(computeMs(random));
    agent.process.send('SIGCONT');
    return NO_AGENTS_AFFECTED;
  };
}

const pauseUpstream: OrderFault = async (fleet, random) => {
  const agent = pickOne(fleet.agents, random);
  await waitMs(MAX_START_DELAY_MS * random());
  agent.upstream.send('SIGSTOP');
  await waitMs(computePauseMs(random));
  agent.upstream.send('SIGCONT');
  return NO_AGENTS_AFFECTED;
};

const killEntry: OrderFault = async (fleet, random) => {
  const entry = pickOne(fleet.cluster.entries, random);
  await waitMs(MAX_START_DELAY_MS * random());
  entry.process.send('SIGKILL');
  await entry.process.exited;
  entry.process = await fleet.cluster.startDaemon('entry', entry.plan.id);
  return NO_AGENTS_AFFECTED;
};

const pauseAgentAndKillEntry: OrderFault = async (fleet, random) => {
  await Promise.all([createPause(computePauseMs)(fleet, random), killEntry(fleet, random)]);
  return NO_AGENTS_AFFECTED;
};

/** The paused agent resumes after its replacement has taken over its host and published address. */
const replacePausedAgent: OrderFault = async (fleet, random) => {
  const agent = pickOne(fleet.agents, random);
  await waitMs(MAX_START_DELAY_MS * random());
  const old = agent.process;
  old.send('SIGSTOP');
  await replaceBehindRelay(fleet, agent);
  await waitMs(PAUSE_MS);
  old.send('SIGCONT');
  return {
    affectedAgents: [agent.plan.id],
    repair: async () => {
      old.send('SIGKILL');
      await old.exited;
    },
  };
};

async function replaceBehindRelay(fleet: OrderFleet, agent: ClusterAgent): Promise<void> {
  const replacement = await fleet.startReplacement(agent);
  fleet.getRelay(agent).target = { host: replacement.host, port: agent.plan.linkPort };
  agent.process = replacement.process;
}

/**
 * Pauses an entry while a ticket moves an upstream to a second agent of its host. After resuming, the entry still
 * has the old address, and the platform returns the state before the ticket until the end of the fault; both agents
 * are running.
 */
const staleEntry: OrderFault = async (fleet, random) => {
  const { cluster } = fleet;
  const agent = pickOne(fleet.agents, random);
  const entry = pickOne(cluster.entries, random);
  const old = agent.process;
  const replacement = await fleet.startReplacement(agent);
  entry.process.send('SIGSTOP');
  await fleet.publishAddress(agent.plan, `${replacement.host}:${agent.plan.linkPort}`);
  await waitMs(PAUSE_MS);
  await sendControl(`${cluster.platformUrl}/control`, 'POST', { stale: 1 });
  entry.process.send('SIGCONT');
  await waitMs(FAULT_MS);
  await sendControl(`${cluster.platformUrl}/control`, 'POST', { stale: null });
  return {
    affectedAgents: [],
    repair: async () => {
      fleet.getRelay(agent).target = { host: replacement.host, port: agent.plan.linkPort };
      agent.process = replacement.process;
      old.send('SIGKILL');
      await old.exited;
      await fleet.publishAddress(agent.plan, `127.0.0.1:${agent.plan.linkPort}`);
    },
  };
};

const dropResponses = createRelayFault(() => ({ kind: 'dropResponses' }), FAULT_MS);
/** Disconnects after up to 1,500 bytes, about one to three order messages, at any byte of a frame. */
const disconnectLink = createRelayFault(
  (random) => ({ kind: 'disconnectAfter', bytes: 1 + Math.floor(1_500 * random()) }),
  FAULT_MS,
);

/** Faults by name. */
export const orderFaults: Readonly<Record<string, FaultPlan>> = {
  none: { run: doNothing },
  replyLost: { run: doNothing, caller: 'aborts' },
  repeatsAtOnce: { run: doNothing, caller: 'repeats' },
  bodyCut: { run: doNothing, caller: 'disconnectsInBody' },
  refusal: { run: createServiceFault('refuse'), isUpstreamFault: true },
  resetAfterRun: { run: createServiceFault('resetAfterRun'), isUpstreamFault: true },
  resetBeforeRun: { run: createServiceFault('resetBeforeRun'), isUpstreamFault: true },
  upstreamPaused: { run: pauseUpstream, isUpstreamFault: true },
  agentReplyLost: { run: dropResponses },
  linkCut: { run: disconnectLink },
  entryPartitioned: { run: partitionEntry },
  agentKilled: { run: killAgent },
  agentPaused: { run: createPause(computePauseMs) },
  agentPausedPastExpiry: {
    run: createPause(() => LONG_PAUSE_MS),
    maxPutDelayMs: LONG_PAUSE_MS + MAX_START_DELAY_MS + FAULT_MS,
  },
  agentReplaced: { run: replacePausedAgent, maxPutDelayMs: PAUSE_MS },
  entryKilled: { run: killEntry },
  entryStale: { run: staleEntry, maxPutDelayMs: PAUSE_MS },
  agentPausedAndEntryKilled: { run: pauseAgentAndKillEntry },
};
