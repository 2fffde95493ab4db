import { appendFileSync, mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { request } from 'undici';
import type { CrowdName } from '../support/callerCrowds.js';
import { crowdKinds } from '../support/callerCrowds.js';
import type { Cluster } from '../support/cluster.js';
import { startCluster } from '../support/cluster.js';
import type { CrowdedProcess } from '../support/crowdRun.js';
import { boundedOutcome, HEAP_MB, MAX_DESCRIPTORS, runCrowds } from '../support/crowdRun.js';
import { buildDeployment, countPorts, getExampleToken } from '../support/deployment.js';
import { reduceOutline, unionOutline } from '../support/outlines.js';
import { reservePorts } from '../support/ports.js';
import { writeSettingsFiles } from '../support/settingsFiles.js';

const MAX_BODY_BYTES = 1024 * 1024;
const TEST_TIMEOUT_MS = 90_000;
/** Time of an ordinary caller. */
const ORDINARY_MS = 8_000;
const SERVICE = 'payout-ledger';
const CALL_PATH = `/v1/services/${SERVICE}/calls`;

const names: readonly CrowdName[] = [
  'requests sent ahead, whose responses nobody reads',
  'requests with Expect sent ahead, whose responses nobody reads',
  'unfinished bodies in chunks of one byte',
  'bodies that stop one byte short of the limit',
  'bodies far over the limit, announced',
  'bodies far over the limit, just sent',
  'chunk extensions without end',
  'heads that stop short of their end',
  'heads that come a byte at a time',
  'connections without a request',
];
/** The kinds that hold most, together. */
const mixedNames: readonly CrowdName[] = [
  'requests sent ahead, whose responses nobody reads',
  'unfinished bodies in chunks of one byte',
  'bodies that stop one byte short of the limit',
  'bodies far over the limit, just sent',
  'heads that stop short of their end',
];

/** Settings under which the crowds that need more descriptors than allowed meet a bound on connections. */
const fewConnections = `\n[limits]\nmax_connections=${MAX_DESCRIPTORS / 4}\n`;

async function startCrowdedCluster(connections: number): Promise<Cluster> {
  const reduced = reduceOutline(unionOutline, { 'relief-assistant': 0, [SERVICE]: 1 });
  const outline = { ...reduced, entries: 1 };
  const deployment = buildDeployment(outline, await reservePorts(countPorts(outline)));
  const settings = writeSettingsFiles(deployment, mkdtempSync(join(tmpdir(), 'crowds-')));
  const entrySettings = settings.byDaemon.get(deployment.entries[0]?.id ?? '') ?? '';
  if (connections >= MAX_DESCRIPTORS) appendFileSync(entrySettings, fewConnections);
  return startCluster(deployment, {
    settings,
    entryNodeOptions: [`--max-old-space-size=${HEAP_MB}`],
  });
}

function describeEntry(cluster: Cluster, keyLines: readonly string[]): CrowdedProcess {
  const [entry] = cluster.entries;
  if (entry === undefined) throw new Error('the cluster has no entry');
  const { httpUrl, process: entryProcess } = entry;
  return {
    pid: entryProcess.pid,
    isRunning: () => entryProcess.isRunning(),
    target: {
      url: httpUrl,
      path: CALL_PATH,
      largePath: CALL_PATH,
      keyLines,
      maxBodyBytes: MAX_BODY_BYTES,
    },
    callOrdinary: async () => {
      const { statusCode, body } = await request(`${httpUrl}${CALL_PATH}`, {
        method: 'POST',
        headers: {
          authorization: `Bearer ${getExampleToken('branch-yaba')}`,
          'x-deadline-ms': String(ORDINARY_MS),
        },
        body: '{"query":"balance"}',
        signal: AbortSignal.timeout(ORDINARY_MS),
      });
      await body.dump();
      return statusCode;
    },
  };
}

describe('crowds at an entry', () => {
  const withKey = [`Authorization: Bearer ${getExampleToken('branch-ikeja')}`];

  async function checkCrowds(
    crowdNames: readonly CrowdName[],
    keyLines: readonly string[],
  ): Promise<void> {
    const kinds = crowdNames.map((name) => crowdKinds[name]);
    const connections = kinds.reduce((sum, kind) => sum + kind.connections, 0);
    const cluster = await startCrowdedCluster(connections);
    try {
      const outcome = await runCrowds(kinds, describeEntry(cluster, keyLines), (text) => {
        process.stdout.write(`    ${text}\n`);
      });
      expect(outcome).to.deep.equal(boundedOutcome);
    } finally {
      await cluster.stop();
    }
  }

  for (const name of names) {
    it(`guards against ${name}`, async () => {
      await checkCrowds([name], withKey);
    }).timeout(TEST_TIMEOUT_MS);
  }

  it('guards against requests sent ahead by callers without a key', async () => {
    await checkCrowds(['requests sent ahead, whose responses nobody reads'], []);
  }).timeout(TEST_TIMEOUT_MS);

  it('guards against several crowds at once', async () => {
    await checkCrowds(mixedNames, withKey);
  }).timeout(TEST_TIMEOUT_MS);
});
