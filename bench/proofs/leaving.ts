import { request } from 'undici';
import type { EngineStart } from '../../test/standins/engine.js';
import type { Cluster, ClusterAgent } from '../../test/support/cluster.js';
import { startCluster } from '../../test/support/cluster.js';
import { ChatCallers, countCodes } from '../../test/support/chatCaller.js';
import { buildDeployment, buildInitialTicket, countPorts } from '../../test/support/deployment.js';
import { reduceOutline, unionOutline } from '../../test/support/outlines.js';
import { reservePorts } from '../../test/support/ports.js';
import { waitMs } from '../../test/support/waiting.js';
import type { RunOptions, RunResult } from '../types.js';
import { BaselineEntry } from './baselineEntry.js';

const SERVICE = 'relief-assistant';
const WORKSPACE = 'branch-ikeja';
const TARGET_MS = 3_000;
/** New work is observed for this long after the notice. */
const WATCH_MS = 4_500;
const WARM_UP_MS = 700;
const CALLERS = 16;
const BASELINE_CALLERS = 4;
const TOKENS = 24;

/** Sends notice that an upstream is leaving, and restores the upstream afterwards. */
interface Notice {
  send(cluster: Cluster, agent: ClusterAgent, ticket: number): Promise<void>;
  reset(cluster: Cluster, agent: ClusterAgent, ticket: number): Promise<void>;
}

const notices: Readonly<Record<string, Notice>> = {
  sigterm: {
    send: (_cluster, agent) => {
      agent.process.send('SIGTERM');
      return Promise.resolve();
    },
    reset: async (cluster, agent) => {
      await agent.process.exited;
      agent.process = await cluster.startDaemon('agent', agent.plan.id);
    },
  },
  ticket: {
    send: (cluster, agent, ticket) =>
      cluster.publishTicket({
        ticket,
        objects: [{ kind: 'upstream', id: agent.plan.id, deleted: true }],
      }),
    reset: (cluster, agent, ticket) => {
      const { objects } = buildInitialTicket(cluster.deployment);
      const upstreamObjects = objects.filter(
        ({ kind, id }) => kind === 'upstream' && id === agent.plan.id,
      );
      return cluster.publishTicket({ ticket, objects: upstreamObjects });
    },
  },
};

interface LeavingUpstream {
  readonly notice: Notice;
  readonly agent: ClusterAgent;
}

interface Round {
  readonly lastNewWorkMs: number;
  readonly baselineLastNewWorkMs: number;
  readonly requests: number;
  readonly incomplete: number;
  readonly codes: Record<string, number>;
}

/**
 * Makes upstreams leave under load, with the live list delayed by 60 s and one entry disconnected from the platform,
 * and reads from the engines' records when a leaving upstream received its last new work.
 *
 * @param options - Seed of the prompts; number of rounds, each with one leaving upstream per kind of notice
 * @returns Time of the latest new work after a notice, and incomplete responses; under `naive` the time for an entry
 *   that uses only the live list
 */
export async function proveLeaving({ seed, count }: RunOptions): Promise<RunResult> {
  const outline = reduceOutline(unionOutline, { [SERVICE]: 4, 'payout-ledger': 0 });
  const deployment = buildDeployment(outline, await reservePorts(countPorts(outline)));
  const [, isolatedEntry] = deployment.entries;
  const [unusedPort = 0] = await reservePorts(1);
  const cluster = await startCluster(deployment, {
    platformPorts: new Map([[isolatedEntry?.id ?? '', unusedPort]]),
  });
  try {
    const rounds: Round[] = [];
    for (let round = 0; round < count; round += 1) {
      const { leaving, ...figures } = await runRound(cluster, seed, round);
      rounds.push(figures);
      if (round + 1 === count) break;
      for (const { notice, agent } of leaving) await notice.reset(cluster, agent, 2 * round + 3);
    }
    const incomplete = rounds.reduce((sum, round) => sum + round.incomplete, 0);
    const latest = Math.max(...rounds.map((round) => round.lastNewWorkMs));
    const baseline = Math.min(...rounds.map((round) => round.baselineLastNewWorkMs));
    return {
      rounds: rounds.length,
      requests: rounds.reduce((sum, round) => sum + round.requests, 0),
      last_new_work_s: latest / 1_000,
      cut: incomplete,
      failures: rounds.map((round) => round.codes),
      watched_s: WATCH_MS / 1_000,
      naive: { last_new_work_s: baseline / 1_000 },
      ok: latest <= TARGET_MS && incomplete === 0,
    };
  } finally {
    await cluster.stop();
  }
}

async function runRound(
  cluster: Cluster,
  seed: number,
  round: number,
): Promise<Round & { leaving: LeavingUpstream[] }> {
  const leaving = Object.values(notices).map((notice, index) => {
    const agent = cluster.agents[(seed + round + index) % cluster.agents.length];
    if (agent === undefined) throw new Error('no agent');
    return { notice, agent };
  });
  const roundLabel = `${seed}-${round}`;
  const urls = cluster.entries.map(({ httpUrl }) => httpUrl);
  const callers = new ChatCallers(CALLERS, (caller, index) => ({
    url: urls[caller % urls.length] ?? '',
    model: SERVICE,
    workspace: WORKSPACE,
    prompt: `ours ${roundLabel} ${index}`,
    maxTokens: TOKENS,
    stream: index % 2 === 0,
  }));
  const baseline = new BaselineEntry(cluster, BASELINE_CALLERS, `naive ${roundLabel}`);
  await waitMs(WARM_UP_MS);
  const noticedAt = Date.now();
  for (const { notice, agent } of leaving) await notice.send(cluster, agent, 2 * round + 2);
  await waitMs(WATCH_MS);
  const starts = (await Promise.all(leaving.map(({ agent }) => readStarts(agent)))).flat();
  const results = await callers.stop();
  await baseline.stop();
  const findLastNewWorkMs = (kind: string): number => {
    const matchingStarts = starts.filter(({ prompt }) => prompt.includes(`${kind} ${roundLabel} `));
    if (matchingStarts.length === 0)
      throw new Error(`the leaving upstreams received no ${kind} requests`);
    return Math.max(0, ...matchingStarts.map(({ time }) => time - noticedAt));
  };
  return {
    leaving,
    lastNewWorkMs: findLastNewWorkMs('ours'),
    baselineLastNewWorkMs: findLastNewWorkMs('naive'),
    requests: results.length,
    incomplete: results.filter(({ verdict }) => verdict !== 'complete').length,
    codes: countCodes(results),
  };
}

async function readStarts(agent: ClusterAgent): Promise<EngineStart[]> {
  const response = await request(`${agent.upstreamUrl}/starts`);
  return (await response.body.json()) as EngineStart[];
}
