import { expect } from '../support/snapshot.js';
import { eventsPerStream, formatEvent } from '../standins/platformWorker.js';
import type { WorkerBehaviour } from '../standins/platformWorker.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';
import { waitMs, waitUntil } from '../support/waiting.js';

const wholeStream = Array.from({ length: eventsPerStream }, (_, index) =>
  formatEvent(index + 1),
).join('');

describe('gateway', () => {
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  const call = (
    path: string,
    headers?: Record<string, string>,
    signal?: AbortSignal,
  ): ReturnType<typeof callGateway> => callGateway(fixture.urls[0] ?? '', path, headers, signal);
  const countSeen = (): number =>
    fixture.workers.reduce((sum, worker) => sum + worker.seen.length, 0);
  const setFirst = (behaviour: WorkerBehaviour): void => {
    // Whichever worker is asked first misbehaves; the other serves.
    for (const worker of fixture.workers) worker.behaviour = behaviour;
    const timer = setInterval(() => {
      if (countSeen() === 0) return;
      clearInterval(timer);
      for (const worker of fixture.workers) {
        if (worker.seen.length === 0) worker.behaviour = 'serve';
      }
    }, 1);
  };

  it('guards against changed requests and answers, and keys passed on to upstreams', async () => {
    fixture = await startGatewayFixture({ workers: 1 });
    const answer = await call('/chat/a?b=c', {
      'x-own': '1',
      tenant: 'forged',
      'request-id': 'r-x',
    });
    const { headers, ...seen } = fixture.workers[0]!.seen[0]!;
    const names = ['request-id', 'x-own', 'tenant', 'expect-instance', 'host', 'x-api-key'];
    const passed = Object.fromEntries(names.map((name) => [name, headers[name]]));
    expect({
      body: answer.body,
      status: answer.status,
      seal: answer.headers['server-seal'],
      seen,
      passed,
    }).toMatchSnapshot();
    expect(Number(headers['deadline-ms'])).to.be.within(1500, 2000);
  });

  it('guards against routes, keys and bodies that the configuration does not allow', async () => {
    fixture = await startGatewayFixture();
    const statuses = {
      unknownRoute: (await call('/other/a')).status,
      unknownHost: (await call('/chat/a', { host: 'other.example' })).status,
      unknownKey: (await call('/lookup/a', { 'x-api-key': 'wrong' })).status,
      publicRoute: (await call('/open/a', { 'x-api-key': 'wrong' })).status,
      lookup: (await call('/lookup/a')).status,
    };
    expect(statuses).toMatchSnapshot();
  });

  it('guards against a stream that loses, repeats or splices events when its upstream breaks off', async () => {
    fixture = await startGatewayFixture();
    setFirst('cut');
    const answer = await call('/chat/a');
    expect(answer).to.include({ status: 200, isWhole: true, body: wholeStream });
    expect(countSeen()).to.equal(2);
  });

  it('guards against a broken stream that looks complete', async () => {
    fixture = await startGatewayFixture();
    for (const worker of fixture.workers) worker.behaviour = 'cut';
    const answer = await call('/chat/a');
    expect(answer.isWhole).to.equal(false);
  });

  const onceCases: readonly [WorkerBehaviour, number, number][] = [
    ['cutBeforeAnswer', 502, 1],
    ['otherRequestId', 502, 1],
    ['unsealed', 502, 1],
    ['unframedReset', 502, 1],
    ['chunkedCut', 502, 1],
    ['error', 500, 1],
    ['notExecuted', 200, 2],
    ['otherInstance', 200, 2],
  ];
  for (const [behaviour, status, sends] of onceCases) {
    it(`guards against a second run and a false refusal of a payment; upstream: ${behaviour}`, async () => {
      fixture = await startGatewayFixture();
      setFirst(behaviour);
      const answer = await call('/pay/a');
      expect(answer.status).to.equal(status);
      expect(countSeen()).to.equal(sends);
    });
  }

  const failing = ['cutBeforeAnswer', 'error', 'unframedReset', 'chunkedCut', 'unsealed'] as const;
  for (const behaviour of failing) {
    it(`guards against a lookup that fails with its first upstream; upstream: ${behaviour}`, async () => {
      fixture = await startGatewayFixture();
      setFirst(behaviour);
      const answer = await call('/lookup/a');
      expect(answer).to.include({ status: 200, body: 'balance 12' });
    });
  }

  it('guards against a length that vouches for a body which came without one', async () => {
    fixture = await startGatewayFixture({ workers: 1 });
    fixture.workers[0]!.behaviour = 'unframed';
    const answer = await call('/pay/a');
    expect(answer).to.include({ status: 200, body: 'half of a bal' });
    const { 'content-length': length, 'transfer-encoding': encoding, connection } = answer.headers;
    expect({ length, encoding, connection }).to.deep.equal({
      length: undefined,
      encoding: undefined,
      connection: 'close',
    });
  });

  it('guards against a refusal that is said although the request may have run', async () => {
    fixture = await startGatewayFixture({ workers: 1 });
    fixture.workers[0]!.behaviour = 'hang';
    const answer = await call('/pay/a', { 'deadline-ms': '300' });
    expect(answer.status).to.equal(504);
  });

  it('guards against a refusal without the time to come back', async () => {
    fixture = await startGatewayFixture({ workers: 1 });
    fixture.store.remove('servers/i-0');
    await waitUntil('payment refused', async () => (await call('/pay/a')).status === 503);
    const answer = await call('/pay/a');
    expect(Number(answer.headers['retry-after'])).to.be.greaterThan(0);
    expect(answer.headers['server-seal']).to.equal(undefined);
  });

  it('guards against work at an upstream after its caller has left', async () => {
    fixture = await startGatewayFixture({ workers: 1 });
    const worker = fixture.workers[0]!;
    worker.gapMs = 100;
    const controller = new AbortController();
    void call('/chat/a', {}, controller.signal).catch(() => undefined);
    await waitUntil('request seen', () => worker.seen.length === 1);
    controller.abort();
    await waitUntil('request abandoned', () => worker.seen[0]!.isAbandoned, { timeoutMs: 400 });
  });

  it('guards against work for an upstream that is draining, also when a stale list shows it again', async () => {
    fixture = await startGatewayFixture();
    const [leaving] = fixture.workers;
    fixture.publishWorker(leaving!, { state: 'draining' });
    await waitMs(1500);
    fixture.publishWorker(leaving!);
    await waitMs(800);
    const before = leaving!.seen.length;
    for (let index = 0; index < 10; index += 1) await call('/lookup/a');
    expect(leaving!.seen.length).to.equal(before);
  });

  it('guards against trying an entry again at whose address another upstream has answered', async () => {
    fixture = await startGatewayFixture();
    const [first] = fixture.workers;
    if (first === undefined) throw new Error('no worker');
    first.behaviour = 'otherInstance';
    for (let round = 0; round < 3; round += 1) {
      for (let count = 0; count < 6; count += 1) {
        expect((await call('/lookup/a')).status).to.equal(200);
      }
      // An upstream that has only failed is tried again after 0.4 s.
      await waitMs(500);
    }
    expect(first.seen.length).to.equal(1);
    fixture.publishWorker(first, { born: 2 });
    first.behaviour = 'serve';
    await waitUntil('the new start is used', async () => {
      await call('/lookup/a');
      return first.seen.length > 1;
    });
  });

  it('guards against forged and unreadable entries of the upstream list', async () => {
    fixture = await startGatewayFixture({ workers: 1 });
    fixture.store.putBytes('servers/i-7', Buffer.from([0xff, 0x00, 0x7b]));
    fixture.store.put('servers/i-8', {
      service: 'assistant',
      address: '127.0.0.1:1',
      state: 'ready',
    });
    fixture.store.put('servers/i-9', {
      service: 'assistant',
      slots: 'many',
      zone: 'a',
      state: 'odd',
    });
    await waitMs(900);
    for (let index = 0; index < 6; index += 1) {
      expect((await call('/lookup/a')).status).to.equal(200);
    }
  });

  it('guards against a key that is honoured after its revocation', async () => {
    fixture = await startGatewayFixture();
    expect((await call('/lookup/a', { 'x-api-key': 'key-2' })).status).to.equal(200);
    fixture.publishConfiguration(2, { tenants: [{ name: 'branch', apiKeys: ['key-1'] }] });
    await waitMs(900);
    expect((await call('/lookup/a', { 'x-api-key': 'key-2' })).status).to.equal(401);
    fixture.publishConfiguration(1);
    await waitMs(900);
    expect((await call('/lookup/a', { 'x-api-key': 'key-2' })).status).to.equal(401);
  });

  it('guards against keys honoured without a fresh proof while the store is silent', async () => {
    fixture = await startGatewayFixture({ settings: { keyRevocationLimitMs: 2000 } });
    fixture.store.mode = 'silent';
    await waitMs(2300);
    const answer = await call('/lookup/a');
    expect(answer.status).to.equal(503);
    expect((await call('/open/a')).status).to.equal(200);
    fixture.store.mode = 'serving';
    await waitUntil('lookup served', async () => (await call('/lookup/a')).status === 200);
  });

  it('guards against refusing callers who reach a gateway just before it has read the configuration', async () => {
    const early: ReturnType<typeof callGateway>[] = [];
    fixture = await startGatewayFixture({
      onListening: (url, store) => {
        for (let count = 0; count < 3; count += 1) early.push(callGateway(url, '/lookup/a'));
        // The read after the first failed one comes within 0.2 s.
        setTimeout(() => {
          store.mode = 'serving';
        }, 50);
      },
    });
    for (const { status } of await Promise.all(early)) expect(status).to.equal(200);
  });

  it('guards against callers kept waiting by a gateway that cannot read the configuration', async () => {
    let answeredMs = Infinity;
    fixture = await startGatewayFixture({
      onListening: (url, store) => {
        const sentAt = performance.now();
        void callGateway(url, '/lookup/a').then(({ status }) => {
          if (status === 503) answeredMs = performance.now() - sentAt;
          store.mode = 'serving';
        });
      },
    });
    expect(answeredMs).to.be.within(350, 800);
  });

  it('guards against a request that ends one upstream after the other through several gateways', async () => {
    fixture = await startGatewayFixture({ workers: 6, gateways: 2 });
    for (const worker of fixture.workers) worker.behaviour = 'crash';
    const statuses = [];
    for (let turn = 0; turn < 6; turn += 1) {
      const url = fixture.urls[turn % 2] ?? '';
      statuses.push((await callGateway(url, '/chat/poison').catch(() => ({ status: 0 }))).status);
      await waitMs(400);
    }
    expect(countSeen()).to.be.at.most(3);
    expect(statuses.at(-1)).to.equal(502);
  });

  it('guards against a blameless lookup that is refused because answers are lost', async () => {
    fixture = await startGatewayFixture();
    for (const worker of fixture.workers) worker.behaviour = 'cutBeforeAnswer';
    for (let turn = 0; turn < 4; turn += 1) await call('/lookup/a');
    for (const worker of fixture.workers) worker.behaviour = 'serve';
    await waitUntil('lookup served', async () => (await call('/lookup/a')).status === 200);
  });

  it('guards against keys refused by a gateway that only the store turns away', async () => {
    fixture = await startGatewayFixture({
      gateways: 2,
      settings: { keyRevocationLimitMs: 2000 },
      separateStores: true,
    });
    fixture.stores[1]!.mode = 'busy';
    await waitMs(2500);
    const answer = await callGateway(fixture.urls[1] ?? '', '/lookup/a');
    expect(answer.status).to.equal(200);
  });

  it('guards against cut streams and refused callers during a graceful stop', async () => {
    fixture = await startGatewayFixture({ workers: 1 });
    fixture.workers[0]!.gapMs = 200;
    const running = call('/chat/a');
    await waitMs(100);
    const stopped = fixture.gateways[0]!.drain();
    const late = call('/lookup/a');
    expect(await running).to.include({ isWhole: true, body: wholeStream });
    expect((await late).status).to.equal(200);
    await stopped;
  });
});
