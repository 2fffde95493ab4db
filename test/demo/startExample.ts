import { startCluster } from '../support/cluster.js';
import { getExampleToken } from '../support/deployment.js';
import { buildExamples } from '../support/exampleDeployments.js';
import { findSettingsFiles } from '../support/settingsFiles.js';

/** Starts an example deployment from its settings files and runs it until SIGINT: `npx tsx test/demo/startExample.ts union`. */
const name = process.argv[2] ?? 'union';
const example = buildExamples().find(({ deployment }) => deployment.name === name);
if (example === undefined) throw new Error(`unknown example ${name}`);

const { deployment, directory } = example;
const cluster = await startCluster(deployment, {
  settings: findSettingsFiles(deployment, directory),
});
for (const { plan, httpUrl } of cluster.entries) process.stdout.write(`${plan.id}: ${httpUrl}\n`);
for (const { id } of deployment.workspaces) {
  process.stdout.write(`${id}: token ${getExampleToken(id)}\n`);
}
process.stdout.write('running; SIGINT stops all processes\n');
