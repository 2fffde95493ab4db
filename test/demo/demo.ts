import { startCluster } from '../support/cluster.js';
import { buildDeployment, countPorts } from '../support/deployment.js';
import { reduceOutline, unionOutline } from '../support/outlines.js';
import { reservePorts } from '../support/ports.js';
import { stopAllProcesses } from '../support/processes.js';
import { scenarios } from './scenarios.js';
import { CHAT_SERVICE, createClient, ORDER_SERVICE, verify } from './context.js';

const DEMO_TIMEOUT_MS = 60_000;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function runDemo(): Promise<void> {
  const outline = reduceOutline(unionOutline, { [CHAT_SERVICE]: 4, [ORDER_SERVICE]: 2 });
  const deployment = buildDeployment(outline, await reservePorts(countPorts(outline)));
  const { entries, agents, availabilityZones } = deployment;
  print(
    `Starting ${entries.length} entries, ${agents.length} agents with their upstreams and the platform ` +
      `in ${availabilityZones.join(', ')}, each in a separate process.`,
  );
  const startedAt = performance.now();
  const cluster = await startCluster(deployment);
  print(`  ready after ${Math.round(performance.now() - startedAt)} ms`);
  const client = createClient(cluster);
  try {
    for (const scenario of scenarios) {
      const scenarioStartedAt = performance.now();
      const summary = await scenario.run({ cluster, client });
      print(
        `${scenario.title}: ${summary} (${Math.round(performance.now() - scenarioStartedAt)} ms)`,
      );
    }
  } finally {
    await client.close();
    const killed = await cluster.stop();
    print(`Stopped all processes${killed.length === 0 ? '' : `, killed: ${killed.join(', ')}`}.`);
    verify(killed.length === 0, `did not exit on SIGTERM: ${killed.join(', ')}`);
  }
  print(`${scenarios.length} scenarios in ${Math.round((performance.now() - startedAt) / 1000)} s`);
}

const timeoutTimer = setTimeout(() => {
  print(`FAILED: not finished within ${DEMO_TIMEOUT_MS} ms`);
  process.exit(1);
}, DEMO_TIMEOUT_MS);

try {
  await runDemo();
  print('OK');
} catch (error) {
  print(`FAILED: ${error instanceof Error ? error.message : String(error)}`);
  process.exitCode = 1;
} finally {
  clearTimeout(timeoutTimer);
  stopAllProcesses();
}
