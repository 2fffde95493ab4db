import { expect } from 'chai';
import { startRawWorker } from '../standins/rawWorker.js';
import { startGatewayFixture } from '../support/gatewayFixture.js';
import type { GatewayProgram } from '../support/gatewayProgram.js';
import { waitUntilListenerClosed } from '../support/gatewayProgram.js';
import { RawCaller } from '../support/rawCaller.js';
import {
  createStopRoutes,
  formatTimedRequest,
  listResponses,
  respondByPath,
} from '../support/stopFixture.js';
import type { StoppingGateway } from '../support/stoppingGateway.js';
import { startStoppingGateway } from '../support/stoppingGateway.js';
import { waitMs, waitUntil } from '../support/waiting.js';

const STOP_LIMIT_MS = 6_000;
/** End of all requests, relative to SIGTERM. */
const REQUEST_LIMIT_MS = STOP_LIMIT_MS - 500;
const CALLER_TIMEOUT_MS = 8_000;
const ROUTE_TIMEOUT_MS = 20_000;

describe('stopping gateway that is not scheduled, or knows few durations', function () {
  this.timeout(40_000);
  let gateway: StoppingGateway;
  let program: GatewayProgram;

  const start = async (slots?: number, routeFields?: object): Promise<void> => {
    gateway = await startStoppingGateway({
      stopLimitMs: STOP_LIMIT_MS,
      routeTimeoutMs: ROUTE_TIMEOUT_MS,
      ...(slots === undefined ? {} : { slots }),
      ...(routeFields === undefined ? {} : { routeFields }),
    });
    ({ program } = gateway);
  };
  afterEach(() => gateway.close());

  const hasRun = (requestId: string): boolean => gateway.listRuns().includes(requestId);
  const startCaller = async (id: string, path: string): Promise<RawCaller> => {
    const caller = new RawCaller(program.url);
    caller.send(formatTimedRequest(path, id, 'question', ROUTE_TIMEOUT_MS));
    await waitUntil('sent', () => hasRun(id));
    return caller;
  };

  // After a pause the timer of the limit runs before the sockets of the upstreams are read.
  it('guards against answers that were ready before the limit and are cut because a pause ends after it', async () => {
    await start();
    const paths = ['/pay/4900', '/talk/4900', '/chat/4900'];
    const callers = await Promise.all(paths.map((path, index) => startCaller(`r-${index}`, path)));
    program.child.kill('SIGTERM');
    const startedAt = performance.now();
    await waitMs(REQUEST_LIMIT_MS - 1_000);
    program.child.kill('SIGSTOP');
    await waitMs(startedAt + REQUEST_LIMIT_MS + 50 - performance.now());
    program.child.kill('SIGCONT');
    const exchanges = await Promise.all(
      callers.map((caller) => caller.waitForEnd(CALLER_TIMEOUT_MS)),
    );
    const ends = exchanges.map((exchange) => {
      const { status, end } = listResponses(exchange)[0] ?? {};
      return { status, end };
    });
    expect(ends).to.deep.equal(paths.map(() => ({ status: 200, end: 'complete' })));
  });

  // After a pause the limit counts from its end, so that the platform kills the process before it has refused them.
  it('guards against queued requests without a response when the process is killed after a pause', async () => {
    await start(1, { targetLatencyMs: 20_000 });
    await startCaller('r-0', '/pay/19000');
    const queued = [0, 1].map((index) => {
      const caller = new RawCaller(program.url);
      caller.send(formatTimedRequest('/pay/100', `q-${index}`, 'question', ROUTE_TIMEOUT_MS));
      return caller;
    });
    await waitMs(300);
    program.child.kill('SIGSTOP');
    program.child.kill('SIGTERM');
    const killTimer = setTimeout(() => program.child.kill('SIGKILL'), STOP_LIMIT_MS);
    await waitMs(4_000);
    program.child.kill('SIGCONT');
    const exchanges = await Promise.all(
      queued.map((caller) => caller.waitForEnd(CALLER_TIMEOUT_MS)),
    );
    clearTimeout(killTimer);
    expect([hasRun('q-0'), hasRun('q-1')]).to.deep.equal([false, false]);
    const statuses = exchanges.map((exchange) => listResponses(exchange)[0]?.status);
    expect(statuses).to.deep.equal([503, 503]);
  });

  // Only requests that have ended count, so that a gateway which has just started knows the shortest ones only.
  it('guards against a late stream that is taken although others of its route have run for far longer', async () => {
    await start();
    const running = await Promise.all(
      [0, 1, 2].map((index) => startCaller(`s-${index}`, '/talk/19000')),
    );
    const warmer = new RawCaller(program.url);
    for (let index = 0; index < 8; index += 1) {
      warmer.send(formatTimedRequest('/talk/100', `w-${index}`, 'question', ROUTE_TIMEOUT_MS));
      await waitUntil('answered', () => listResponses(warmer)[index]?.end === 'complete');
    }
    const caller = await startCaller('r-0', '/chat/3300');
    await waitUntil('stream begun', () => caller.received.includes('id: 1'));
    program.child.kill('SIGTERM');
    await waitUntil('stream ended', () => listResponses(caller)[0]?.end === 'complete');
    await waitUntilListenerClosed(program);
    caller.send(formatTimedRequest('/talk/19000', 'r-1', 'question', ROUTE_TIMEOUT_MS));
    const exchange = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    for (const other of running) other.close();
    const { status, end } = listResponses(exchange)[1] ?? {};
    expect({ hasRun: hasRun('r-1'), status, end }).to.deep.equal({
      hasRun: false,
      status: 503,
      end: 'complete',
    });
  });

  // A request that was taken before SIGTERM is sent during the stop behind a stream that the limit cuts.
  it('guards against a queued pipelined payment that is sent during the stop behind a stream', async () => {
    await start(2, { targetLatencyMs: 20_000 });
    const other = await startCaller('r-x', '/pay/1000');
    const caller = await startCaller('r-0', '/chat/19000');
    await waitUntil('stream begun', () => caller.received.includes('id: 1'));
    caller.send(formatTimedRequest('/pay/50', 'r-1', 'question', 4_000));
    await waitMs(200);
    expect(hasRun('r-1')).to.equal(false);
    program.child.kill('SIGTERM');
    const exchange = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    other.close();
    expect(listResponses(exchange)).to.have.length(1);
    expect(hasRun('r-1')).to.equal(false);
  });
});

describe('clock step during a stop', function () {
  this.timeout(20_000);
  const readDate = Date.now;
  afterEach(() => {
    Date.now = readDate;
  });

  for (const isStopping of [false, true]) {
    const title = isStopping ? 'of a gateway that stops' : 'of a gateway that does not stop';
    // A step of the wall clock counts as a suspend of the host, and ends the time that the stop has left.
    it(`guards against a forward step of the wall clock that cuts the streams ${title}`, async () => {
      const worker = await startRawWorker(
        'i-0',
        (socket, request) => void respondByPath(socket, request),
      );
      const fixture = await startGatewayFixture({ workers: 0, ownWorkers: [worker] });
      fixture.publishConfiguration(2, { routes: createStopRoutes(ROUTE_TIMEOUT_MS) });
      await waitMs(1_000);
      const caller = new RawCaller(fixture.urls[0] ?? '');
      caller.send(formatTimedRequest('/talk/4500', 'r-0', 'question', ROUTE_TIMEOUT_MS));
      await waitUntil('stream begun', () => caller.received.includes('id: 1'));
      const stopped = isStopping ? fixture.gateways[0]?.drain() : undefined;
      await waitMs(3_300);
      Date.now = () => readDate() + 20_000;
      const exchange = await caller.waitForEnd(5_000);
      Date.now = readDate;
      await stopped;
      await fixture.close();
      await worker.close();
      expect(listResponses(exchange)[0]).to.include({ status: 200, end: 'complete' });
    });
  }
});
