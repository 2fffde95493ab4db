import { expect } from 'chai';
import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import type { EntryFixture } from '../../../test/support/entryFixture.js';
import { startEntryFixture, waitUntil } from '../../../test/support/entryFixture.js';
import type { FakeAgentOptions } from '../../../test/support/fakeAgent.js';
import { sendChunks, sendEnd } from '../../../test/support/fakeAgent.js';
import { waitMs } from '../../../test/support/waiting.js';
import { createOrderId } from '../../protocol/orderId.js';

/** Below the time after which the entry takes a silent agent for a stalled one. */
const LIMIT_MS = 600;
const ORDERS = '/v1/services/ledger/orders';
const PUMP_CALLS = '/v1/services/pump/calls';
const LEDGER_CALLS = '/v1/services/ledger/calls';
const CHAT = '/v1/chat/completions';
const chat = { model: 'chat', messages: [{ role: 'user', content: 'hello' }] };

function startFixture(agents: readonly FakeAgentOptions[]): Promise<EntryFixture> {
  return startEntryFixture(agents, LIMIT_MS);
}

interface RawExchange {
  readonly socket: Socket;
  /** All bytes received until the connection ended. */
  readonly received: Promise<string>;
}

function sendRaw(fixture: EntryFixture, text: string): RawExchange {
  const socket = connect(fixture.entry.httpPort, '127.0.0.1');
  const received = new Promise<string>((resolve) => {
    let data = '';
    socket.on('data', (part: Buffer) => (data += part.toString()));
    socket.on('error', () => undefined);
    socket.once('close', () => {
      resolve(data);
    });
  });
  socket.write(text);
  return { socket, received };
}

function formatHead(method: string, path: string, length: number, extra = ''): string {
  return `${method} ${path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer secret\r\ncontent-length: ${length}\r\n${extra}\r\n`;
}

/** Starts a drain and returns its promise once the entry refuses requests. */
async function beginDrain(fixture: EntryFixture): Promise<{ drained: Promise<void> }> {
  const drained = fixture.entry.drain();
  await waitMs(20);
  return { drained };
}

function createAgents(
  service: string,
  count: number,
  options: Partial<FakeAgentOptions> = {},
): FakeAgentOptions[] {
  return Array.from({ length: count }, (_, index) => ({
    upstream: `${service}-${index + 1}`,
    service,
    ...options,
  }));
}

function countRequests(fixture: EntryFixture, type: 'request' | 'slotRequest' | 'orderPut') {
  return fixture.agents.reduce((sum, agent) => sum + agent.countReceived(type), 0);
}

describe('entry near its drain limit', () => {
  let fixture: EntryFixture;
  const servers: Server[] = [];
  afterEach(async () => {
    await fixture.close();
    for (const server of servers.splice(0)) server.close();
  });

  // The connection was cut without a response, so the caller could not know that nothing had run.
  for (const path of [PUMP_CALLS, LEDGER_CALLS, CHAT, ORDERS])
    it(`guards against cutting a request to ${path} whose body is incomplete at the limit`, async () => {
      fixture = await startFixture([
        ...createAgents('pump', 1),
        ...createAgents('ledger', 1),
        ...createAgents('chat', 1),
      ]);
      const { socket, received } = sendRaw(fixture, `${formatHead('POST', path, 10)}{"a"`);
      await waitMs(50);
      const { drained } = await beginDrain(fixture);
      await Promise.race([once(socket, 'data'), once(socket, 'close')]);
      socket.write(': 123}');
      await drained;
      expect(await received).to.match(/^HTTP\/1\.1 503 .*"code":"draining"/s);
      expect(countRequests(fixture, 'request') + countRequests(fixture, 'slotRequest')).to.equal(0);
    });

  // A body that came in the flush time after the limit was sent on, and its response was cut.
  it('guards against sending an order whose body arrives after the limit', async () => {
    fixture = await startFixture(createAgents('ledger', 1));
    const [agent] = fixture.agents;
    const { address, incarnation } = agent!;
    const owner = { host: '127.0.0.1', workspace: 'branch', service: 'ledger' };
    const id = createOrderId({ address, incarnation, ...owner, expiresAt: 0 });
    const head = formatHead('PUT', `${ORDERS}/${id}`, 10);
    const { socket, received } = sendRaw(fixture, `${head}{"a"`);
    await waitMs(50);
    const { drained } = await beginDrain(fixture);
    await waitMs(LIMIT_MS + 80);
    socket.write(': 123}');
    await drained;
    expect(await received).to.match(/^HTTP\/1\.1 503 .*"code":"draining"/s);
    expect(countRequests(fixture, 'orderPut')).to.equal(0);
  });

  // After the limit the request was sent to the next agent, and its caller got no response.
  it('guards against asking another agent for order slots after the limit', async () => {
    const handlers = { slotRequest: () => void (received += 1) };
    let received = 0;
    fixture = await startFixture(createAgents('ledger', 3, { handlers }));
    const answer = fixture.post(ORDERS, { count: 1 });
    await waitUntil(() => received === 1);
    const { drained } = await beginDrain(fixture);
    const response = await answer;
    expect(response.status).to.equal(503);
    expect(await response.json()).to.nested.include({
      'error.code': 'draining',
      outcome: 'not-run',
    });
    await drained;
    expect(received).to.equal(1);
  });

  // The wait for the link outlasted the limit: the order was sent after it, or the caller got no response.
  it('guards against an order that waits for a link to its executor at the limit', async () => {
    fixture = await startFixture([]);
    const silent = createServer((socket) => socket.on('error', () => undefined));
    servers.push(silent.listen(0, '127.0.0.1'));
    await once(silent, 'listening');
    const address = `127.0.0.1:${(silent.address() as AddressInfo).port}`;
    fixture.configuration.putUpstream('far', 'far', address);
    fixture.configuration.putService('far', { kind: 'plain' });
    const owner = { host: '127.0.0.1', workspace: 'branch', service: 'ledger' };
    const id = createOrderId({ address, incarnation: 'x', ...owner, expiresAt: 0 });
    await waitMs(500);
    const answer = fixture.call('PUT', `${ORDERS}/${id}`, '{}');
    await waitMs(50);
    const { drained } = await beginDrain(fixture);
    const response = await answer;
    expect(response.status).to.equal(503);
    expect(await response.json()).to.nested.include({ 'error.code': 'draining' });
    await drained;
  });

  // 503 `draining` says that the call may be sent again, but it had been given to an agent.
  it('guards against reporting a call that may have run as not run', async () => {
    fixture = await startFixture(createAgents('pump', 2));
    const answer = fixture.post(PUMP_CALLS, {});
    await waitUntil(() => countRequests(fixture, 'request') === 1);
    const { drained } = await beginDrain(fixture);
    const response = await answer;
    expect(response.status).to.equal(502);
    expect(await response.json()).to.nested.include({ 'error.code': 'answer_cut' });
    await drained;
    expect(countRequests(fixture, 'request')).to.equal(1);
  });

  // The call was sent to an agent and cut at the limit, with an unknown outcome.
  it('guards against beginning a call that may not be repeated and may outlast the limit', async () => {
    fixture = await startFixture(createAgents('pump', 1));
    const { socket, received } = sendRaw(fixture, `${formatHead('POST', PUMP_CALLS, 10)}{"a"`);
    await waitMs(50);
    const { drained } = await beginDrain(fixture);
    await waitMs(LIMIT_MS / 2);
    socket.write(': 123}');
    expect(await received).to.match(/^HTTP\/1\.1 503 .*"code":"draining"/s);
    expect(countRequests(fixture, 'request')).to.equal(0);
    await drained;
  });

  it('guards against refusing a late call whose deadline lies before the limit', async () => {
    const onRequest: FakeAgentOptions['onRequest'] = ({ attempt }, link) => {
      sendEnd(link, attempt, 0, '{}');
    };
    fixture = await startFixture(createAgents('pump', 1, { onRequest }));
    const head = formatHead('POST', PUMP_CALLS, 10, 'x-deadline-ms: 500\r\n');
    const { socket, received } = sendRaw(fixture, `${head}{"a"`);
    await waitMs(50);
    const { drained } = await beginDrain(fixture);
    await waitMs(LIMIT_MS / 4);
    socket.write(': 123}');
    await drained;
    expect(await received).to.match(/^HTTP\/1\.1 200 /);
  });

  // The order was given to its executor, and its caller learned of the limit only.
  it('guards against beginning an order whose reply may outlast the limit', async () => {
    fixture = await startFixture(createAgents('ledger', 1));
    const { address, incarnation } = fixture.agents[0]!;
    const owner = { host: '127.0.0.1', workspace: 'branch', service: 'ledger' };
    const id = createOrderId({ address, incarnation, ...owner, expiresAt: 0 });
    const { socket, received } = sendRaw(
      fixture,
      `${formatHead('PUT', `${ORDERS}/${id}`, 10)}{"a"`,
    );
    await waitMs(50);
    const { drained } = await beginDrain(fixture);
    await waitMs(LIMIT_MS / 2);
    socket.write(': 123}');
    expect(await received).to.match(/^HTTP\/1\.1 503 .*"code":"draining"/s);
    expect(countRequests(fixture, 'orderPut')).to.equal(0);
    await drained;
  });

  // The retry began work that the limit was certain to cut.
  it('guards against resuming a chat that cannot end before the limit', async () => {
    const onRequest: FakeAgentOptions['onRequest'] = ({ attempt }, link) => {
      sendChunks(link, attempt, ['x']);
      setTimeout(() => {
        link.send({ type: 'fail', attempt, code: 'upstream_failed', message: '', started: true });
      }, 200);
    };
    fixture = await startFixture(createAgents('chat', 2, { onRequest }));
    // At 10 tokens per second, the remaining 15 tokens take 1.5 s.
    for (const [index, { address }] of fixture.agents.entries())
      fixture.configuration.putUpstream(`chat-${index + 1}`, 'chat', address, 'ikeja', 10);
    const answer = fixture.post(CHAT, { ...chat, stream: true });
    await waitUntil(() => countRequests(fixture, 'request') === 1);
    const { drained } = await beginDrain(fixture);
    const text = await (await answer).text().catch((error: unknown) => String(error));
    expect(text).to.not.contain('[DONE]');
    await drained;
    expect(countRequests(fixture, 'request')).to.equal(1);
  });

  // A response behind one that closes the connection is dropped, so its request must not be begun.
  it('guards against losing the responses of requests that wait behind a stream', async () => {
    const delays: Record<string, number> = { chat: 300, pump: 20 };
    const onRequest: FakeAgentOptions['onRequest'] = ({ attempt, service }, link) => {
      sendChunks(link, attempt, ['x']);
      setTimeout(() => {
        sendEnd(link, attempt, 1, '{"ran":1}');
      }, delays[service]);
    };
    fixture = await startFixture([
      ...createAgents('chat', 1, { onRequest }),
      ...createAgents('pump', 1, { onRequest }),
    ]);
    const stream = JSON.stringify({ ...chat, stream: true });
    const call = `${formatHead('POST', PUMP_CALLS, 2)}{}`;
    const closing = formatHead('POST', CHAT, stream.length, 'connection: close\r\n') + stream;
    const keeping = formatHead('POST', CHAT, stream.length) + stream;
    const first = sendRaw(fixture, closing + call);
    const second = sendRaw(fixture, keeping + call);
    await waitUntil(() => countRequests(fixture, 'request') === 3);
    const { drained } = await beginDrain(fixture);
    second.socket.write(call);
    expect(await first.received).to.match(/^HTTP\/1\.1 200 .*\[DONE\]\s+0\s+$/s);
    const responses = (await second.received).split('HTTP/1.1 ').slice(1);
    expect(responses.map((text) => text.slice(0, 3))).to.deep.equal(['200', '200', '503']);
    expect(responses[0]).to.contain('[DONE]');
    expect(responses[1]).to.contain('{"ran":1}');
    expect(responses[2]).to.contain('draining');
    await drained;
    expect(countRequests(fixture, 'request')).to.equal(3);
  });
});
