import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import type { AgentPlan, Deployment, EntryPlan } from './deployment.js';
import { buildInitialTicket } from './deployment.js';
import type { RunningProcess } from './processes.js';
import { startProcess, stopProcess } from './processes.js';
import type { SettingsFiles } from './settingsFiles.js';
import { writeSettingsFiles } from './settingsFiles.js';
import { waitUntil } from './waiting.js';

const LOOPBACK = '127.0.0.1';
const TICKET_KEY_DIGITS = 10;

export interface ClusterEntry {
  readonly plan: EntryPlan;
  readonly httpUrl: string;
  process: RunningProcess;
}

export interface ClusterAgent {
  readonly plan: AgentPlan;
  process: RunningProcess;
  readonly upstreamUrl: string;
  upstream: RunningProcess;
}

export interface ClusterOptions {
  /** `source` runs through tsx; `built` needs a fresh `npm run build`. */
  readonly program?: 'source' | 'built';
  /** Additional arguments of the engine stand-in. */
  readonly engineArguments?: readonly string[];
  /** Platform port by daemon id, for daemons that use another platform port or cannot reach the platform. */
  readonly platformPorts?: ReadonlyMap<string, number>;
  /** Settings files of the daemons; by default they are written to a temporary directory. */
  readonly settings?: SettingsFiles;
  /** Options of Node for the entries. */
  readonly entryNodeOptions?: readonly string[];
}

/** Change ticket in the format that operators publish. */
export interface PublishedTicket {
  readonly ticket: number;
  readonly objects: readonly unknown[];
}

/** Runs the platform, stand-ins, agents and entries of a deployment as processes on the loopback address. */
export class Cluster {
  readonly entries: ClusterEntry[] = [];
  readonly agents: ClusterAgent[] = [];
  private platform: RunningProcess | undefined;
  private readonly directory: string;
  private readonly files: SettingsFiles;
  private readonly script: string;

  constructor(
    readonly deployment: Deployment,
    private readonly options: ClusterOptions,
  ) {
    this.script = options.program === 'built' ? 'bin/parsleyfold.js' : 'src/cli/main.ts';
    this.directory = mkdtempSync(join(tmpdir(), 'parsleyfold-'));
    this.files =
      options.settings ?? writeSettingsFiles(deployment, this.directory, options.platformPorts);
  }

  get platformUrl(): string {
    return `http://${LOOPBACK}:${this.deployment.platformPort}`;
  }

  /** Starts all processes; resolves when each has printed its ready line and all entries are ready. */
  async start(): Promise<void> {
    const { deployment } = this;
    this.platform = await startProcess('platform', 'test/standins/platform.ts', [
      '--port',
      String(deployment.platformPort),
    ]);
    await this.publishHosts(new Set());
    await this.publishTicket(buildInitialTicket(deployment));
    await startEach(deployment.agents, this.agents, (plan) => this.startAgent(plan));
    await startEach(deployment.entries, this.entries, async (plan) => ({
      plan,
      httpUrl: `http://${LOOPBACK}:${plan.httpPort}`,
      process: await this.startDaemon('entry', plan.id),
    }));
    await Promise.all(this.entries.map((entry) => this.waitForEntry(entry)));
  }

  /**
   * Starts an entry or agent from its settings; also used to restart one that has exited.
   *
   * @param role - Subcommand of the program
   * @param id - Daemon id of the deployment
   * @returns The process, after its ready line
   */
  startDaemon(role: 'entry' | 'agent', id: string): Promise<RunningProcess> {
    const settings = this.files.byDaemon.get(id);
    if (settings === undefined) throw new Error(`no settings for daemon ${id}`);
    const nodeOptions = role === 'entry' ? this.options.entryNodeOptions : undefined;
    return startProcess(id, this.script, [role, '--settings', settings], nodeOptions);
  }

  /**
   * Publishes a ticket on the platform.
   *
   * @param ticket - Ticket number and objects
   */
  async publishTicket(ticket: PublishedTicket): Promise<void> {
    const key = `tickets/${String(ticket.ticket).padStart(TICKET_KEY_DIGITS, '0')}`;
    await sendControl(`${this.platformUrl}/control/values/${key}`, 'PUT', ticket);
  }

  /**
   * Publishes the live list of hosts.
   *
   * @param leaving - Hosts that are listed with the state `leaving`
   */
  async publishHosts(leaving: ReadonlySet<string>): Promise<void> {
    const describeHost = (plan: EntryPlan | AgentPlan, role: string): unknown => ({
      host: plan.id,
      availabilityZone: plan.availabilityZone,
      state: leaving.has(plan.id) ? 'leaving' : 'live',
      role,
      address: `${LOOPBACK}:${plan.linkPort}`,
    });
    await sendControl(`${this.platformUrl}/control/hosts`, 'PUT', [
      ...this.deployment.entries.map((plan) => describeHost(plan, 'entry')),
      ...this.deployment.agents.map((plan) => describeHost(plan, 'agent')),
    ]);
  }

  /**
   * Reads the state of a daemon from its operator port.
   *
   * @param plan - Entry or agent
   * @param path - Operator route
   * @returns JSON value
   */
  async readOperator(
    plan: EntryPlan | AgentPlan,
    path = '/dump',
  ): Promise<Readonly<Record<string, unknown>>> {
    const response = await request(`http://${LOOPBACK}:${plan.operatorPort}${path}`);
    return (await response.body.json()) as Readonly<Record<string, unknown>>;
  }

  /** Stops all processes, entries and agents first; resolves with the names of those that had to be killed. */
  async stop(): Promise<string[]> {
    const daemons = [...this.entries, ...this.agents].map((daemon) => daemon.process);
    const killed: string[] = [];
    const end = async (target: RunningProcess): Promise<void> => {
      if (target.isRunning() && (await stopProcess(target)) === null) killed.push(target.name);
    };
    await Promise.all(daemons.map(end));
    const remaining = [...this.agents.map((agent) => agent.upstream), this.platform];
    for (const target of remaining) target?.send('SIGKILL');
    await Promise.all(
      remaining.map(async (target) => {
        await target?.exited;
      }),
    );
    rmSync(this.directory, { recursive: true, force: true });
    return killed;
  }

  private async startAgent(plan: AgentPlan): Promise<ClusterAgent> {
    const kind = this.deployment.services.find(({ id }) => id === plan.service)?.kind;
    const port = ['--port', String(plan.upstreamPort)];
    const upstream =
      kind === 'engine'
        ? await startProcess(`engine of ${plan.id}`, 'test/standins/engine.ts', [
            ...port,
            ...(this.options.engineArguments ?? []),
          ])
        : await startProcess(`service of ${plan.id}`, 'test/standins/plainService.ts', port);
    const upstreamUrl = `http://${LOOPBACK}:${plan.upstreamPort}`;
    try {
      return { plan, upstreamUrl, upstream, process: await this.startDaemon('agent', plan.id) };
    } catch (error) {
      upstream.send('SIGKILL');
      await upstream.exited;
      throw error;
    }
  }

  private async waitForEntry(entry: ClusterEntry): Promise<void> {
    for (const { id } of this.deployment.services.filter(({ workers }) => workers > 0)) {
      await waitUntil(`${entry.plan.id} has an agent of ${id}`, async () => {
        const dump = await this.readOperator(entry.plan);
        return dump.ready === true && JSON.stringify(dump.agents).includes(`"${id}`);
      });
    }
  }
}

/** Starts all at once and waits for every one, so that none that starts beside a failed one is left running. */
async function startEach<Plan, Started>(
  plans: readonly Plan[],
  started: Started[],
  start: (plan: Plan) => Promise<Started>,
): Promise<void> {
  const results = await Promise.allSettled(plans.map(start));
  for (const result of results) if (result.status === 'fulfilled') started.push(result.value);
  for (const result of results) if (result.status === 'rejected') throw result.reason;
}

/**
 * Starts a cluster; if one process fails to start, stops those already running.
 *
 * @param deployment - Plans of all daemons
 * @param options - Program, stand-in arguments and settings
 * @returns The running cluster
 */
export async function startCluster(
  deployment: Deployment,
  options: ClusterOptions = {},
): Promise<Cluster> {
  const cluster = new Cluster(deployment, options);
  try {
    await cluster.start();
  } catch (error) {
    await cluster.stop();
    throw error;
  }
  return cluster;
}

/**
 * Sends JSON to the control endpoint of a stand-in.
 *
 * @param url - Full URL
 * @param method - HTTP method
 * @param value - JSON value
 * @throws Error when the stand-in responds with an error status
 */
export async function sendControl(
  url: string,
  method: 'PUT' | 'POST',
  value: unknown,
): Promise<void> {
  const response = await request(url, {
    method,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(value),
  });
  const text = await response.body.text();
  if (response.statusCode >= 300) throw new Error(`${url}: HTTP ${response.statusCode} ${text}`);
}
