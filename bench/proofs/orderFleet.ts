import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import type { Cluster, ClusterAgent } from '../../test/support/cluster.js';
import { sendControl, startCluster } from '../../test/support/cluster.js';
import type { AgentPlan, Deployment } from '../../test/support/deployment.js';
import { buildDeployment, buildInitialTicket, countPorts } from '../../test/support/deployment.js';
import { reduceOutline, unionOutline } from '../../test/support/outlines.js';
import { reservePorts } from '../../test/support/ports.js';
import type { RunningProcess } from '../../test/support/processes.js';
import { startProcess } from '../../test/support/processes.js';
import { writeSettingsFiles } from '../../test/support/settingsFiles.js';
import { waitUntil } from '../../test/support/waiting.js';
import { OrderRelay } from './orderRelay.js';

export const ORDER_SERVICE = 'payout-ledger';
/** Processing time of an order in the plain services, so that faults occur while orders are in flight. */
export const ORDER_DELAY_MS = 80;
/** Short, so that slots can expire during a pause. */
export const SLOT_TTL_MS = 5_000;
const AGENTS = 3;
const REPAIR_TIMEOUT_MS = 15_000;
/** Relays listen on 127.0.0.1, initial agents on 127.0.0.2, replacements on the following addresses. */
const FIRST_AGENT_ADDRESS = 2;
const LAST_AGENT_ADDRESS = 250;

/** Entries, agents behind relays, and plain services of an order proof. */
export class OrderFleet {
  private nextAddress = FIRST_AGENT_ADDRESS + 1;
  private nextTicket = 2;

  constructor(
    readonly cluster: Cluster,
    private readonly relays: ReadonlyMap<string, OrderRelay>,
    private readonly directory: string,
    private readonly script: string,
  ) {}

  get agents(): readonly ClusterAgent[] {
    return this.cluster.agents;
  }

  /**
   * Gets the relay in front of an agent.
   *
   * @param agent - The agent
   * @returns Its relay
   */
  getRelay(agent: ClusterAgent): OrderRelay {
    const relay = this.relays.get(agent.plan.id);
    if (relay === undefined) throw new Error(`no relay for ${agent.plan.id}`);
    return relay;
  }

  /**
   * Starts a second agent for the same host and upstream on another loopback address.
   *
   * @param agent - Agent to be replaced; it is not changed
   * @returns The new process and its address
   */
  async startReplacement(agent: ClusterAgent): Promise<{ process: RunningProcess; host: string }> {
    const { id } = agent.plan;
    const host = `127.0.0.${this.nextAddress}`;
    this.nextAddress += 1;
    if (this.nextAddress > LAST_AGENT_ADDRESS) this.nextAddress = FIRST_AGENT_ADDRESS + 1;
    const settings = join(this.directory, `${id}.ini`);
    const text = readFileSync(settings, 'utf8');
    // Changed in place, so that a later restart uses the address that the relay connects to.
    writeFileSync(settings, text.replace(/^listen_host=.*$/m, `listen_host=${host}`));
    return {
      process: await startProcess(id, this.script, ['agent', '--settings', settings]),
      host,
    };
  }

  /**
   * Publishes a new address of an upstream.
   *
   * @param plan - Agent of the upstream
   * @param address - `ip:port`
   */
  async publishAddress(plan: AgentPlan, address: string): Promise<void> {
    const { objects } = buildInitialTicket(this.cluster.deployment);
    const upstream = objects.find(({ kind, id }) => kind === 'upstream' && id === plan.id);
    if (upstream === undefined) throw new Error(`no upstream ${plan.id}`);
    const moved = { ...upstream, state: { ...upstream.state, address } };
    await this.cluster.publishTicket({ ticket: this.nextTicket, objects: [moved] });
    this.nextTicket += 1;
  }

  /** Waits until every entry is ready and lists every agent again. */
  async waitForRepair(): Promise<void> {
    for (const { plan } of this.cluster.entries) {
      await waitUntil(
        `${plan.id} is ready and lists all agents`,
        async () => {
          const dump = await this.cluster.readOperator(plan);
          const agents = dump.agents as { upstream?: string; accepting?: boolean }[];
          return dump.ready === true && agents.length >= AGENTS;
        },
        { timeoutMs: REPAIR_TIMEOUT_MS },
      );
    }
  }

  /**
   * Counts the recorded executions of each intent.
   *
   * @returns Runs by intent
   */
  async countRuns(): Promise<Map<string, number>> {
    const runs = new Map<string, number>();
    for (const { upstreamUrl } of this.agents) {
      const response = await request(`${upstreamUrl}/executions`);
      for (const { body } of (await response.body.json()) as { body: string }[]) {
        const { intent } = JSON.parse(body) as { intent: string };
        runs.set(intent, (runs.get(intent) ?? 0) + 1);
      }
    }
    return runs;
  }

  /** Stops all processes and relays. */
  async stop(): Promise<void> {
    await this.cluster.stop();
    for (const relay of this.relays.values()) relay.close();
    rmSync(this.directory, { recursive: true, force: true });
  }
}

/**
 * Starts a fleet with one entry in each availability zone, because entries prefer agents of their own zone.
 *
 * @param program - `source` runs through tsx; `built` needs a fresh `npm run build`
 * @returns The running fleet
 */
export async function startOrderFleet(program: 'source' | 'built'): Promise<OrderFleet> {
  const workers = { 'relief-assistant': 0, [ORDER_SERVICE]: AGENTS };
  const entries = unionOutline.availabilityZones.length;
  const outline = { ...reduceOutline(unionOutline, workers), entries };
  const deployment = buildDeployment(outline, await reservePorts(countPorts(outline)));
  const directory = mkdtempSync(join(tmpdir(), 'parsleyfold-orders-'));
  const files = writeSettingsFiles(deployment, directory);
  const relays = await startRelays(deployment, files.byDaemon);
  const cluster = await startCluster(deployment, { program, settings: files });
  for (const { upstreamUrl } of cluster.agents) {
    await sendControl(`${upstreamUrl}/control`, 'POST', { delayMs: ORDER_DELAY_MS });
  }
  const script = program === 'built' ? 'bin/parsleyfold.js' : 'src/cli/main.ts';
  const fleet = new OrderFleet(cluster, relays, directory, script);
  await fleet.waitForRepair();
  return fleet;
}

/** Moves each agent to another loopback address and starts a relay at its published address. */
async function startRelays(
  deployment: Deployment,
  settings: ReadonlyMap<string, string>,
): Promise<Map<string, OrderRelay>> {
  const relays = new Map<string, OrderRelay>();
  const host = `127.0.0.${FIRST_AGENT_ADDRESS}`;
  for (const { id, linkPort } of deployment.agents) {
    const file = settings.get(id);
    if (file === undefined) throw new Error(`no settings for ${id}`);
    const text = readFileSync(file, 'utf8').replace(/^listen_host=.*$/m, `listen_host=${host}`);
    const limits = `[limits]\norder_slot_ttl=${SLOT_TTL_MS}ms\norder_memory_margin=60s\n`;
    writeFileSync(file, `${text}\n${limits}`);
    const relay = new OrderRelay({ host, port: linkPort });
    await relay.listen(linkPort);
    relays.set(id, relay);
  }
  return relays;
}
