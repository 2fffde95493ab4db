import { expect } from 'chai';
import type { Socket } from 'node:net';
import type { RawRequest, RawWorker } from '../../../../test/standins/rawWorker.js';
import { startRawWorker } from '../../../../test/standins/rawWorker.js';
import { waitUntil } from '../../../../test/support/waiting.js';
import { sendOrder } from './orderExchange.js';
import { createPlainAdapter } from './plain.js';

const RESET_DELAY_MS = 20;

type Respond = (socket: Socket, request: RawRequest, worker: RawWorker) => void;

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n';

/** Sends the first part of a body without a length, then resets the connection. */
function respondTruncated(socket: Socket): void {
  socket.write(`${HEAD}{"paid":`);
  setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
}

/** Sends the first part of a body without a length; the process ends with it, and its connections end in order. */
function respondAndDie(socket: Socket, _request: RawRequest, worker: RawWorker): void {
  socket.write(`${HEAD}{"paid":`);
  worker.die();
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

  const hasPaused = (): boolean => false;
  const startUpstream = async (respond: Respond): Promise<RawWorker> => {
    const worker = await startRawWorker('u-0', (socket, request) => {
      respond(socket, request, worker);
    });
    upstream = worker;
    return worker;
  };
  const call = async (respond: Respond) => {
    const { url } = await startUpstream(respond);
    const adapter = createPlainAdapter(url, hasPaused);
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
  const order = async (respond: Respond) => {
    const { url } = await startUpstream(respond);
    return sendOrder({
      url,
      order: 'o-1',
      body: Buffer.from('{}'),
      caller: 'h1/i1',
      claim: () => true,
      hasPaused,
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

  // The operating system ends the connections of a killed service in order.
  it('guards against a call that counts as answered although its service died within the body', async () => {
    expect(await call(respondAndDie)).to.include({ kind: 'failed', possibleCrash: true });
  });

  it('guards against an order that counts as done although its service died within the body', async () => {
    expect(await order(respondAndDie)).to.have.nested.property('outcome.state', 'unknown');
  });

  // The end within a response after which the connection would have been closed was no possible crash.
  it('guards against a crash within a response in chunks that is not counted as one', async () => {
    const head = HEAD.replace(
      '\r\n\r\n',
      '\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n',
    );
    const end = await call((socket, _request, worker) => {
      socket.write(`${head}8\r\n{"paid":\r\n`);
      worker.die();
    });
    expect(end).to.include({ kind: 'failed', possibleCrash: true });
  });

  // An informational head states no length. The connection opened to watch its end was never closed.
  for (const [name, head] of [
    ['a length', HEAD.replace('\r\n\r\n', '\r\nContent-Length: 10\r\n\r\n')],
    ['no length', HEAD],
  ] as const) {
    it(`guards against connections that stay open after an informational head; then ${name}`, async () => {
      const respond: Respond = (socket) => {
        socket.write('HTTP/1.1 102 Processing\r\n\r\n');
        setTimeout(() => socket.end(`${head}{"paid":1}`), RESET_DELAY_MS);
      };
      expect(await call(respond)).to.include({ kind: 'done', status: 200 });
      await waitUntil('connections of the call closed', () => upstream?.openConnections === 0);
      await upstream?.close();
      expect(await order(respond)).to.have.nested.property('outcome.state', 'done');
      await waitUntil('connections of the order closed', () => upstream?.openConnections === 0);
    });
  }
});
