import { expect } from 'chai';
import type { Socket } from 'node:net';
import type { RawWorker } from '../../../../test/standins/rawWorker.js';
import { startRawWorker } from '../../../../test/standins/rawWorker.js';
import { sendOrder } from './orderExchange.js';
import { createPlainAdapter } from './plain.js';

const RESET_DELAY_MS = 20;
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n';

/** Sends the first part of a body without a length, then resets the connection. */
function respondTruncated(socket: Socket): void {
  socket.write(`${HEAD}{"paid":`);
  setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
}

/** Sends a whole body without a length, which ends with the connection. */
function respondWhole(socket: Socket): void {
  socket.end(`${HEAD}{"paid":1}`);
}

describe('responses of upstreams without a length', () => {
  let upstream: RawWorker | undefined;
  afterEach(async () => {
    await upstream?.close();
  });

  const call = async (respond: (socket: Socket) => void) => {
    upstream = await startRawWorker('u-0', respond);
    const adapter = createPlainAdapter(upstream.url);
    const result = await adapter.run({
      id: 'c-1',
      body: Buffer.from('{}'),
      resumeAfter: 0,
      resumeText: '',
      priority: 1,
      maxOutputTokens: 1,
      signal: AbortSignal.timeout(2_000),
      onTokens: () => undefined,
    });
    await adapter.close();
    return result;
  };
  const order = async (respond: (socket: Socket) => void) => {
    upstream = await startRawWorker('u-0', respond);
    return sendOrder({
      url: upstream.url,
      order: 'o-1',
      body: Buffer.from('{}'),
      caller: 'h1/i1',
      claim: () => true,
      signal: AbortSignal.timeout(2_000),
    });
  };

  // Guards against a truncated response that the caller receives as complete.
  it('guards against a call that counts as answered after a reset within the body', async () => {
    expect(await call(respondTruncated)).to.include({ kind: 'failed', possibleCrash: true });
    await upstream?.close();
    expect(await call(respondWhole)).to.include({ kind: 'done' });
  });

  // Guards against an order whose truncated response is remembered as its outcome.
  it('guards against an order that counts as done after a reset within the body', async () => {
    expect(await order(respondTruncated)).to.have.nested.property('outcome.state', 'unknown');
    await upstream?.close();
    expect(await order(respondWhole)).to.have.nested.property('outcome.state', 'done');
  });
});
