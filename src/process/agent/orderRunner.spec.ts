import { expect } from 'chai';
import { startPlainService } from '../../../test/standins/plainService.js';
import type { PeerLink } from '../../connection/peerLink.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { createLogger } from '../logging.js';
import { Metrics } from '../metrics.js';
import { Dispatcher } from './dispatcher.js';
import { OrderMemory } from './orderMemory.js';
import { OrderRunner } from './orderRunner.js';

const owner = { workspace: 'branch', service: 'payout' };
const TTL_MS = 120_000;

/** Creates a fake link that records replies; the runner only sends on it. */
function createLink() {
  const replies: MessageOf<'orderReply'>[] = [];
  const waiters: (() => void)[] = [];
  const send = (message: Message): boolean => {
    if (message.type === 'orderReply') replies.push(message);
    for (const resolve of waiters.splice(0)) resolve();
    return true;
  };
  const waitForReplies = async (count: number): Promise<string[]> => {
    while (replies.length < count) await new Promise<void>((resolve) => waiters.push(resolve));
    return replies.map(({ state, error }) => error?.code ?? state);
  };
  return { link: { send } as unknown as PeerLink, waitForReplies };
}

async function createSetup(readClock: () => number, isUpstreamDown = false) {
  const plain = await startPlainService();
  const identity = { address: '127.0.0.1:7000', host: 'h1', incarnation: 'i1' };
  const memory = new OrderMemory({ ...identity, ttlMs: TTL_MS, marginMs: 60_000 });
  const dispatcher = new Dispatcher(1, {
    getNominalThroughput: () => 0,
    getShare: () => 0.5,
    getMaxQueued: () => 10,
    readClock,
    onChange: () => undefined,
  });
  const runner = new OrderRunner({
    memory,
    dispatcher,
    logger: createLogger('agent'),
    metrics: new Metrics(),
    readClock,
    upstreamUrl: plain.url,
    hasPaused: () => false,
    caller: 'h1/i1',
    getMaxOrderSlots: () => 10,
    checkAdmission: () => undefined,
    checkAccepting: () =>
      isUpstreamDown ? { code: 'upstream_refused', message: 'down' } : undefined,
  });
  const ids = memory.issue(owner, 3, 10, readClock()).unwrap();
  const createPut = (index: number, remainingMs = 2_000, text = '{}') =>
    ({
      type: 'orderPut',
      call: `c${index}`,
      ...owner,
      order: ids[index]!,
      body: Buffer.from(text),
      remainingMs,
    }) as const;
  return { plain, memory, dispatcher, runner, createPut };
}

describe('order runner', () => {
  it('guards against sending an order after a pause between its acceptance and the write', async () => {
    let now = 1_000;
    const { plain, runner, createPut } = await createSetup(() => now);
    const { link, waitForReplies } = createLink();
    runner.put(createPut(0, TTL_MS), link);
    // Simulates a pause of the process until after slot expiry, while the connection is being opened.
    now += TTL_MS;
    expect(await waitForReplies(1)).to.deep.equal(['not-run']);
    runner.put(createPut(0), link);
    expect(await waitForReplies(2)).to.deep.equal(['not-run', 'not-run']);
    expect(plain.executions.length).to.equal(0);
    await plain.close();
  });

  // The drain could end while the connection was being opened, right before the order was written.
  it('guards against sending an order that has no time to end before the drain limit', async () => {
    let now = 1_000;
    const { plain, dispatcher, runner, createPut } = await createSetup(() => now);
    const { link, waitForReplies } = createLink();
    dispatcher.beginDrain(1_000, now);
    runner.put(createPut(0), link);
    now += 900;
    expect(await waitForReplies(1)).to.deep.equal(['not-run']);
    expect(plain.executions.length).to.equal(0);
    await plain.close();
  });

  it('guards against a second run by concurrent repeats, and against a different body', async () => {
    const { plain, runner, createPut } = await createSetup(() => 1_000);
    plain.control({ delayMs: 30, resetAfterRun: true });
    const { link, waitForReplies } = createLink();
    for (let repeat = 0; repeat < 5; repeat += 1) runner.put(createPut(0), link);
    runner.put(createPut(0, 2_000, 'other'), link);
    const states = await waitForReplies(6);
    expect(states.sort()).to.deep.equal(['conflict', ...Array<string>(5).fill('unknown')]);
    runner.put(createPut(0), link);
    expect((await waitForReplies(7)).at(-1)).to.equal('unknown');
    expect(plain.executions.length).to.equal(1);
    await plain.close();
  });

  it('guards against a queued order that runs after it was reported as not-run', async () => {
    let now = 1_000;
    const { plain, dispatcher, runner, createPut } = await createSetup(() => now);
    plain.control({ delayMs: 60 });
    const { link, waitForReplies } = createLink();
    runner.put(createPut(0), link);
    runner.put(createPut(1, 500), link);
    runner.put(createPut(2), link);
    const { order, call } = createPut(2);
    runner.cancel({ type: 'orderCancel', call, ...owner, order }, link);
    now += 500;
    dispatcher.update(now);
    const states = await waitForReplies(4);
    expect(states).to.deep.equal(['not-run', 'not-run', 'not-run', 'done']);
    expect(plain.executions.length).to.equal(1);
    expect(runner.pending).to.equal(0);
    await plain.close();
  });

  it('guards against settling an order while the upstream accepts no work', async () => {
    const { plain, memory, runner, createPut } = await createSetup(() => 1_000, true);
    const { link, waitForReplies } = createLink();
    runner.put(createPut(0), link);
    expect(await waitForReplies(1)).to.deep.equal(['upstream_refused']);
    expect(memory.countStates()).to.deep.equal({ open: 3 });
    await plain.close();
  });
});
