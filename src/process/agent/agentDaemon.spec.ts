import { expect } from 'chai';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { createExpectedTokens, startEngine } from '../../../test/standins/engine.js';
import { startPlainService } from '../../../test/standins/plainService.js';
import { FrameRelay } from '../../../test/support/frameRelay.js';
import { waitUntil } from '../../../test/support/waiting.js';
import { openLink } from '../../connection/linkClient.js';
import type { Hello, PeerLink } from '../../connection/peerLink.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { ConfigurationView } from '../../version/configuration/types.js';
import { serviceSchema, upstreamSchema, workspaceSchema } from '../../version/ticket/types.js';
import { SEALED_ORDERS_FEATURE } from '../../request/orders/sealedOrders.js';
import { createLogger } from '../logging.js';
import { Metrics } from '../metrics.js';
import type { Daemon } from '../types.js';
import { startAgent } from './agentDaemon.js';

const shares: Record<string, number> = { large: 0.5, small: 0.5 };

function createView(kind: 'engine' | 'plain', slots: number): ConfigurationView {
  const service = serviceSchema.parse({ kind, orders: kind === 'plain' });
  const upstream = upstreamSchema.parse({
    service: 'desk',
    host: 'h1',
    availabilityZone: 'ikeja',
    address: '127.0.0.1:1',
    slots,
  });
  return {
    getWorkspace: (id) =>
      workspaceSchema.parse({ tokenHashes: [], shares: { desk: shares[id] ?? 0 }, maxQueued: 4 }),
    getService: () => service,
    getUpstream: () => upstream,
    listUpstreams: () => [],
    listServices: () => [],
    findWorkspaceByTokenHash: () => undefined,
    onChange: () => () => undefined,
  };
}

interface Setup {
  agent: Daemon;
  link: PeerLink;
  received: Message[];
  /** Waits for a message; the mocha timeout bounds it. */
  waitForMessage: <Type extends Message['type']>(
    type: Type,
    match: (message: MessageOf<Type>) => boolean,
  ) => Promise<MessageOf<Type>>;
}

const cleanups: (() => Promise<unknown>)[] = [];

async function startRelay(targetPort: number, delayMs: number): Promise<number> {
  const relay = new FrameRelay(targetPort);
  await relay.listen();
  relay.decide = () => ({ delayMs });
  cleanups.push(() => {
    relay.close();
    return Promise.resolve();
  });
  return relay.port;
}

async function startSetup(
  kind: 'engine' | 'plain',
  url: string,
  slots = 2,
  drainLimitMs = 3_000,
  latencyMs = 0,
): Promise<Setup> {
  const agent = await startAgent(
    {
      processId: 'agent-1',
      host: 'h1',
      availabilityZone: 'ikeja',
      listenHost: '127.0.0.1',
      linkPort: 0,
      operatorPort: 0,
      seeds: [],
      drainLimitMs,
      upstream: 'desk-1',
      service: 'desk',
      upstreamUrl: url,
      slots,
    },
    {
      configuration: createView(kind, slots),
      logger: createLogger('agent-1'),
      metrics: new Metrics(),
    },
  );
  cleanups.push(() => agent.stop());
  const linkPort = latencyMs === 0 ? agent.linkPort : await startRelay(agent.linkPort, latencyMs);
  const received: Message[] = [];
  const recordMessage = (message: Message): void => {
    received.push(message);
  };
  const handlers = {
    chunk: recordMessage,
    end: recordMessage,
    fail: recordMessage,
    load: recordMessage,
    draining: recordMessage,
    ordersSealed: recordMessage,
  };
  const hello: Hello = {
    ...agent.createHello(),
    role: 'entry',
    processId: 'entry-1',
    upstreams: [],
    features: [SEALED_ORDERS_FEATURE],
  };
  const opened = await openLink({
    address: `127.0.0.1:${linkPort}`,
    self: () => hello,
    handlers: { ...handlers, slotReply: recordMessage, orderReply: recordMessage },
  });
  const link = opened.unwrap();
  const waitForMessage: Setup['waitForMessage'] = async (type, match) => {
    for (;;) {
      for (const message of received) {
        if (message.type === type && match(message as never)) return message as never;
      }
      await sleep(5);
    }
  };
  await waitForMessage('load', (load) => load.accepting);
  return { agent, link, received, waitForMessage };
}

const createRequest = (attempt: string, workspace: string, maxTokens: number, prompt = attempt) =>
  ({
    type: 'request',
    attempt,
    workspace,
    service: 'desk',
    kind: 'chat',
    body: Buffer.from(JSON.stringify({ prompt, max_tokens: maxTokens })),
    fingerprint: `f-${prompt}`,
    cost: maxTokens,
    remainingMs: 8_000,
    resumeAfter: 0,
    resumeText: '',
  }) as const;

const collectText = (received: Message[], attempt: string): string => {
  const chunks = received.filter(
    (message) => message.type === 'chunk' && message.attempt === attempt,
  ) as MessageOf<'chunk'>[];
  chunks.forEach((chunk, index) => {
    expect(chunk.sequence).to.equal(index);
  });
  return chunks.flatMap((chunk) => chunk.tokens).join('');
};

describe('agent daemon', () => {
  afterEach(async () => {
    for (const close of cleanups.splice(0).reverse()) await close();
  });

  it('guards against losing or repeating text when borrowed slots are reclaimed', async () => {
    const engine = await startEngine({ tokensPerSecond: 1000 });
    cleanups.push(() => engine.close());
    const { link, received, waitForMessage, agent } = await startSetup('engine', engine.url);
    for (const id of ['l1', 'l2']) link.send(createRequest(id, 'large', 100));
    await waitForMessage('chunk', (chunk) => chunk.attempt === 'l2');
    link.send(createRequest('s1', 'small', 10));
    await waitForMessage('end', (end) => end.attempt === 's1');
    const endedBefore = received.filter((message) => message.type === 'end').length;
    for (const id of ['l1', 'l2']) {
      await waitForMessage('end', (end) => end.attempt === id);
      expect(collectText(received, id)).to.equal(createExpectedTokens(id, 100).join(''));
    }
    expect(endedBefore).to.equal(1);
    expect(JSON.stringify(agent.dump())).to.include('"preemptions":1');
  });

  it('guards against refusing an unrelated request after a crash', async () => {
    const engine = await startEngine({ tokensPerSecond: 400 });
    cleanups.push(() => engine.close());
    const { link, waitForMessage, received } = await startSetup('engine', engine.url);
    link.send(createRequest('good', 'small', 200, 'good'));
    await waitForMessage('chunk', (chunk) => chunk.attempt === 'good');
    link.send(createRequest('bad', 'large', 200, 'crash-engine'));
    const first = await waitForMessage('fail', (fail) => fail.attempt === 'good');
    expect(first.started).to.equal(true);
    received.length = 0;
    await waitForMessage('load', (load) => load.accepting);
    link.send(createRequest('good-2', 'small', 5, 'good'));
    await waitForMessage('end', (end) => end.attempt === 'good-2');
    link.send(createRequest('bad-2', 'large', 5, 'crash-engine'));
    const second = await waitForMessage('fail', (fail) => fail.attempt === 'bad-2');
    expect(second.code).to.equal('poisonous_request');
    expect(engine.counters.crashes).to.equal(2);
  });

  it('guards against sending work to a stalled engine', async () => {
    const engine = await startEngine({ tokensPerSecond: 200 });
    cleanups.push(() => engine.close());
    const { link, waitForMessage, received } = await startSetup('engine', engine.url);
    link.send(createRequest('a', 'small', 400));
    await waitForMessage('chunk', (chunk) => chunk.attempt === 'a');
    engine.control({ stalled: true });
    received.length = 0;
    const since = Date.now();
    await waitForMessage('load', (load) => !load.accepting);
    expect(Date.now() - since).to.be.lessThan(2_000);
    link.send(createRequest('b', 'small', 4));
    const refused = await waitForMessage('fail', (fail) => fail.attempt === 'b');
    expect([refused.code, refused.started]).to.deep.equal(['upstream_refused', false]);
    engine.control({ stalled: false });
    received.length = 0;
    await waitForMessage('load', (load) => load.accepting);
  });

  it('guards against a drain that aborts in-flight work or issued orders', async () => {
    const plain = await startPlainService();
    cleanups.push(() => plain.close());
    const { link, waitForMessage, agent } = await startSetup('plain', plain.url);
    const owner = { workspace: 'small', service: 'desk' };
    link.send({ type: 'slotRequest', call: 'c1', ...owner, count: 2 });
    const { ids } = await waitForMessage('slotReply', (reply) => reply.call === 'c1');
    const drained = agent.drain();
    await waitForMessage('draining', () => true);
    link.send({ type: 'slotRequest', call: 'c2', ...owner, count: 1 });
    const body = Buffer.from('{"amount":5}');
    const order = { type: 'orderPut', ...owner, order: ids[0]!, body, remainingMs: 2_000 } as const;
    link.send({ ...order, call: 'p1' });
    link.send({ ...order, call: 'p2' });
    const refused = await waitForMessage('slotReply', (reply) => reply.call === 'c2');
    expect(refused.error?.code).to.equal('draining');
    for (const call of ['p1', 'p2']) {
      const reply = await waitForMessage('orderReply', (answer) => answer.call === call);
      expect(reply.state).to.equal('done');
    }
    await drained;
    link.send({ ...order, call: 'p3', order: ids[1]! });
    const late = await waitForMessage('orderReply', (answer) => answer.call === 'p3');
    expect(late.state).to.equal('not-run');
    const sealed = await waitForMessage('ordersSealed', () => true);
    expect(sealed.orders).to.deep.equal([ids[1]]);
    expect(plain.executions.length).to.equal(1);
  });

  // Queued orders were begun until the limit, and the last one ended as `unknown`.
  it('guards against beginning orders that the drain limit cuts', async () => {
    const plain = await startPlainService();
    cleanups.push(() => plain.close());
    plain.control({ delayMs: 400 });
    const { link, waitForMessage, agent } = await startSetup('plain', plain.url, 1, 1_000);
    const owner = { workspace: 'small', service: 'desk' };
    link.send({ type: 'slotRequest', call: 'c', ...owner, count: 4 });
    const { ids } = await waitForMessage('slotReply', (reply) => reply.call === 'c');
    const body = Buffer.from('{"amount":5}');
    for (const order of ids)
      link.send({ type: 'orderPut', call: order, ...owner, order, body, remainingMs: 8_000 });
    await waitUntil('first order runs', () => plain.executions.length === 1);
    const drained = agent.drain();
    const states: string[] = [];
    for (const id of ids)
      states.push((await waitForMessage('orderReply', ({ call }) => call === id)).state);
    await drained;
    expect(states).to.not.include('unknown');
    expect(states).to.include('done').and.to.include('not-run');
    expect(plain.executions.length).to.equal(states.filter((state) => state === 'done').length);
  });

  // The call was begun and cut at the limit, so the entry could not send it to another agent.
  it('guards against beginning calls that the drain limit cuts', async () => {
    const plain = await startPlainService();
    cleanups.push(() => plain.close());
    plain.control({ delayMs: 400 });
    const { link, waitForMessage, agent, received } = await startSetup(
      'plain',
      plain.url,
      1,
      1_000,
    );
    const ids = ['a', 'b', 'c', 'd'];
    for (const id of ids) link.send({ ...createRequest(id, 'small', 1), kind: 'call' });
    await waitUntil('first call runs', () => JSON.stringify(agent.dump()).includes('"running":1'));
    await agent.drain();
    await waitForMessage('fail', (fail) => fail.attempt === 'd');
    const fails = received.filter((message) => message.type === 'fail');
    expect(received.filter((message) => message.type === 'end')).to.not.deep.equal([]);
    for (const { code, started } of fails)
      expect([code, started]).to.deep.equal(['draining', false]);
  });

  it('guards against beginning a chat that the drain limit is certain to cut', async () => {
    const engine = await startEngine({ tokensPerSecond: 200 });
    cleanups.push(() => engine.close());
    const { link, waitForMessage, agent } = await startSetup('engine', engine.url, 1, 1_000);
    link.send(createRequest('measured', 'small', 40));
    await waitForMessage('end', (end) => end.attempt === 'measured');
    link.send(createRequest('running', 'small', 40));
    link.send(createRequest('queued', 'small', 400));
    await waitForMessage('chunk', (chunk) => chunk.attempt === 'running');
    const drained = agent.drain();
    const fail = await waitForMessage('fail', ({ attempt }) => attempt === 'queued');
    expect([fail.code, fail.started]).to.deep.equal(['draining', false]);
    await waitForMessage('end', (end) => end.attempt === 'running');
    await drained;
  });

  // The links were closed 20 ms after the announcement, so the entry took a call on its way for one that may have run.
  it('guards against a call without a refusal that was sent before a drain was announced', async () => {
    const plain = await startPlainService();
    cleanups.push(() => plain.close());
    const { link, agent, received } = await startSetup('plain', plain.url, 2, 3_000, 40);
    // Reports that are on their way do not delay the announcement.
    await sleep(300);
    link.send({ ...createRequest('a', 'small', 1), kind: 'call' });
    await agent.drain();
    await agent.stop();
    await waitUntil('link closed', () => !link.isOpen);
    const outcomes = received.filter(({ type }) => type === 'fail' || type === 'end');
    expect(outcomes).to.have.length(1);
    expect(outcomes[0]).to.include({ attempt: 'a', code: 'draining', started: false });
  });

  it('guards against an idle agent that exceeds its drain limit to keep its links', async () => {
    const plain = await startPlainService();
    cleanups.push(() => plain.close());
    const { agent } = await startSetup('plain', plain.url, 2, 200);
    const since = performance.now();
    await agent.drain();
    // The rest is for timers that are late on a busy machine.
    expect(performance.now() - since).to.be.lessThan(400);
  });

  // The limit was checked before the sockets were read, and the order ended as `unknown`.
  it('guards against an unknown outcome of an order whose answer waits while its agent is paused', async () => {
    const limitMs = 1_000;
    let drained: Promise<void> | undefined;
    const upstream = createServer((request, response) => {
      if (request.url !== '/orders') {
        response.end();
        return;
      }
      drained = agent.drain();
      const endsAt = performance.now() + limitMs;
      response.end('{}');
      // The answer is in the socket of the agent before its event loop is blocked.
      setImmediate(() => {
        while (performance.now() < endsAt);
      });
    });
    await new Promise<void>((resolve) => upstream.listen(0, '127.0.0.1', resolve));
    cleanups.push(() => new Promise((resolve) => upstream.close(resolve)));
    const { port } = upstream.address() as AddressInfo;
    const setup = await startSetup('plain', `http://127.0.0.1:${port}`, 1, limitMs);
    const { agent, link, waitForMessage } = setup;
    const owner = { workspace: 'small', service: 'desk' };
    link.send({ type: 'slotRequest', call: 'c', ...owner, count: 1 });
    const { ids } = await waitForMessage('slotReply', (reply) => reply.call === 'c');
    const order = { order: ids[0]!, body: Buffer.from('{}'), remainingMs: 8_000 };
    link.send({ type: 'orderPut', call: 'p', ...owner, ...order });
    const reply = await waitForMessage('orderReply', ({ call }) => call === 'p');
    await drained;
    expect(reply.state).to.equal('done');
  });
});
