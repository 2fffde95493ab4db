import { expect } from 'chai';
import type { EntryFixture } from '../../../test/support/entryFixture.js';
import { startEntryFixture } from '../../../test/support/entryFixture.js';
import { FakeAgent } from '../../../test/support/fakeAgent.js';
import { waitMs } from '../../../test/support/waiting.js';
import type { MessageOf } from '../../protocol/messages.js';
import { createOrderId, parseOrderId } from '../../protocol/orderId.js';

const PATH = '/v1/services/ledger/orders';

const createOrderReply = (call: string, answer: Partial<MessageOf<'orderReply'>>) => ({
  type: 'orderReply' as const,
  call,
  state: 'open' as const,
  reason: '',
  status: 0,
  body: new Uint8Array(0),
  ...answer,
});

const createIdAt = (address: string, incarnation: string, workspace = 'branch'): string => {
  const parts = { address, host: '127.0.0.1', incarnation, workspace, service: 'ledger' };
  return createOrderId({ ...parts, expiresAt: 0 });
};

describe('orders at the entry', () => {
  let fixture: EntryFixture;
  afterEach(() => fixture.close());

  const issueSlot = async (): Promise<string> => {
    const response = await fixture.post(PATH, { count: 2 });
    expect(response.status).to.equal(201);
    const { ids } = (await response.json()) as { ids: string[] };
    expect(ids).to.have.length(2);
    return ids[0]!;
  };

  it('guards against an order that reaches another agent than its executor', async () => {
    const options = ['ledger-1', 'ledger-2', 'ledger-3'].map((upstream) => ({
      upstream,
      service: 'ledger',
      handlers: {
        orderPut: (message: MessageOf<'orderPut'>, link: { send(m: unknown): boolean }) => {
          const body = new Uint8Array(Buffer.from(JSON.stringify({ by: upstream })));
          link.send(createOrderReply(message.call, { state: 'done', status: 200, body }));
        },
      },
    }));
    fixture = await startEntryFixture(options);
    const id = await issueSlot();
    const executor = parseOrderId(id).unwrap().incarnation;
    const index = fixture.agents.findIndex((agent) => agent.incarnation === executor);
    const response = await fixture.call('PUT', `${PATH}/${id}`, '{"amount":5}');
    const expected = { id, state: 'done', status: 200, body: { by: `ledger-${index + 1}` } };
    expect(await response.json()).to.deep.equal(expected);
  });

  it('guards against any other state than unknown when the link breaks after the PUT', async () => {
    const puts: string[] = [];
    const disconnectActions: (() => void)[] = [];
    const options = ['ledger-1', 'ledger-2'].map((upstream) => ({
      upstream,
      service: 'ledger',
      handlers: {
        orderPut: () => {
          puts.push(upstream);
          for (const action of disconnectActions) action();
        },
      },
    }));
    fixture = await startEntryFixture(options);
    for (const agent of fixture.agents)
      disconnectActions.push(() => {
        agent.destroyLinks();
      });
    const id = await issueSlot();
    const answer = (await (await fixture.call('PUT', `${PATH}/${id}`, '{}')).json()) as {
      state: string;
      advice: string;
    };
    expect(answer.state).to.equal('unknown');
    expect(answer.advice).to.contain('repeat the same PUT');
    expect(puts).to.have.length(1);
  });

  it('guards against connecting to addresses that only an id names', async () => {
    fixture = await startEntryFixture([]);
    const unlisted = new FakeAgent({ upstream: 'unlisted', service: 'ledger' });
    await unlisted.start();
    const id = createIdAt(unlisted.address, unlisted.incarnation);
    const response = await fixture.call('PUT', `${PATH}/${id}`, '{}');
    unlisted.close();
    expect(response.status).to.equal(200);
    expect(await response.json()).to.deep.include({ id, state: 'unknown' });
    expect(unlisted.received).to.deep.equal([]);
  });

  // Such an order was reported as `unknown`, and its caller had to settle it by hand.
  it('guards against an unknown outcome of an order that its stopped agent has sealed', async () => {
    fixture = await startEntryFixture([{ upstream: 'ledger-1', service: 'ledger' }]);
    const [agent] = fixture.agents;
    const sealed = await issueSlot();
    const unsealed = await issueSlot();
    agent!.broadcast({ type: 'ordersSealed', orders: [sealed] });
    await waitMs(50);
    agent!.close();
    for (const method of ['PUT', 'GET', 'DELETE']) {
      const body = method === 'PUT' ? '{}' : undefined;
      const response = await fixture.call(method, `${PATH}/${sealed}`, body);
      expect(await response.json()).to.deep.include({ id: sealed, state: 'not-run' });
      const other = await fixture.call(method, `${PATH}/${unsealed}`, body);
      expect(await other.json()).to.deep.include({ id: unsealed, state: 'unknown' });
    }
  });

  it('guards against a seal by another agent than the one that issued the order', async () => {
    fixture = await startEntryFixture([{ upstream: 'ledger-1', service: 'ledger' }]);
    const [agent] = fixture.agents;
    const id = createIdAt(agent!.address, 'earlier');
    agent!.broadcast({ type: 'ordersSealed', orders: [id] });
    await waitMs(50);
    const response = await fixture.call('GET', `${PATH}/${id}`);
    expect(await response.json()).to.deep.include({ id, state: 'unknown' });
  });

  it('guards against giving an order to a later incarnation of its executor', async () => {
    fixture = await startEntryFixture([{ upstream: 'ledger-1', service: 'ledger' }]);
    const [agent] = fixture.agents;
    for (const method of ['PUT', 'GET', 'DELETE']) {
      const id = createIdAt(agent!.address, 'earlier');
      const body = method === 'PUT' ? '{}' : undefined;
      const response = await fixture.call(method, `${PATH}/${id}`, body);
      expect(await response.json()).to.deep.include({ id, state: 'unknown' });
    }
    expect(agent!.received).to.deep.equal([]);
  });

  it('guards against orders of an executor outside the linked subset', async () => {
    fixture = await startEntryFixture([]);
    const handlers = {
      orderGet: (message: MessageOf<'orderGet'>, link: { send(m: unknown): boolean }) =>
        void link.send(createOrderReply(message.call, {})),
    };
    const far = new FakeAgent({ upstream: 'far', service: 'ledger', handlers });
    await far.start();
    // This entry does not know the service, so its pool has no link to the agent.
    fixture.configuration.putService('far', { kind: 'plain' });
    const id = createIdAt(far.address, far.incarnation);
    fixture.configuration.putUpstream('far', 'far', far.address);
    const response = await fixture.call('GET', `${PATH}/${id}`);
    far.close();
    expect(await response.json()).to.deep.equal({ id, state: 'open' });
  });

  it('guards against losing the orders of an upstream that a ticket has moved', async () => {
    const handlers = {
      orderGet: (message: MessageOf<'orderGet'>, link: { send(m: unknown): boolean }) =>
        void link.send(createOrderReply(message.call, {})),
    };
    fixture = await startEntryFixture([{ upstream: 'ledger-1', service: 'ledger', handlers }]);
    const [agent] = fixture.agents;
    const id = createIdAt(agent!.address, agent!.incarnation);
    fixture.configuration.removeUpstream('ledger-1');
    // Wait until the link to the removed agent has closed.
    await new Promise((resolve) => setTimeout(resolve, 300));
    const response = await fixture.call('GET', `${PATH}/${id}`);
    expect(await response.json()).to.deep.equal({ id, state: 'open' });
  });

  it('guards against foreign and malformed ids', async () => {
    fixture = await startEntryFixture([]);
    const foreign = createIdAt('127.0.0.1:1', 'x', 'other');
    expect((await fixture.call('GET', `${PATH}/${foreign}`)).status).to.equal(403);
    const valid = createIdAt('127.0.0.1:1', 'x');
    const elsewhere = `/v1/services/pump/orders/${valid}`;
    expect((await fixture.call('GET', elsewhere)).status).to.equal(403);
    expect((await fixture.call('GET', `${PATH}/ord_x`)).status).to.equal(400);
  });
});
