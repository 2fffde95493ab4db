import { expect } from 'chai';
import type { Socket } from 'node:net';
import type { RawRequest, RawWorker } from '../standins/rawWorker.js';
import { startRawWorker } from '../standins/rawWorker.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { startGatewayFixture } from '../support/gatewayFixture.js';
import { formatRequest, RawCaller } from '../support/rawCaller.js';
import { waitMs, waitUntil } from '../support/waiting.js';

describe('connections of callers', () => {
  let fixture: GatewayFixture;
  let worker: RawWorker;

  const start = async (respond: (socket: Socket, request: RawRequest) => void): Promise<void> => {
    worker = await startRawWorker('i-a', respond);
    fixture = await startGatewayFixture({ workers: 0, ownWorkers: [worker] });
  };
  const connect = (): RawCaller => new RawCaller(fixture.urls[0] ?? '');
  afterEach(async () => {
    await fixture.close();
    await worker.close();
  });

  // A caller that leaves must end the work for all its requests, also for those that wait for an earlier response.
  it('guards against work for a caller that disconnected with several requests on a connection', async () => {
    const closed: string[] = [];
    await start((socket, { requestId }) => {
      socket.once('close', () => closed.push(requestId));
    });
    const caller = connect();
    caller.send(formatRequest('/lookup/a', 'r-1') + formatRequest('/lookup/b', 'r-2'));
    await waitUntil('requests received', () => worker.requests.length === 2);
    caller.close();
    await waitUntil('requests abandoned', () => closed.length === 2, { timeoutMs: 500 });
  });

  // A refusal of a body in chunks must reach the caller, who may still be sending it.
  it('guards against a connection closed without a response to a body over the limit', async () => {
    await start(() => undefined);
    const caller = connect();
    caller.send(
      `${formatRequest('/pay/a', 'r-1', '', ['Transfer-Encoding: chunked']).replace('Content-Length: 0\r\n', '')}1800\r\n${'x'.repeat(0x1800)}\r\n`,
    );
    await waitMs(100);
    caller.send(`0\r\n\r\n${formatRequest('/other/a', 'r-2')}`);
    await waitUntil('both answered', () => caller.received.includes('r-2'), { timeoutMs: 1_000 });
    expect(caller.received).to.match(/^HTTP\/1.1 413 [^]*r-1[^]*HTTP\/1.1 404 [^]*r-2/);
    expect(worker.requests).to.have.length(0);
    caller.close();
  });
});
