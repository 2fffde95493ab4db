import { expect } from 'chai';
import type { GatewayProgram } from '../support/gatewayProgram.js';
import { RawCaller } from '../support/rawCaller.js';
import { formatTimedRequest, listResponses } from '../support/stopFixture.js';
import type { StoppingGateway } from '../support/stoppingGateway.js';
import { startStoppingGateway } from '../support/stoppingGateway.js';
import { waitMs, waitUntil } from '../support/waiting.js';

const STOP_LIMIT_MS = 6_000;
const CALLER_TIMEOUT_MS = 8_000;
const ROUTE_TIMEOUT_MS = 20_000;
/** Larger than the send and receive buffers of the kernel. */
const LARGE_BODY_BYTES = 24_000_000;

/** The time limit of such a request lies beyond that of the stop. */
const LONG_DEADLINE_MS = ROUTE_TIMEOUT_MS;

describe('late requests at a stopping gateway', function () {
  this.timeout(40_000);
  let gateway: StoppingGateway;
  let program: GatewayProgram;

  beforeEach(async () => {
    gateway = await startStoppingGateway({
      stopLimitMs: STOP_LIMIT_MS,
      routeTimeoutMs: ROUTE_TIMEOUT_MS,
    });
    ({ program } = gateway);
  });
  afterEach(() => gateway.close());

  const hasRun = (requestId: string): boolean => gateway.listRuns().includes(requestId);
  /** Starts a stream whose head comes before SIGTERM, so that it cannot announce the close of its connection. */
  const startEarlyStream = async (id: string, path = '/chat/3300'): Promise<RawCaller> => {
    const caller = new RawCaller(program.url);
    caller.send(formatTimedRequest(path, id, 'question', LONG_DEADLINE_MS));
    await waitUntil('stream begun', () => caller.received.includes('id: 1'));
    return caller;
  };
  const waitForStreamEnd = async (caller: RawCaller): Promise<void> => {
    await waitUntil('stream ended', () => listResponses(caller)[0]?.end === 'complete');
  };

  // Requests that come late on a connection which an earlier response could not close were passed on and cut at the limit.
  it('guards against requests that are passed on without time to finish before the stop', async () => {
    const paths = ['/chat/9000', '/talk/9000', '/lookup/9000', '/pay/9000'];
    const callers = await Promise.all(paths.map((_path, index) => startEarlyStream(`r-${index}`)));
    program.child.kill('SIGTERM');
    const ends = callers.map(async (caller, index) => {
      await waitForStreamEnd(caller);
      const path = paths[index] ?? '';
      const body = path.startsWith('/lookup/') ? undefined : 'question';
      caller.send(formatTimedRequest(path, `late-${index}`, body, LONG_DEADLINE_MS));
      const sentAt = performance.now();
      const exchange = await caller.waitForEnd(CALLER_TIMEOUT_MS);
      const { status, requestId, end } = listResponses(exchange)[1] ?? {};
      const isPrompt = performance.now() - sentAt < 500;
      return { path, status, requestId, end, isPrompt, hasRun: hasRun(`late-${index}`) };
    });
    const expected = paths.map((path, index) => ({
      path,
      status: 503,
      requestId: `late-${index}`,
      end: 'complete',
      isPrompt: true,
      hasRun: false,
    }));
    expect(await Promise.all(ends)).to.deep.equal(expected);
    expect(await program.ended).to.equal(0);
  });

  // A request whose own time limit ends before the stop can be served.
  it('guards against the refusal of a late request that has time to finish', async () => {
    const caller = await startEarlyStream('r-0');
    program.child.kill('SIGTERM');
    await waitForStreamEnd(caller);
    caller.send(formatTimedRequest('/pay/600', 'r-1', 'question', 1_500));
    const { received } = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    expect(listResponses({ received })[1]).to.include({ status: 200, body: 'done' });
  });

  // The connection was closed within 25 ms after the response, together with a request that was on its way.
  it('guards against a request without a response as the connection of an earlier one is closed', async () => {
    const caller = await startEarlyStream('r-0');
    program.child.kill('SIGTERM');
    await waitForStreamEnd(caller);
    await waitMs(150);
    caller.send(formatTimedRequest('/pay/9000', 'r-1', 'question', LONG_DEADLINE_MS));
    const { received, end } = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    expect(listResponses({ received })[1]).to.include({ status: 503, end: 'complete' });
    expect(end).to.equal('closed');
    expect(hasRun('r-1')).to.equal(false);
  });

  // Node writes no response after one that announces the close, so that the later request ran without an answer.
  it('guards against a pipelined request that runs and gets no response', async () => {
    program.child.kill('SIGTERM');
    await waitUntil('not ready', () => program.log.some((line) => line.includes('draining')));
    const caller = new RawCaller(program.url);
    caller.send(
      formatTimedRequest('/lookup/300', 'r-1') + formatTimedRequest('/pay/100', 'r-2', 'question'),
    );
    const { received } = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    const answered = listResponses({ received }).map(({ requestId, end }) => `${requestId} ${end}`);
    expect(answered).to.deep.equal(['r-1 complete', 'r-2 complete']);
  });

  // After a response that announces the close no further request on the connection may run.
  it('guards against a request that runs on a connection whose close has been announced', async () => {
    program.child.kill('SIGTERM');
    await waitUntil('not ready', () => program.log.some((line) => line.includes('draining')));
    const caller = new RawCaller(program.url);
    caller.send(formatTimedRequest('/chat/600', 'r-1', 'question'));
    await waitUntil('stream begun', () => caller.received.includes('id: 1'));
    caller.send(formatTimedRequest('/pay/100', 'r-2', 'question'));
    const { received } = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    expect(listResponses({ received })[0]).to.include({ requestId: 'r-1', end: 'complete' });
    expect(hasRun('r-2')).to.equal(false);
  });

  // Bytes that arrive after the socket was closed make the kernel reset it and discard what has not been delivered.
  it('guards against a response that is lost because its caller sends more before it has read it', async () => {
    program.child.kill('SIGTERM');
    await waitUntil('not ready', () => program.log.some((line) => line.includes('draining')));
    const caller = new RawCaller(program.url);
    caller.send(formatTimedRequest(`/large/${LARGE_BODY_BYTES}`, 'r-1'));
    await waitUntil('head received', () => caller.received.includes('\r\n\r\n'));
    caller.pause();
    await waitMs(300);
    caller.send(formatTimedRequest('/lookup/100', 'r-2'));
    caller.resume();
    const { received } = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    const response = listResponses({ received })[0];
    expect(response?.body.length).to.equal(LARGE_BODY_BYTES);
  });

  // What is unfinished at the limit was cut without an answer, so that its caller could not tell whether it had run.
  it('guards against connections that are cut at the limit without an answer', async () => {
    const send = (path: string, id: string): RawCaller => {
      const caller = new RawCaller(program.url);
      caller.send(formatTimedRequest(path, id, 'question', LONG_DEADLINE_MS));
      return caller;
    };
    const sent = send('/pay/19000', 'sent');
    const stream = send('/chat/19000', 'stream');
    const reading = new RawCaller(program.url);
    const whole = formatTimedRequest('/pay/100', 'reading', 'question', LONG_DEADLINE_MS);
    reading.send(whole.slice(0, -3));
    await waitUntil('requests received', () => hasRun('sent') && hasRun('stream'));
    const stoppedAt = performance.now();
    program.child.kill('SIGTERM');
    const [ofSent, ofStream, ofReading] = await Promise.all(
      [sent, stream, reading].map((caller) => caller.waitForEnd(CALLER_TIMEOUT_MS)),
    );
    expect(listResponses(ofSent!)).to.have.length(1);
    expect(listResponses(ofSent!)[0]).to.include({ status: 504, end: 'complete' });
    expect(listResponses(ofReading!)[0]).to.include({ status: 503, end: 'complete' });
    expect(listResponses(ofStream!)[0]).to.include({ status: 200, end: 'cut' });
    expect(hasRun('reading')).to.equal(false);
    expect(await program.ended).to.equal(0);
    expect(performance.now() - stoppedAt).to.be.below(STOP_LIMIT_MS);
  });

  // A process that wakes up does not know how long ago the signal was sent; it is killed at the limit from then on.
  it('guards against requests that are passed on after a signal that came during a pause', async () => {
    const quick = new RawCaller(program.url);
    for (let count = 1; count <= 40; count += 1) {
      quick.send(formatTimedRequest('/lookup/1', `quick-${count}`));
      await waitUntil('answered', () => listResponses(quick).length === count);
    }
    const caller = await startEarlyStream('r-0', '/chat/1500');
    program.child.kill('SIGSTOP');
    program.child.kill('SIGTERM');
    await waitMs(3_000);
    program.child.kill('SIGCONT');
    await waitForStreamEnd(caller);
    // A process that wakes up can read requests before it receives the signal, and can't refuse them for it.
    await waitUntil('not ready', () => program.log.some((line) => line.includes('draining')));
    caller.send(formatTimedRequest('/pay/9000', 'r-1', 'question', 4_000));
    const { received } = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    expect(listResponses({ received })[1]).to.include({ status: 503, end: 'complete' });
    expect(hasRun('r-1')).to.equal(false);
  });
});
