import { expect } from 'chai';
import { request } from 'undici';
import { startRawWorker } from '../standins/rawWorker.js';
import type { CrowdName } from '../support/callerCrowds.js';
import { crowdKinds } from '../support/callerCrowds.js';
import type { CrowdedProcess } from '../support/crowdRun.js';
import {
  boundedOutcome,
  HEAP_MB,
  MAX_DESCRIPTORS,
  MAX_MEMORY_BYTES,
  runCrowds,
} from '../support/crowdRun.js';
import { startGatewayFixture } from '../support/gatewayFixture.js';
import { startGatewayProgram, waitUntilProgramReady } from '../support/gatewayProgram.js';
import { createStopRoutes, respondByPath } from '../support/stopFixture.js';

const MAX_BODY_BYTES = 1024 * 1024;
const ROUTE_TIMEOUT_MS = 3_000;
const TEST_TIMEOUT_MS = 90_000;
/** Time of an ordinary caller. */
const ORDINARY_MS = 8_000;

const limits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: MAX_BODY_BYTES,
  headerTimeoutMs: 1_000,
  idleTimeoutMs: 60_000,
};
const tenants = [
  { name: 'crowd', apiKeys: ['key-1'], priority: 1 },
  { name: 'ordinary', apiKeys: ['key-2'], priority: 1 },
];
const memoryMb = MAX_MEMORY_BYTES / 1024 / 1024;
/** Settings under which a crowd that stays below the bound of descriptors meets the other bounds. */
const ordinaryHost = [`[host]\nmemory_mb=${memoryMb}`];
const hostWithFewDescriptors = [`[host]\nmemory_mb=${memoryMb}\ndescriptors=${MAX_DESCRIPTORS}`];

interface CrowdedGateway extends CrowdedProcess {
  close(): Promise<void>;
}

async function startCrowdedGateway(
  keyLines: readonly string[],
  connections: number,
): Promise<CrowdedGateway> {
  const worker = await startRawWorker('i-0', (socket, received) => {
    void respondByPath(socket, received);
  });
  const fixture = await startGatewayFixture({ workers: 0, ownWorkers: [worker], started: 0 });
  fixture.publishWorker(worker, { slots: 32 });
  const routes = createStopRoutes(ROUTE_TIMEOUT_MS);
  fixture.publishConfiguration(2, { routes, limits, tenants });
  const program = await startGatewayProgram({
    storePort: fixture.store.port,
    stopLimitMs: 8_000,
    heapMb: HEAP_MB,
    sections: connections < MAX_DESCRIPTORS ? ordinaryHost : hostWithFewDescriptors,
  });
  await waitUntilProgramReady(program);
  const { child, url } = program;
  return {
    pid: child.pid ?? 0,
    isRunning: () => child.exitCode === null && child.signalCode === null,
    target: {
      url,
      path: '/lookup/5',
      largePath: '/large/3000000',
      keyLines,
      maxBodyBytes: MAX_BODY_BYTES,
    },
    callOrdinary: async () => {
      const { statusCode, body } = await request(`${url}/lookup/5`, {
        headers: {
          host: 'app.example',
          'request-id': 'ordinary',
          'deadline-ms': String(ORDINARY_MS),
          'x-api-key': 'key-2',
        },
        signal: AbortSignal.timeout(ORDINARY_MS),
      });
      await body.dump();
      return statusCode;
    },
    close: async () => {
      child.kill('SIGKILL');
      await program.ended;
      await fixture.close();
      await worker.close();
    },
  };
}

const withKey = ['X-Api-Key: key-1'];
const namesWithoutKey: readonly CrowdName[] = [
  'requests sent ahead, whose responses nobody reads',
  'unfinished bodies in chunks of one byte',
  'bodies that stop one byte short of the limit',
  'bodies far over the limit, just sent',
];
/** The kinds that hold most, together. */
const mixedNames: readonly CrowdName[] = [
  'requests sent ahead, whose responses nobody reads',
  'unfinished bodies in chunks of one byte',
  'bodies that stop one byte short of the limit',
  'bodies far over the limit, just sent',
  'heads that stop short of their end',
];

describe('crowds at a gateway', () => {
  async function checkCrowds(
    names: readonly CrowdName[],
    keyLines: readonly string[],
  ): Promise<void> {
    const kinds = names.map((name) => crowdKinds[name]);
    const connections = kinds.reduce((sum, kind) => sum + kind.connections, 0);
    const gateway = await startCrowdedGateway(keyLines, connections);
    try {
      const outcome = await runCrowds(kinds, gateway, (text) => {
        process.stdout.write(`    ${text}\n`);
      });
      expect(outcome).to.deep.equal(boundedOutcome);
    } finally {
      await gateway.close();
    }
  }

  for (const name of Object.keys(crowdKinds) as CrowdName[]) {
    it(`guards against ${name}`, async () => {
      await checkCrowds([name], withKey);
    }).timeout(TEST_TIMEOUT_MS);
  }

  for (const name of namesWithoutKey) {
    it(`guards against ${name}, of callers without a key`, async () => {
      await checkCrowds([name], []);
    }).timeout(TEST_TIMEOUT_MS);
  }

  it('guards against several crowds at once', async () => {
    await checkCrowds(mixedNames, withKey);
  }).timeout(TEST_TIMEOUT_MS);
});
