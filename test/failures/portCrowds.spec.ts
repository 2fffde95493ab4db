import { expect } from 'chai';
import { request } from 'undici';
import { startRawWorker } from '../standins/rawWorker.js';
import type { CrowdKind, CrowdName } from '../support/callerCrowds.js';
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
import {
  reserveGatewayPorts,
  startGatewayProgram,
  waitUntilProgramReady,
} from '../support/gatewayProgram.js';
import type { GatewayPorts } from '../support/gatewayProgram.js';
import { createStopRoutes, respondByPath } from '../support/stopFixture.js';

const TEST_TIMEOUT_MS = 90_000;
const ORDINARY_MS = 8_000;
/** Length that each frame announces; the largest that peers may send is a little longer. */
const FRAME_BYTES = 2_000_000;
const FRAME_CONNECTIONS = 200;
const WRITE_BYTES = 64 * 1024;

/** Frames of a peer that has not introduced itself, which stop just short of their end. */
const unfinishedFrames: CrowdKind = {
  connections: FRAME_CONNECTIONS,
  isReading: true,
  isClosed: true,
  *createWrites() {
    const header = Buffer.alloc(4);
    header.writeUInt32BE(FRAME_BYTES);
    yield header;
    const part = Buffer.alloc(WRITE_BYTES, 'x');
    for (let left = FRAME_BYTES - 1; left > 0; left -= WRITE_BYTES)
      yield part.subarray(0, Math.min(left, WRITE_BYTES));
  },
};

const httpKinds: readonly CrowdName[] = [
  'requests sent ahead, whose responses nobody reads',
  'unfinished bodies in chunks of one byte',
  'heads that stop short of their end',
  'connections without a request',
];

interface PortCase {
  readonly port: keyof GatewayPorts;
  readonly path: string;
  readonly name: string;
  readonly kind: CrowdKind;
}

const cases: PortCase[] = [
  ...httpKinds.map(
    (name) => ({ port: 'ready', path: '/ready', name, kind: crowdKinds[name] }) as const,
  ),
  ...httpKinds.map(
    (name) => ({ port: 'metrics', path: '/dump', name, kind: crowdKinds[name] }) as const,
  ),
  {
    port: 'links',
    path: '',
    name: 'frames that stop just short of their end',
    kind: unfinishedFrames,
  },
  {
    port: 'links',
    path: '',
    name: 'connections without a request',
    kind: crowdKinds['connections without a request'],
  },
];

describe('crowds at the other ports of a gateway', () => {
  for (const { port, path, name, kind } of cases) {
    it(`guards against ${name}, at the port ${port}`, async () => {
      const worker = await startRawWorker('i-0', (socket, received) => {
        void respondByPath(socket, received);
      });
      const fixture = await startGatewayFixture({ workers: 0, ownWorkers: [worker], started: 0 });
      fixture.publishConfiguration(2, { routes: createStopRoutes(3_000) });
      const ports = await reserveGatewayPorts();
      const program = await startGatewayProgram({
        storePort: fixture.store.port,
        stopLimitMs: 8_000,
        ports,
        heapMb: HEAP_MB,
        sections: [
          `[host]\nmemory_mb=${MAX_MEMORY_BYTES / 1024 / 1024}\ndescriptors=${MAX_DESCRIPTORS}`,
        ],
      });
      await waitUntilProgramReady(program);
      const { child, url, readyUrl } = program;
      const called: CrowdedProcess = {
        pid: child.pid ?? 0,
        isRunning: () => child.exitCode === null && child.signalCode === null,
        target: {
          url: `http://127.0.0.1:${ports[port]}`,
          path,
          largePath: path,
          keyLines: [],
          maxBodyBytes: 1024 * 1024,
        },
        callOrdinary: async () => {
          const signal = AbortSignal.timeout(ORDINARY_MS);
          const ready = await request(readyUrl, { signal });
          await ready.body.dump();
          if (ready.statusCode !== 200) return ready.statusCode;
          const headers = {
            host: 'app.example',
            'request-id': 'ordinary',
            'deadline-ms': String(ORDINARY_MS),
            'x-api-key': 'key-1',
          };
          const { statusCode, body } = await request(`${url}/lookup/5`, { headers, signal });
          await body.dump();
          return statusCode;
        },
      };
      try {
        const outcome = await runCrowds([kind], called, (text) => {
          process.stdout.write(`    ${text}\n`);
        });
        expect(outcome).to.deep.equal(boundedOutcome);
      } finally {
        child.kill('SIGKILL');
        await program.ended;
        await fixture.close();
        await worker.close();
      }
    }).timeout(TEST_TIMEOUT_MS);
  }
});
