import { expect } from 'chai';
import { startPlainService } from '../../../test/standins/plainService.js';
import { messageRegistry } from '../../protocol/messages.js';
import { parseOrderId } from '../../protocol/orderId.js';
import type { OrderKey, OrderOutcome } from './orderMemory.js';
import { OrderMemory } from './orderMemory.js';
import type { SendResult } from './upstreams/orderExchange.js';
import { sendOrder } from './upstreams/orderExchange.js';

const owner = { workspace: 'branch', service: 'payout' };
const issuedAt = 1_000;
const ttlMs = 10_000;
const marginMs = 5_000;

function createMemory(): OrderMemory {
  const identity = { address: '127.0.0.1:7000', host: 'h1', incarnation: 'i1' };
  return new OrderMemory({ ...identity, ttlMs, marginMs });
}

function issueOrder(memory: OrderMemory): OrderKey {
  const [order] = memory.issue(owner, 1, 100, issuedAt).unwrap();
  return { ...owner, order: order! };
}

const done: OrderOutcome = { state: 'done', reason: '', status: 200, body: new Uint8Array([1]) };

describe('order memory', () => {
  it('guards against order ids that do not identify the issuing agent', () => {
    const parts = parseOrderId(issueOrder(createMemory()).order).unwrap();
    expect(parts).to.deep.include({ incarnation: 'i1', workspace: 'branch', expiresAt: 11_000 });
  });

  it('guards against order ids that exceed the message limits for long workspace and service ids', () => {
    const long = { workspace: 'w'.repeat(128), service: 's'.repeat(128) };
    const ids = createMemory().issue(long, 1, 1, issuedAt).unwrap();
    const reply = { type: 'slotReply', call: 'c', ids, expiresInMs: 1 };
    expect(messageRegistry.slotReply!.safeParse(reply).success).to.equal(true);
    expect(parseOrderId(ids[0]!).unwrap().workspace).to.equal(long.workspace);
  });

  it('guards against a second run of a repeated order', () => {
    const memory = createMemory();
    const key = issueOrder(memory);
    expect(memory.put(key, 'd1', 2_000).unwrap().kind).to.equal('start');
    expect(memory.put(key, 'd1', 2_001).unwrap().kind).to.equal('shared');
    expect(memory.claim(key.order, 2_002)).to.equal(true);
    expect(memory.claim(key.order, 2_002)).to.equal(false);
    expect(memory.put(key, 'd1', 2_003).unwrap().kind).to.equal('shared');
    const notifiedStates: string[] = [];
    memory.addOutcomeListener(key.order, (outcome) => notifiedStates.push(outcome.state));
    memory.settle(key.order, done);
    expect(notifiedStates).to.deep.equal(['done']);
    const repeat = memory.put(key, 'd1', 12_000).unwrap();
    expect(repeat).to.deep.equal({ kind: 'settled', outcome: done });
  });

  it('guards against a different body under the same id, and against access by other workspaces', () => {
    const memory = createMemory();
    const key = issueOrder(memory);
    memory.put(key, 'd1', 2_000);
    expect(memory.put(key, 'd2', 2_001).unwrapErr().code).to.equal('conflict');
    const otherWorkspaceKey = { ...key, workspace: 'other' };
    expect(memory.get(otherWorkspaceKey, 2_001).unwrapErr().code).to.equal('not_found');
  });

  it('guards against running an order after a pause past its expiry', () => {
    const memory = createMemory();
    const key = issueOrder(memory);
    memory.put(key, 'd1', 2_000);
    expect(memory.claim(key.order, issuedAt + ttlMs)).to.equal(false);
    expect(memory.get(key, 2_000).unwrap().state).to.equal('not-run');
    expect(memory.claim(key.order, 2_000)).to.equal(false);
  });

  it('guards against not-run for an order that may have run, and against running an order marked not-run', () => {
    const memory = createMemory();
    const notRun = issueOrder(memory);
    expect(memory.markNotRun(notRun.order, 'cancelled')).to.equal(true);
    expect(memory.put(notRun, 'd1', 2_000).unwrap().kind).to.equal('settled');
    expect(memory.claim(notRun.order, 2_000)).to.equal(false);
    const running = issueOrder(memory);
    memory.put(running, 'd1', 2_000);
    memory.claim(running.order, 2_000);
    expect(memory.markNotRun(running.order, 'cancelled')).to.equal(false);
    expect(memory.get(running, issuedAt + ttlMs).unwrap().state).to.equal('running');
    memory.settleAll('agent stopped');
    expect(memory.get(running, 2_000).unwrap().state).to.equal('unknown');
    memory.settle(running.order, done);
    expect(memory.get(running, 2_000).unwrap().state).to.equal('unknown');
  });

  it('guards against deleting slots before expiry and retention margin', () => {
    const memory = createMemory();
    memory.issue(owner, 3, 3, issuedAt).unwrap();
    const full = memory.issue(owner, 1, 3, issuedAt + ttlMs).unwrapErr();
    expect([full.code, full.retryAfterMs]).to.deep.equal(['order_memory_full', marginMs]);
    expect(memory.countStates()).to.deep.equal({ 'not-run': 3 });
    expect(memory.issue({ ...owner, workspace: 'other' }, 1, 3, issuedAt).isOk()).to.equal(true);
    expect(memory.issue(owner, 1, 3, issuedAt + ttlMs + marginMs).isOk()).to.equal(true);
  });
});

describe('order exchange', () => {
  const send = (url: string, claim: () => boolean): Promise<SendResult> =>
    sendOrder({
      hasPaused: () => false,
      url,
      order: 'ord_1',
      body: Buffer.from('{}'),
      caller: 'h1/i1',
      claim,
      signal: new AbortController().signal,
    });
  const read = (end: SendResult): string => (end.kind === 'ended' ? end.outcome.state : end.kind);

  it('guards against a repeated send and a wrong outcome for each upstream failure', async () => {
    const table: Record<string, unknown[]> = {};
    const faults = { refuse: {}, resetAfterRun: {}, resetBeforeRun: {}, none: {}, unclaimed: {} };
    for (const fault of Object.keys(faults)) {
      const plain = await startPlainService();
      plain.control({ [fault]: true });
      let claims = 0;
      const claim = (): boolean => {
        claims += 1;
        return fault !== 'unclaimed' && claims === 1;
      };
      const end = await send(plain.url, claim);
      table[fault] = [read(end), plain.executions.length, claims];
      await plain.close();
      if (fault === 'none') table.connectionRefused = [read(await send(plain.url, claim)), claims];
    }
    expect(table).to.deep.equal({
      refuse: ['not-run', 0, 1],
      resetAfterRun: ['unknown', 1, 1],
      resetBeforeRun: ['unknown', 0, 1],
      none: ['done', 1, 1],
      connectionRefused: ['never-sent', 1],
      unclaimed: ['never-sent', 0, 1],
    });
  });
});
