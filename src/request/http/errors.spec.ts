import { expect } from '../../../test/support/snapshot.js';
import { once } from 'node:events';
import { Agent, request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { PassThrough } from 'node:stream';
import type { EntryFixture } from '../../../test/support/entryFixture.js';
import { startEntryFixture } from '../../../test/support/entryFixture.js';
import { sendChunks, sendEnd } from '../../../test/support/fakeAgent.js';
import { waitMs } from '../../../test/support/waiting.js';
import { readBody } from './readBody.js';

const CHAT = '/v1/chat/completions';
const chat = { model: 'chat', messages: [{ role: 'user', content: 'hello' }] };

/** Sends one GET over a kept-alive connection. */
function getModels(url: string, agent: Agent): Promise<{ status: number; connection: string }> {
  return new Promise((resolve, reject) => {
    const headers = { authorization: 'Bearer secret' };
    const sent = request(`${url}/v1/models`, { agent, headers }, (response) => {
      response.resume();
      response.once('end', () => {
        resolve({
          status: response.statusCode ?? 0,
          connection: response.headers.connection ?? '',
        });
      });
    });
    sent.once('error', reject);
    sent.end();
  });
}

const GET_MODELS = 'GET /v1/models HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer secret\r\n\r\n';

/** Reads until the connection ends; resolves with the data, or with the code of the error that ended it. */
function readConnection(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    socket.on('data', (data: Buffer) => (text += data.toString()));
    socket.once('error', (error: NodeJS.ErrnoException) => {
      resolve(error.code ?? error.message);
    });
    socket.once('end', () => {
      resolve(text);
    });
  });
}

/** Blocks the event loop, so that the process reads no sockets. */
function blockEventLoop(durationMs: number): void {
  const end = Date.now() + durationMs;
  while (Date.now() < end);
}

describe('HTTP errors', () => {
  let fixture: EntryFixture;
  afterEach(() => fixture.close());

  it('guards against untyped errors', async () => {
    fixture = await startEntryFixture([]);
    const cases: [string, () => Promise<Response>][] = [
      ['unknown token', () => fixture.post(CHAT, chat, { authorization: 'Bearer nobody' })],
      ['malformed JSON', () => fixture.post(CHAT, '{')],
      ['bad field', () => fixture.post(CHAT, { ...chat, messages: [] })],
      ['unknown service', () => fixture.post(CHAT, { ...chat, model: 'none' })],
      [
        'no share',
        () => fixture.post('/v1/services/ledger/calls', {}, { authorization: 'Bearer foreign' }),
      ],
      ['chat with a plain service', () => fixture.post(CHAT, { ...chat, model: 'ledger' })],
      ['too large', () => fixture.post(CHAT, 'x'.repeat(3_000))],
      ['bad deadline', () => fixture.post(CHAT, chat, { 'x-deadline-ms': 'soon' })],
      ['no upstream', () => fixture.post(CHAT, chat)],
      ['unknown route', () => fixture.post('/v2', {})],
      ['failed slot request', () => fixture.post('/v1/services/ledger/orders', '')],
      ['orders not allowed', () => fixture.post('/v1/services/pump/orders', '')],
    ];
    const table: Record<string, unknown> = {};
    for (const [name, send] of cases) {
      const response = await send();
      expect(response.headers.get('x-request-id')).to.be.a('string');
      const retryAfter = response.headers.get('retry-after');
      table[name] = { status: response.status, retryAfter, body: await response.json() };
    }
    expect(table).toMatchSnapshot();
  });

  it('guards against holding a request that cannot meet its deadline', async () => {
    fixture = await startEntryFixture([{ upstream: 'chat-1', service: 'chat' }]);
    const response = await fixture.post(CHAT, chat, { 'x-deadline-ms': '5' });
    expect(response.status).to.equal(503);
    expect(response.headers.get('retry-after')).to.equal('1');
    expect(fixture.agents[0]?.countReceived('request')).to.equal(0);
  });

  it('guards against running a call twice that may not be repeated', async () => {
    const handlers = ['pump-1', 'pump-2'].map((upstream) => ({
      upstream,
      service: 'pump',
      onRequest: (message: { attempt: string }, link: Parameters<typeof sendChunks>[0]) => {
        const { attempt } = message;
        link.send({ type: 'fail', attempt, code: 'upstream_failed', message: '', started: true });
      },
    }));
    fixture = await startEntryFixture(handlers);
    const response = await fixture.post('/v1/services/pump/calls', {});
    expect(response.status).to.equal(502);
    const requests = fixture.agents.map((agent) => agent.countReceived('request'));
    expect(requests.sort()).to.deep.equal([0, 1]);
  });

  it('guards against a changed response of a call', async () => {
    fixture = await startEntryFixture([
      {
        upstream: 'ledger-1',
        service: 'ledger',
        onRequest: ({ attempt, body }, link) => {
          sendEnd(link, attempt, 0, Buffer.from(body).toString());
        },
      },
    ]);
    const response = await fixture.post('/v1/services/ledger/calls', '{ "spaces":  1 }');
    expect(await response.text()).to.equal('{ "spaces":  1 }');
  });

  it('guards against a body that never ends', async () => {
    const body = new PassThrough() as unknown as IncomingMessage;
    Object.assign(body, { headers: {} });
    (body as unknown as PassThrough).write('{');
    const read = await readBody(body, { maxBytes: 100, timeoutMs: 20 });
    expect(read.isErr() && read.error.code).to.equal('timeout');
  });

  it('guards against malformed requests and oversized headers without a typed error', async () => {
    fixture = await startEntryFixture([]);
    const send = (head: string): Promise<string> =>
      new Promise((resolve) => {
        let text = '';
        const socket = connect(fixture.entry.httpPort, '127.0.0.1');
        socket.on('data', (data: Buffer) => (text += data.toString()));
        socket.on('error', () => undefined);
        socket.on('close', () => {
          resolve(text);
        });
        socket.write(head);
      });
    expect(await send('NONSENSE\r\n\r\n'))
      .to.contain('400')
      .and.to.contain('bad_request');
    const oversized = `GET / HTTP/1.1\r\nx-long: ${'x'.repeat(20_000)}\r\n\r\n`;
    expect(await send(oversized))
      .to.contain('413')
      .and.to.contain('too_large');
  });

  it('guards against resetting kept-alive connections in a graceful shutdown', async () => {
    fixture = await startEntryFixture([
      {
        upstream: 'chat-1',
        service: 'chat',
        onRequest: ({ attempt }, link) => {
          sendChunks(link, attempt, ['x']);
        },
      },
    ]);
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    expect((await getModels(fixture.url, agent)).status).to.equal(200);
    const stream = await fixture.post(CHAT, { ...chat, stream: true });
    const drained = fixture.entry.drain();
    const refused = await getModels(fixture.url, agent);
    expect(refused).to.deep.equal({ status: 503, connection: 'close' });
    const body = await stream.text().catch((error: unknown) => String(error));
    await drained;
    expect(body).to.not.contain('[DONE]');
    agent.destroy();
  });

  it('guards against resetting unread requests of an entry that is not scheduled while it drains', async () => {
    fixture = await startEntryFixture([]);
    const socket = connect(fixture.entry.httpPort, '127.0.0.1');
    await once(socket, 'connect');
    const received = readConnection(socket);
    const drained = fixture.entry.drain();
    await waitMs(150);
    socket.write(GET_MODELS);
    blockEventLoop(400);
    expect(await received)
      .to.contain('503')
      .and.to.contain('draining');
    await drained;
  });

  it('guards against closing a kept-alive connection while a slow caller sends its next request', async () => {
    fixture = await startEntryFixture([]);
    const socket = connect(fixture.entry.httpPort, '127.0.0.1');
    socket.write(GET_MODELS);
    const [first] = (await once(socket, 'data')) as [Buffer];
    expect(first.toString()).to.contain('Keep-Alive: timeout=5');
    const received = readConnection(socket);
    const drained = fixture.entry.drain();
    // The caller may use the connection for as long as `Keep-Alive` announced.
    await waitMs(700);
    socket.write(GET_MODELS);
    expect(await received)
      .to.contain('503')
      .and.to.contain('draining');
    await drained;
  });

  it('guards against resetting connections that wait for acceptance when draining starts', async () => {
    fixture = await startEntryFixture([]);
    // The response is read in a poll phase, so the next connection is accepted in the following poll phase at the earliest.
    const first = connect(fixture.entry.httpPort, '127.0.0.1');
    first.write(GET_MODELS);
    await once(first, 'data');
    const socket = connect(fixture.entry.httpPort, '127.0.0.1');
    const received = readConnection(socket);
    const drained = fixture.entry.drain();
    socket.write(GET_MODELS);
    expect(await received)
      .to.contain('503')
      .and.to.contain('draining');
    await drained;
    first.destroy();
  });

  // Node accepts one connection in each turn of its event loop.
  it('guards against resetting all but one of the connections that wait for acceptance', async () => {
    fixture = await startEntryFixture([]);
    const sockets = Array.from({ length: 20 }, () => connect(fixture.entry.httpPort, '127.0.0.1'));
    const received = sockets.map((socket) => readConnection(socket));
    for (const socket of sockets) socket.write(GET_MODELS);
    blockEventLoop(100);
    const drained = fixture.entry.drain();
    const answers = await Promise.all(received);
    expect(answers.filter((answer) => answer.includes('draining'))).to.have.length(20);
    await drained;
  });
});
