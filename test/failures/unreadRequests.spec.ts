import { createServer } from 'node:net';
import { expect } from 'chai';
import { listenOnLoopback } from '../standins/httpServer.js';
import { startGatewayFixture } from '../support/gatewayFixture.js';
import { formatRequest, RawCaller } from '../support/rawCaller.js';
import { waitMs } from '../support/waiting.js';

const CALLERS = 12;

describe('requests that a busy gateway has not read yet', () => {
  // A gateway that is short of processor time reads a request together with the end of its connection.
  it('guards against work for callers that have left before their request was read', async () => {
    let connections = 0;
    const upstream = createServer((socket) => {
      connections += 1;
      socket.on('error', () => undefined).resume();
    });
    const port = await listenOnLoopback(upstream, 0);
    const fixture = await startGatewayFixture({ workers: 0, ownWorkers: [{ id: 'i-a', port }] });
    const callers = Array.from({ length: CALLERS }, () => new RawCaller(fixture.urls[0] ?? ''));
    await waitMs(100);
    // Both are written before the event loop of the gateway, which is also that of this test, turns again.
    for (const [index, caller] of callers.entries()) {
      const path = index % 2 === 0 ? '/lookup/a' : '/pay/a';
      caller.send(formatRequest(path, `r-${index}`, index % 2 === 0 ? '' : 'question'));
      caller.close();
    }
    await waitMs(300);
    await fixture.close();
    upstream.close();
    expect(connections).to.equal(0);
  });
});
