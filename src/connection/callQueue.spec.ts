import { expect } from 'chai';
import { CallQueue } from './callQueue.js';

describe('call queue', () => {
  it('guards against more calls at a time than allowed, and calls out of order', async () => {
    const queue = new CallQueue(2);
    const started: number[] = [];
    let active = 0;
    let maxActive = 0;
    const calls = [0, 1, 2, 3, 4].map((id) =>
      queue.run(async () => {
        started.push(id);
        active += 1;
        maxActive = Math.max(maxActive, active);
        await new Promise(setImmediate);
        active -= 1;
        if (id === 1) throw new Error('failed');
      }),
    );
    const ends = await Promise.allSettled(calls);
    expect(ends.map(({ status }) => status === 'rejected')).to.deep.equal([
      false,
      true,
      false,
      false,
      false,
    ]);
    expect({ started, maxActive }).to.deep.equal({ started: [0, 1, 2, 3, 4], maxActive: 2 });
  });

  it('guards against a call that waits longer than its time limit, or runs after it', async () => {
    const queue = new CallQueue(1);
    let finish: () => void = () => undefined;
    const first = queue.run(() => new Promise<void>((resolve) => (finish = resolve)));
    const limit = new AbortController();
    let hasRun = false;
    const second = queue.run(() => Promise.resolve((hasRun = true)), limit.signal);
    limit.abort(new Error('late'));
    const error: unknown = await second.catch((reason: unknown) => reason);
    expect(String(error)).to.equal('Error: late');
    finish();
    await first;
    expect(await queue.run(() => Promise.resolve('next'))).to.equal('next');
    expect(hasRun).to.equal(false);
  });
});
