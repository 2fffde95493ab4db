import { createServer } from 'node:https';
import { expect } from 'chai';
import { closeServer, listenOnLoopback } from '../../test/standins/httpServer.js';
import type { RawWorker } from '../../test/standins/rawWorker.js';
import { startRawWorker } from '../../test/standins/rawWorker.js';
import { createCertificates } from '../../test/support/certificates.js';
import { waitUntil } from '../../test/support/waiting.js';
import { BoundedClient } from './boundedClient.js';
import type { BoundedRequest } from './boundedConnection.js';
import { BoundedConnection } from './boundedConnection.js';

const MAX_BYTES = 64 * 1024;
const TIMEOUT_MS = 300;
const MARGIN_MS = 300;
const DRIP_MS = 20;
const HEAD = 'HTTP/1.1 200 OK\r\n';

const get: Omit<BoundedRequest, 'path'> = {
  method: 'GET',
  maxBytes: MAX_BYTES,
  timeoutMs: TIMEOUT_MS,
};

describe('bounded connection', () => {
  let worker: RawWorker | undefined;
  const client = new BoundedClient();
  afterEach(async () => {
    await worker?.close();
  });

  const fail = async (request: Partial<BoundedRequest> = {}): Promise<string> => {
    const exchange = client.send(worker?.url ?? '', { ...get, ...request });
    const error: unknown = await exchange.then(
      () => 'no error',
      (reason: unknown) => reason,
    );
    await waitUntil('connection closed', () => worker?.openConnections === 0);
    return String(error);
  };

  // A time limit for each read let an upstream that sent a byte now and then hold a call for ever.
  it('guards against a response that takes longer than the time limit, a few bytes at a time', async () => {
    worker = await startRawWorker('u-0', (socket) => {
      socket.write(`${HEAD}Content-Length: 1000\r\n\r\n`);
      const timer = setInterval(() => socket.write('a'), DRIP_MS);
      socket.once('close', () => {
        clearInterval(timer);
      });
    });
    const startedAt = performance.now();
    expect(await fail({ idleTimeoutMs: TIMEOUT_MS })).to.include('TimeoutError');
    expect(performance.now() - startedAt).to.be.below(TIMEOUT_MS + MARGIN_MS);
  });

  it('guards against a connection that stays open after its request was refused before it was sent', async () => {
    worker = await startRawWorker('u-0', (socket) => socket.end(HEAD));
    expect(await fail({ confirmSend: () => new Error('not now') })).to.equal('Error: not now');
    expect(worker.requests.length).to.equal(0);
  });

  it('guards against an error of the reader that is lost or leaves the connection open', async () => {
    worker = await startRawWorker('u-0', (socket) => {
      socket.write(`${HEAD}Content-Length: 10\r\n\r\nab`);
    });
    const onData = (): void => {
      throw new Error('malformed');
    };
    expect(await fail({ onData })).to.equal('Error: malformed');
  });

  it('guards against an honest body that is refused for its size or the size of its chunks', async () => {
    const body = 'ab'.repeat(MAX_BYTES / 2);
    worker = await startRawWorker('u-0', (socket, { index }) => {
      const chunkBytes = index === 0 ? 1 : MAX_BYTES;
      socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`);
      for (let start = 0; start < body.length; start += chunkBytes) {
        const part = body.slice(start, start + chunkBytes);
        socket.write(`${part.length.toString(16)}\r\n${part}\r\n`);
      }
      socket.write('0\r\n\r\n');
    });
    for (const timeoutMs of [5_000, 5_000]) {
      const response = await client.send(worker.url, { ...get, timeoutMs });
      expect(response.body.toString('latin1') === body).to.equal(true);
    }
    expect(await fail({ maxBytes: MAX_BYTES - 1 })).to.include('exceeded');
  });

  // The meter of an earlier response must not count for the next one.
  it('guards against a kept connection whose framing adds up over its requests', async () => {
    const line = `X-Long: ${'a'.repeat(12 * 1024)}\r\n`;
    worker = await startRawWorker('u-0', (socket) => {
      socket.write(`${HEAD}${line}Content-Length: 2\r\n\r\nok`);
    });
    const connection = new BoundedConnection({ origin: worker.url });
    const requests = Array.from({ length: 12 }, () =>
      connection.send({ ...get, path: '/', isKept: true, timeoutMs: 2_000 }),
    );
    const statuses = (await Promise.all(requests)).map(({ status }) => status);
    expect(statuses).to.deep.equal(new Array(12).fill(200));
    expect(worker.openConnections).to.equal(1);
    connection.close();
    await waitUntil('connection closed', () => worker?.openConnections === 0);
  });

  it('guards against a TLS connection without certificates, bounds or an end', async () => {
    const tls = createCertificates('trusted');
    const server = createServer(
      { ...tls, requestCert: true, rejectUnauthorized: true },
      (request, response) => {
        if (request.url === '/long') response.write('a'.repeat(2 * MAX_BYTES));
        else response.end('ok');
      },
    );
    const url = `https://127.0.0.1:${await listenOnLoopback(server, 0)}`;
    // The certificate names no address.
    const named = { ...tls, servername: 'peer' };
    const secure = new BoundedClient({ tls: named });
    const read = (path: string): Promise<string> =>
      secure.send(url + path, { ...get, timeoutMs: 2_000 }).then(
        ({ body }) => body.toString('utf8'),
        (error: unknown) => String(error),
      );
    const ends = [await read('/short'), await read('/long')];
    const foreign: unknown = await client.send(url, get).catch((error: unknown) => error);
    await closeServer(server);
    expect(ends[0]).to.equal('ok');
    expect(ends[1]).to.include('exceeded');
    expect(foreign).to.be.instanceOf(Error);
  });
});
