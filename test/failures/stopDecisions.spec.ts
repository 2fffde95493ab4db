import { expect } from 'chai';
import { formatChunk, formatHead, startRawWorker } from '../standins/rawWorker.js';
import { formatEvent } from '../standins/platformWorker.js';
import { startGatewayFixture } from '../support/gatewayFixture.js';
import type { GatewayProgram } from '../support/gatewayProgram.js';
import { waitUntilListenerClosed } from '../support/gatewayProgram.js';
import { RawCaller } from '../support/rawCaller.js';
import type { Responder } from '../support/stopFixture.js';
import {
  EVENT_INTERVAL_MS,
  formatTimedRequest,
  listResponses,
  respondByPath,
} from '../support/stopFixture.js';
import type { StoppingGateway } from '../support/stoppingGateway.js';
import { startStoppingGateway } from '../support/stoppingGateway.js';
import { waitMs, waitUntil } from '../support/waiting.js';

const STOP_LIMIT_MS = 6_000;
/** Shorter than the time for which the load balancer still opens connections. */
const SHORT_STOP_LIMIT_MS = 2_000;
const CALLER_TIMEOUT_MS = 8_000;
const ROUTE_TIMEOUT_MS = 20_000;
const QUEUED_CALLERS = 40;
/** Fits into the buffers of the kernel, more than its caller has received while it does not read. */
const MEDIUM_BODY_BYTES = 3_000_000;

/** The time limit of such a request lies beyond that of the stop. */
const LONG_DEADLINE_MS = ROUTE_TIMEOUT_MS;

describe('decisions of a stopping gateway', function () {
  this.timeout(40_000);
  let gateway: StoppingGateway;
  let program: GatewayProgram;

  const start = async (stopLimitMs: number, responders?: readonly Responder[]): Promise<void> => {
    gateway = await startStoppingGateway({
      stopLimitMs,
      routeTimeoutMs: ROUTE_TIMEOUT_MS,
      ...(responders === undefined ? {} : { responders }),
    });
    ({ program } = gateway);
  };
  afterEach(() => gateway.close());

  const countRuns = (requestId: string): number =>
    gateway.listRuns().filter((sent) => sent === requestId).length;
  /** Starts a stream whose head comes before SIGTERM, so that it cannot announce the close of its connection. */
  const startEarlyStream = async (id: string, path: string): Promise<RawCaller> => {
    const caller = new RawCaller(program.url);
    caller.send(formatTimedRequest(path, id, 'question', LONG_DEADLINE_MS));
    await waitUntil('stream begun', () => caller.received.includes('id: 1'));
    return caller;
  };

  // The wait for the load balancer ignores the limit, so that the process is killed before it ends what is left.
  it('guards against a stop that outlasts a limit shorter than the time until the listener closes', async () => {
    await start(SHORT_STOP_LIMIT_MS);
    const caller = new RawCaller(program.url);
    caller.send(formatTimedRequest('/pay/19000', 'r-1', 'question', LONG_DEADLINE_MS));
    await waitUntil('sent', () => countRuns('r-1') === 1);
    program.child.kill('SIGTERM');
    const killTimer = setTimeout(() => program.child.kill('SIGKILL'), SHORT_STOP_LIMIT_MS);
    const exchange = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    const exit = await program.ended;
    clearTimeout(killTimer);
    expect(exit).to.equal(0);
    expect(listResponses(exchange)[0]).to.include({ status: 504, end: 'complete' });
  });

  // The response to a pipelined request waits for that before it, which the limit cuts; the payment has run unanswered.
  it('guards against a pipelined request that runs behind a stream which the limit cuts', async () => {
    await start(STOP_LIMIT_MS);
    const caller = await startEarlyStream('r-0', '/chat/19000');
    program.child.kill('SIGTERM');
    await waitMs(3_000);
    caller.send(formatTimedRequest('/pay/100', 'r-1', 'question', 1_500));
    const exchange = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    expect(listResponses(exchange)[0]).to.include({ requestId: 'r-0', end: 'cut' });
    expect(countRuns('r-1')).to.equal(0);
  });

  // A connection counts as idle while the head of a request is on its way.
  it('guards against a close between two parts of the head of a request', async () => {
    await start(STOP_LIMIT_MS);
    const caller = new RawCaller(program.url);
    const text = formatTimedRequest('/pay/50', 'r-1', 'question', 1_500);
    program.child.kill('SIGTERM');
    await waitMs(1_500);
    caller.send(text.slice(0, 40));
    await waitMs(1_300);
    caller.send(text.slice(40));
    const exchange = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    expect(listResponses(exchange)[0]).to.include({ requestId: 'r-1', end: 'complete' });
  });

  // Without a completed request of the service its duration is unknown, and a payment was sent with no time left: its
  // caller learns that it may have run, although it could have been told that it has not.
  it('guards against a payment that is sent to another upstream right before the limit', async () => {
    const limitMs = STOP_LIMIT_MS - 500;
    const refuseLate: Responder = async (socket, request) => {
      await waitMs(limitMs - 400);
      socket.end(
        formatHead(request.requestId, ['Not-Executed: 1', 'Content-Length: 0'], '503 Busy'),
      );
    };
    let count = 0;
    const alternate: Responder = (socket, request) => {
      count += 1;
      return count === 1 ? refuseLate(socket, request) : respondByPath(socket, request);
    };
    await start(STOP_LIMIT_MS, [alternate, alternate]);
    const caller = new RawCaller(program.url);
    caller.send(formatTimedRequest('/pay/3000', 'r-1', 'question', LONG_DEADLINE_MS));
    await waitUntil('sent', () => countRuns('r-1') === 1);
    program.child.kill('SIGTERM');
    const exchange = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    expect(countRuns('r-1')).to.equal(1);
    expect(listResponses(exchange)[0]).to.include({ status: 503, end: 'complete' });
  });

  // The decision was made only after the body had been read, so that its caller sent all of it in vain.
  it('guards against a refusal that waits for the body of a request without time to finish', async () => {
    await start(STOP_LIMIT_MS);
    const caller = await startEarlyStream('r-0', '/chat/3300');
    program.child.kill('SIGTERM');
    await waitUntil('stream ended', () => listResponses(caller)[0]?.end === 'complete');
    await waitUntilListenerClosed(program);
    const text = formatTimedRequest('/pay/50', 'r-1', 'question', LONG_DEADLINE_MS);
    caller.send(text.slice(0, -3));
    await waitUntil('refused', () => listResponses(caller)[1]?.status === 503, {
      timeoutMs: 1_000,
    });
  });

  // Requests of a service that takes milliseconds are refused seconds before the limit.
  it('guards against the refusal of a late request that is expected to finish', async () => {
    await start(STOP_LIMIT_MS);
    const caller = new RawCaller(program.url);
    for (let index = 0; index < 20; index += 1) {
      caller.send(formatTimedRequest('/lookup/20', `w-${index}`, undefined, LONG_DEADLINE_MS));
      await waitUntil('answered', () => listResponses(caller).length === index + 1);
    }
    const streams = await startEarlyStream('r-0', '/talk/3300');
    program.child.kill('SIGTERM');
    await waitUntil('stream ended', () => listResponses(streams)[0]?.end === 'complete');
    await waitUntilListenerClosed(program);
    streams.send(formatTimedRequest('/lookup/20', 'r-1', undefined, LONG_DEADLINE_MS));
    const exchange = await streams.waitForEnd(CALLER_TIMEOUT_MS);
    expect(listResponses(exchange)[1]).to.include({ requestId: 'r-1', status: 200 });
  });

  // The estimate covers all routes of a service, so that quick requests let in a payment that is known to take longer.
  it('guards against a payment that is taken by the duration of other routes of its service', async () => {
    await start(STOP_LIMIT_MS);
    const payer = new RawCaller(program.url);
    payer.send(formatTimedRequest('/pay/4000', 'w-pay', 'question', LONG_DEADLINE_MS));
    const warmer = new RawCaller(program.url);
    for (let index = 0; index < 24; index += 1) {
      warmer.send(formatTimedRequest('/lookup/20', `w-${index}`, undefined, LONG_DEADLINE_MS));
      await waitUntil('answered', () => listResponses(warmer).length === index + 1);
    }
    await waitUntil('paid', () => listResponses(payer).length === 1);
    program.child.kill('SIGTERM');
    await waitMs(2_300);
    const caller = new RawCaller(program.url);
    caller.send(formatTimedRequest('/pay/4000', 'r-1', 'question', LONG_DEADLINE_MS));
    const exchange = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    expect(countRuns('r-1')).to.equal(0);
    expect(listResponses(exchange)[0]).to.include({ status: 503, end: 'complete' });
  });

  // The duration of whole requests is compared with the time left, although a resumed stream needs only its rest.
  it('guards against a broken stream that is cut although its rest has time to finish', async () => {
    const breakOff: Responder = async (socket, request) => {
      if (request.requestId !== 'r-1') {
        await respondByPath(socket, request);
        return;
      }
      const headers = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'];
      socket.write(formatHead(request.requestId, headers));
      const last = request.lastEventId === 0 ? 38 : 41;
      for (let id = request.lastEventId + 1; id <= last; id += 1) {
        socket.write(formatChunk(formatEvent(id)));
        await waitMs(EVENT_INTERVAL_MS);
      }
      if (request.lastEventId === 0) socket.destroy();
      else socket.end(formatChunk(''));
    };
    await start(STOP_LIMIT_MS, [breakOff, breakOff]);
    const warmers = [0, 1, 2].map((index) => {
      const caller = new RawCaller(program.url);
      caller.send(formatTimedRequest('/talk/3000', `w-${index}`, 'question', LONG_DEADLINE_MS));
      return caller;
    });
    await waitUntil('streams ended', () =>
      warmers.every((caller) => listResponses(caller)[0]?.end === 'complete'),
    );
    const caller = await startEarlyStream('r-1', '/chat/a');
    program.child.kill('SIGTERM');
    const exchange = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    expect(listResponses(exchange)[0]).to.include({ requestId: 'r-1', end: 'complete' });
  });

  // The body of a request after the announced close is not read, so that the close resets the connection and discards
  // what its slow caller has not received.
  it('guards against a response that is lost because its caller sends a body after the announced close', async () => {
    await start(STOP_LIMIT_MS);
    const caller = new RawCaller(program.url);
    program.child.kill('SIGTERM');
    await waitUntil('not ready', () => program.log.some((line) => line.includes('draining')));
    caller.pause();
    caller.send(formatTimedRequest(`/large/${MEDIUM_BODY_BYTES}`, 'r-1'));
    await waitMs(600);
    caller.send(formatTimedRequest('/pay/50', 'r-2', 'x'.repeat(500_000)));
    await waitMs(1_500);
    caller.resume();
    const exchange = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    expect(listResponses(exchange)[0]?.body.length).to.equal(MEDIUM_BODY_BYTES);
  });
});

describe('busy gateway that stops', function () {
  this.timeout(20_000);

  // Timers run before sockets are read when the event loop was busy; the request had come before the connection counted
  // as idle at a stop, and is read and discarded.
  it('guards against a close of idle connections before their sockets have been read', async () => {
    const worker = await startRawWorker(
      'i-0',
      (socket, request) => void respondByPath(socket, request),
    );
    const fixture = await startGatewayFixture({ workers: 0, ownWorkers: [worker] });
    const caller = new RawCaller(fixture.urls[0] ?? '');
    await waitMs(100);
    const stopped = fixture.gateways[0]?.drain();
    await waitMs(2_300);
    caller.send(formatTimedRequest('/lookup/50', 'r-1', undefined, 1_500));
    const busyUntil = performance.now() + 400;
    while (performance.now() < busyUntil);
    const exchange = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    await stopped;
    await fixture.close();
    await worker.close();
    expect(listResponses(exchange)[0]).to.include({ requestId: 'r-1', end: 'complete' });
  });
});

describe('stopping gateway with connections that it has not accepted', function () {
  this.timeout(20_000);

  // Node accepts one connection in each turn of its event loop; those in the queue of a closed listener are reset.
  it('guards against the reset of connections that wait to be accepted as the listener closes', async () => {
    const worker = await startRawWorker(
      'i-0',
      (socket, request) => void respondByPath(socket, request),
    );
    const fixture = await startGatewayFixture({ workers: 0, ownWorkers: [worker] });
    const stopped = fixture.gateways[0]?.drain();
    await waitMs(2_300);
    const callers = Array.from({ length: QUEUED_CALLERS }, (_, index) => {
      const caller = new RawCaller(fixture.urls[0] ?? '');
      caller.send(formatTimedRequest('/lookup/50', `r-${index}`, undefined, 1_500));
      return caller;
    });
    const busyUntil = performance.now() + 400;
    while (performance.now() < busyUntil);
    const exchanges = await Promise.all(
      callers.map((caller) => caller.waitForEnd(CALLER_TIMEOUT_MS)),
    );
    await stopped;
    await fixture.close();
    await worker.close();
    const answered = exchanges.filter((exchange) => listResponses(exchange)[0]?.end === 'complete');
    expect(answered).to.have.length(QUEUED_CALLERS);
  });
});
