import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { request } from 'undici';
import { eventsPerStream, formatEvent } from '../standins/platformWorker.js';
import type { GatewayFixture, GatewayResponse } from '../support/gatewayFixture.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';
import { reservePorts } from '../support/ports.js';
import { waitMs, waitUntil } from '../support/waiting.js';

const completeStream = Array.from({ length: eventsPerStream }, (_, index) =>
  formatEvent(index + 1),
).join('');
const EVENT_INTERVAL_MS = 250;
const STOP_LIMIT_MS = 8_000;

interface GatewayProgram {
  readonly child: ChildProcess;
  readonly url: string;
  readonly readyUrl: string;
  /** Resolves with the exit code, or the signal that ended the process. */
  readonly ended: Promise<number | string | null>;
}

describe('planned stops of the gateway program', function () {
  this.timeout(40_000);
  let fixture: GatewayFixture;
  let program: GatewayProgram;

  beforeEach(async () => {
    fixture = await startGatewayFixture({ workers: 1, gateways: 1, started: 0 });
    fixture.workers[0]!.eventIntervalMs = EVENT_INTERVAL_MS;
    program = await startProgram(fixture.store.port);
  });
  afterEach(async () => {
    program.child.kill('SIGKILL');
    await fixture.close();
  });

  const waitUntilReady = async (): Promise<void> => {
    await waitUntil(
      'gateway ready',
      async () => (await request(program.readyUrl)).statusCode === 200,
      { timeoutMs: 20_000 },
    );
  };
  const startStream = async (): Promise<Promise<GatewayResponse>> => {
    const stream = callGateway(program.url, '/chat/a', { 'deadline-ms': '6000' });
    await waitUntil('stream begun', () => fixture.workers[0]!.receivedRequests.length > 0);
    return stream;
  };

  // The second signal had no handler and ended the process with its streams.
  it('guards against requests that a repeated stop signal cuts off', async () => {
    await waitUntilReady();
    const stream = startStream();
    await waitMs(2 * EVENT_INTERVAL_MS);
    program.child.kill('SIGTERM');
    await waitMs(EVENT_INTERVAL_MS);
    program.child.kill('SIGTERM');
    program.child.kill('SIGHUP');
    const answer = await stream;
    expect(answer).to.include({ status: 200, isComplete: true, body: completeStream });
    expect(await program.ended).to.equal(0);
  });

  it('guards against a stop signal before the first configuration that is not obeyed', async () => {
    fixture.store.mode = 'busy';
    await waitUntil('process runs', async () => {
      const response = await request(program.readyUrl);
      return response.statusCode === 503 || response.statusCode === 200;
    });
    program.child.kill('SIGTERM');
    expect(await program.ended).to.equal(0);
  });

  it('guards against requests that a stop cuts off while the store is away', async () => {
    await waitUntilReady();
    fixture.store.mode = 'unresponsive';
    const stream = startStream();
    await waitMs(EVENT_INTERVAL_MS);
    const stoppedAt = performance.now();
    program.child.kill('SIGTERM');
    expect(await stream).to.include({ status: 200, isComplete: true, body: completeStream });
    expect(await program.ended).to.equal(0);
    expect(performance.now() - stoppedAt).to.be.below(STOP_LIMIT_MS);
  });
});

async function startProgram(storePort: number): Promise<GatewayProgram> {
  const [front = 0, ready = 0, links = 0, metrics = 0] = await reservePorts(4);
  const file = join(mkdtempSync(join(tmpdir(), 'stops-')), 'gateway.ini');
  const sections = [
    `[process]\nid=gateway-1\navailability_zone=a\nstop_limit_seconds=${STOP_LIMIT_MS / 1000}`,
    `[listen]\nfront=127.0.0.1:${front}\nready=127.0.0.1:${ready}`,
    `links=127.0.0.1:${links}\nmetrics_port=${metrics}`,
    `[peers]\nseeds=\n[store]\naddress=127.0.0.1:${storePort}\n[keys]\nproof_ms=5000`,
    '[repeats]\nwindow_seconds=10\nratio=0.2\nextra=90',
  ];
  writeFileSync(file, sections.join('\n'));
  const child = spawn(process.execPath, ['--import', 'tsx', 'platform/main.ts', 'gateway', file], {
    stdio: 'ignore',
  });
  const ended = new Promise<number | string | null>((resolve) => {
    child.once('exit', (code, signal) => {
      resolve(signal ?? code);
    });
  });
  const readyUrl = `http://127.0.0.1:${ready}/ready`;
  return { child, url: `http://127.0.0.1:${front}`, readyUrl, ended };
}
