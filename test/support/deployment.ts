import { createHash } from 'node:crypto';

/** Deployment model from which settings, tickets and processes are created. */

export interface EntryPlan {
  readonly id: string;
  readonly availabilityZone: string;
  readonly httpPort: number;
  readonly linkPort: number;
  readonly operatorPort: number;
}

export interface AgentPlan {
  readonly id: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly linkPort: number;
  readonly operatorPort: number;
  /** Port of the engine or plain service that the agent fronts. */
  readonly upstreamPort: number;
}

export interface WorkspacePlan {
  readonly id: string;
  /** Guaranteed share of each service's capacity, 0 to 1. */
  readonly share: number;
}

export interface ServicePlan {
  readonly id: string;
  readonly kind: 'engine' | 'plain';
  readonly workers: number;
  readonly slots: number;
  readonly tokensPerSecond: number;
  readonly state: Readonly<Record<string, unknown>>;
}

export interface Deployment {
  readonly name: string;
  readonly availabilityZones: readonly string[];
  readonly platformPort: number;
  readonly entries: readonly EntryPlan[];
  readonly agents: readonly AgentPlan[];
  readonly services: readonly ServicePlan[];
  readonly workspaces: readonly WorkspacePlan[];
}

/** Input of `buildDeployment`: a deployment before ports are assigned. */
export interface DeploymentOutline {
  readonly name: string;
  readonly availabilityZones: readonly string[];
  readonly entries: number;
  readonly services: readonly ServicePlan[];
  readonly workspaces: readonly WorkspacePlan[];
}

const PORTS_PER_ENTRY = 3;
const PORTS_PER_AGENT = 3;

/**
 * Counts the ports of a deployment: one for the platform and three for each entry and for each agent with its upstream.
 *
 * @param outline - Outline of the deployment
 * @returns Number of ports
 */
export function countPorts(outline: DeploymentOutline): number {
  const workers = outline.services.reduce((total, service) => total + service.workers, 0);
  return 1 + outline.entries * PORTS_PER_ENTRY + workers * PORTS_PER_AGENT;
}

/**
 * Builds a deployment, distributing daemons round-robin over the availability zones.
 *
 * @param outline - Outline of the deployment
 * @param ports - Free ports, as many as `countPorts` returns
 * @returns The deployment
 * @throws Error when there are too few ports
 */
export function buildDeployment(outline: DeploymentOutline, ports: readonly number[]): Deployment {
  const remainingPorts = [...ports];
  const takePort = (): number => {
    const port = remainingPorts.shift();
    if (port === undefined) throw new Error('too few ports for the deployment');
    return port;
  };
  const selectZone = (index: number): string =>
    outline.availabilityZones[index % outline.availabilityZones.length] ?? '';
  const platformPort = takePort();
  const entries = Array.from({ length: outline.entries }, (_, index) => ({
    id: `entry-${index + 1}`,
    availabilityZone: selectZone(index),
    httpPort: takePort(),
    linkPort: takePort(),
    operatorPort: takePort(),
  }));
  const agents = outline.services.flatMap((service) =>
    Array.from({ length: service.workers }, (_, index) => ({
      id: `${service.id}-${index + 1}`,
      service: service.id,
      availabilityZone: selectZone(index),
      linkPort: takePort(),
      operatorPort: takePort(),
      upstreamPort: takePort(),
    })),
  );
  return { ...outline, platformPort, entries, agents };
}

/**
 * Gets the bearer token of a workspace in tests, examples and the demo. It is not secret.
 *
 * @param workspace - Workspace id
 * @returns The token
 */
export function getExampleToken(workspace: string): string {
  return `example-token-${workspace}`;
}

/**
 * Builds the initial ticket of a deployment, with all its services, workspaces and upstreams.
 *
 * @param deployment - The deployment
 * @returns The ticket with number 1
 */
export function buildInitialTicket(deployment: Deployment): {
  ticket: number;
  objects: { kind: string; id: string; state: Record<string, unknown> }[];
} {
  const services = deployment.services.map(({ id, kind, state }) => ({
    kind: 'service',
    id,
    state: { kind, ...state },
  }));
  const workspaces = deployment.workspaces.map(({ id, share }) => ({
    kind: 'workspace',
    id,
    state: {
      tokenHashes: [createHash('sha256').update(getExampleToken(id)).digest('hex')],
      shares: Object.fromEntries(deployment.services.map((service) => [service.id, share])),
    },
  }));
  const upstreams = deployment.agents.map((agent) => {
    const service = deployment.services.find(({ id }) => id === agent.service);
    return {
      kind: 'upstream',
      id: agent.id,
      state: {
        service: agent.service,
        host: agent.id,
        availabilityZone: agent.availabilityZone,
        address: `127.0.0.1:${agent.linkPort}`,
        slots: service?.slots ?? 1,
        tokensPerSecond: service?.tokensPerSecond ?? 1,
      },
    };
  });
  return { ticket: 1, objects: [...services, ...workspaces, ...upstreams] };
}
