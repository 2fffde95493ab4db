import { expect } from 'chai';
import { OrderMemory } from '../../src/process/agent/orderMemory.js';
import { parseOrderId } from '../../src/protocol/orderId.js';
import { RecordingUpstream } from './rejectedSchemes.js';

const TTL_MS = 5_000;
const MARGIN_MS = 60_000;
const owner = { workspace: 'branch-yaba', service: 'payout-ledger' };

/** Agent of the id scheme: only the incarnation named in the order id executes the order. */
class IssuingAgent {
  private readonly memory: OrderMemory;

  constructor(
    readonly incarnation: string,
    private readonly upstream: RecordingUpstream,
  ) {
    const location = { address: '127.0.0.1:7000', host: 'host-1' };
    this.memory = new OrderMemory({ ...location, incarnation, ttlMs: TTL_MS, marginMs: MARGIN_MS });
  }

  issueId(now: number): string {
    return this.memory.issue(owner, 1, 10, now).unwrap()[0]!;
  }

  /** Accepts the order; the returned function claims and sends it, possibly after a process pause. */
  prepareOrder(order: string, now: number): ((sentAt: number) => void) | undefined {
    const put = this.memory.put({ order, ...owner }, 'digest', now);
    if (put.isErr() || put.value.kind !== 'start') return undefined;
    return (sentAt) => {
      if (this.memory.claim(order, sentAt)) this.upstream.execute(order);
    };
  }

  readState(order: string, now: number): string {
    const found = this.memory.get({ order, ...owner }, now);
    return found.isOk() ? found.value.state : found.error.code;
  }
}

/** Routing rule of the entry: the order id names its executor, independent of the entry's configuration. */
function findExecutor(order: string, agents: readonly IssuingAgent[]): IssuingAgent | undefined {
  const { incarnation } = parseOrderId(order).unwrap();
  return agents.find((agent) => agent.incarnation === incarnation);
}

describe('order ids that name their executor', () => {
  it('guards against two executions through entries with different configuration', () => {
    const upstream = new RecordingUpstream();
    const agents = ['i1', 'i2', 'i3'].map((incarnation) => new IssuingAgent(incarnation, upstream));
    const order = agents[0]!.issueId(0);
    const freshView = agents.slice(1);
    findExecutor(order, agents)?.prepareOrder(order, 10)?.(10);
    // The response is lost; the caller retries through entries with newer and with older configuration.
    expect(findExecutor(order, freshView)).to.equal(undefined);
    findExecutor(order, agents)?.prepareOrder(order, 20)?.(20);
    expect(upstream.countExecutions(order)).to.equal(1);
  });

  it('guards against a second execution by agents on replaced hosts, which have lost the order', () => {
    const upstream = new RecordingUpstream();
    const first = new IssuingAgent('i1', upstream);
    const order = first.issueId(0);
    findExecutor(order, [first])?.prepareOrder(order, 10)?.(10);
    const replaced = [new IssuingAgent('i4', upstream), new IssuingAgent('i5', upstream)];
    expect(findExecutor(order, replaced)).to.equal(undefined);
    // Even if an entry sends the order to a successor by mistake, the successor did not issue the id and refuses it.
    for (const agent of replaced) agent.prepareOrder(order, 20)?.(20);
    expect(replaced.map((agent) => agent.readState(order, 20))).to.deep.equal([
      'not_found',
      'not_found',
    ]);
    expect(upstream.countExecutions(order)).to.equal(1);
  });

  it('guards against a second execution by an executor paused between its check and its send', () => {
    const upstream = new RecordingUpstream();
    const first = new IssuingAgent('i1', upstream);
    const second = new IssuingAgent('i2', upstream);
    const order = first.issueId(0);
    const pausedSend = first.prepareOrder(order, 900);
    // No other agent takes over the order, so the delayed send is the only one.
    second.prepareOrder(order, 1_000)?.(1_000);
    pausedSend?.(1_100);
    pausedSend?.(1_200);
    expect(upstream.countExecutions(order)).to.equal(1);

    const late = first.issueId(2_000);
    const lateSend = first.prepareOrder(late, 2_900);
    lateSend?.(2_000 + TTL_MS);
    expect(upstream.countExecutions(late)).to.equal(0);
    expect(first.readState(late, 2_000 + TTL_MS)).to.equal('not-run');
  });
});
