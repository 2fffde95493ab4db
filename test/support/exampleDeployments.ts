import { join } from 'node:path';
import type { Deployment, DeploymentOutline } from './deployment.js';
import { buildDeployment, countPorts } from './deployment.js';
import { graniteHollowOutline, unionOutline } from './outlines.js';
import { rootDirectory } from './processes.js';

/** Deployments with their first loopback port; the port ranges do not overlap, so that all can run at the same time. */
const outlines: readonly { outline: DeploymentOutline; firstPort: number }[] = [
  { outline: unionOutline, firstPort: 18_000 },
  { outline: graniteHollowOutline, firstPort: 19_000 },
];

/** Example deployment and the directory of its settings. */
export interface Example {
  readonly deployment: Deployment;
  readonly directory: string;
}

/**
 * Builds the deployments whose files are in `examples/`.
 *
 * @returns The examples
 */
export function buildExamples(): Example[] {
  return outlines.map(({ outline, firstPort }) => {
    const ports = Array.from({ length: countPorts(outline) }, (_, index) => firstPort + index);
    const directory = join(rootDirectory, 'examples', outline.name);
    return { deployment: buildDeployment(outline, ports), directory };
  });
}
