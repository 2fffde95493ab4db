import type { DeploymentOutline, ServicePlan, WorkspacePlan } from './deployment.js';

const LARGE_SHARE = 0.18;
const SMALL_SHARE = 0.06;

function buildWorkspaces(large: readonly string[], small: readonly string[]): WorkspacePlan[] {
  return [
    ...large.map((id) => ({ id, share: LARGE_SHARE })),
    ...small.map((id) => ({ id, share: SMALL_SHARE })),
  ];
}

function buildEngineService(id: string, weights: Readonly<Record<string, number>>): ServicePlan {
  return {
    id,
    kind: 'engine',
    workers: 16,
    slots: 16,
    tokensPerSecond: 1000,
    state: { defaultDeadlineMs: 30_000, maxOutputTokens: 512, fencing: 'checked', ...weights },
  };
}

function buildPlainService(id: string): ServicePlan {
  return {
    id,
    kind: 'plain',
    workers: 3,
    slots: 32,
    tokensPerSecond: 1000,
    state: { repeatable: true, orders: true, defaultDeadlineMs: 10_000 },
  };
}

/** Federated Union Welfare Association of Nigeria: step-time skew is weighted higher than moved experts. */
export const unionOutline: DeploymentOutline = {
  name: 'union',
  availabilityZones: ['ikeja', 'apapa', 'lekki'],
  entries: 2,
  services: [
    buildEngineService('relief-assistant', { skewWeight: 4, moveWeight: 1 }),
    buildPlainService('payout-ledger'),
  ],
  workspaces: buildWorkspaces(
    ['branch-ikeja', 'branch-apapa', 'branch-lekki'],
    [
      'branch-badagry',
      'branch-epe',
      'branch-ikorodu',
      'branch-mushin',
      'branch-ojo',
      'branch-surulere',
      'branch-yaba',
    ],
  ),
};

/** Granite Hollow Soil Instruments: moved experts are weighted higher, because the site is unattended at night. */
export const graniteHollowOutline: DeploymentOutline = {
  name: 'granite-hollow',
  availabilityZones: ['champlain', 'connecticut', 'berkshire'],
  entries: 2,
  services: [
    buildEngineService('field-summary', { skewWeight: 1, moveWeight: 4 }),
    buildPlainService('grower-application'),
  ],
  workspaces: buildWorkspaces(
    ['dealer-champlain', 'extension-vermont', 'grower-connecticut-valley'],
    [
      'grower-addison',
      'grower-berkshire',
      'grower-hadley',
      'grower-orwell',
      'grower-shoreham',
      'grower-sunderland',
      'grower-whately',
    ],
  ),
};

/**
 * Reduces the number of workers of each service, for runs on one machine.
 *
 * @param outline - Outline of the deployment
 * @param workers - Workers by service id; services not listed keep theirs
 * @returns The reduced outline
 */
export function reduceOutline(
  outline: DeploymentOutline,
  workers: Readonly<Record<string, number>>,
): DeploymentOutline {
  const services = outline.services.map((service) => ({
    ...service,
    workers: workers[service.id] ?? service.workers,
  }));
  return { ...outline, services };
}
