import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { stringify } from 'ini';
import type { AgentPlan, Deployment, EntryPlan } from './deployment.js';
import { buildInitialTicket } from './deployment.js';

const LOOPBACK = '127.0.0.1';

/** Paths of the files of a deployment; settings are listed by daemon id. */
export interface SettingsFiles {
  readonly directory: string;
  readonly byDaemon: ReadonlyMap<string, string>;
  readonly ticket: string;
}

function buildProcessSettings(
  deployment: Deployment,
  plan: EntryPlan | AgentPlan,
): Record<string, unknown> {
  return {
    process: {
      id: plan.id,
      host: plan.id,
      availability_zone: plan.availabilityZone,
    },
    links: {
      listen_host: LOOPBACK,
      port: plan.linkPort,
      seeds: deployment.entries.map(({ linkPort }) => `${LOOPBACK}:${linkPort}`).join(', '),
    },
    http: { operator_port: plan.operatorPort },
    platform: { url: `http://${LOOPBACK}:${deployment.platformPort}` },
    tls: { plain: true },
  };
}

/**
 * Builds the settings of an entry.
 *
 * @param deployment - Deployment of the entry
 * @param plan - The entry
 * @returns INI text
 */
export function buildEntrySettings(deployment: Deployment, plan: EntryPlan): string {
  return stringify({
    ...buildProcessSettings(deployment, plan),
    http: { port: plan.httpPort, operator_port: plan.operatorPort },
  });
}

/**
 * Builds the settings of an agent.
 *
 * @param deployment - Deployment of the agent
 * @param plan - The agent
 * @returns INI text
 */
export function buildAgentSettings(deployment: Deployment, plan: AgentPlan): string {
  const slots = deployment.services.find(({ id }) => id === plan.service)?.slots ?? 1;
  return stringify({
    ...buildProcessSettings(deployment, plan),
    upstream: {
      id: plan.id,
      service: plan.service,
      url: `http://${LOOPBACK}:${plan.upstreamPort}`,
      slots,
    },
  });
}

/**
 * Writes the settings of all daemons and the initial ticket.
 *
 * @param deployment - The deployment
 * @param directory - Target directory, created when missing
 * @param platformPorts - Platform port by daemon id, for daemons that do not use the port of the deployment
 * @returns Paths of the files
 */
export function writeSettingsFiles(
  deployment: Deployment,
  directory: string,
  platformPorts: ReadonlyMap<string, number> = new Map(),
): SettingsFiles {
  mkdirSync(directory, { recursive: true });
  const setPlatformPort = (id: string): Deployment => ({
    ...deployment,
    platformPort: platformPorts.get(id) ?? deployment.platformPort,
  });
  const byDaemon = new Map<string, string>();
  const writeFile = (name: string, text: string): string => {
    const path = join(directory, name);
    writeFileSync(path, text);
    return path;
  };
  for (const plan of deployment.entries) {
    byDaemon.set(
      plan.id,
      writeFile(`${plan.id}.ini`, buildEntrySettings(setPlatformPort(plan.id), plan)),
    );
  }
  for (const plan of deployment.agents) {
    byDaemon.set(
      plan.id,
      writeFile(`${plan.id}.ini`, buildAgentSettings(setPlatformPort(plan.id), plan)),
    );
  }
  const ticket = writeFile(
    'ticket-1.json',
    `${JSON.stringify(buildInitialTicket(deployment), undefined, 2)}\n`,
  );
  return { directory, byDaemon, ticket };
}

/**
 * Gets the paths of the files written by `writeSettingsFiles`, without checking that they exist.
 *
 * @param deployment - The deployment
 * @param directory - Directory of the files
 * @returns Paths of the files
 */
export function findSettingsFiles(deployment: Deployment, directory: string): SettingsFiles {
  const plans = [...deployment.entries, ...deployment.agents];
  const byDaemon = new Map(plans.map(({ id }) => [id, join(directory, `${id}.ini`)]));
  return { directory, byDaemon, ticket: join(directory, 'ticket-1.json') };
}
