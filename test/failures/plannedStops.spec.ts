import { expect } from 'chai';
import { request } from 'undici';
import { eventsPerStream, formatEvent } from '../standins/platformWorker.js';
import type { GatewayFixture, GatewayResponse } from '../support/gatewayFixture.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';
import type { GatewayProgram } from '../support/gatewayProgram.js';
import { startGatewayProgram, waitUntilProgramReady } from '../support/gatewayProgram.js';
import { waitMs, waitUntil } from '../support/waiting.js';

const completeStream = Array.from({ length: eventsPerStream }, (_, index) =>
  formatEvent(index + 1),
).join('');
const EVENT_INTERVAL_MS = 250;
const STOP_LIMIT_MS = 8_000;

describe('planned stops of the gateway program', function () {
  this.timeout(40_000);
  let fixture: GatewayFixture;
  let program: GatewayProgram;

  beforeEach(async () => {
    fixture = await startGatewayFixture({ workers: 1, gateways: 1, started: 0 });
    fixture.workers[0]!.eventIntervalMs = EVENT_INTERVAL_MS;
    program = await startGatewayProgram({
      storePort: fixture.store.port,
      stopLimitMs: STOP_LIMIT_MS,
    });
  });
  afterEach(async () => {
    program.child.kill('SIGKILL');
    await fixture.close();
  });

  const startStream = async (): Promise<Promise<GatewayResponse>> => {
    const stream = callGateway(program.url, '/chat/a', { 'deadline-ms': '6000' });
    await waitUntil('stream begun', () => fixture.workers[0]!.receivedRequests.length > 0);
    return stream;
  };

  // The second signal had no handler and ended the process with its streams.
  it('guards against requests that a repeated stop signal cuts off', async () => {
    await waitUntilProgramReady(program);
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
    await waitUntilProgramReady(program);
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
