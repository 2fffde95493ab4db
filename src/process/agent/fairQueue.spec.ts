import { expect } from 'chai';
import { FairQueue } from './fairQueue.js';

interface Backlog {
  readonly workspace: string;
  readonly weight: number;
  readonly cost: number;
}

/** Dequeues a number of items from queues that never run empty; returns the served work by workspace. */
function serve(backlogs: readonly Backlog[], starts: number): Record<string, number> {
  const queue = new FairQueue(() => ({ running: 0, exclusive: false }));
  const served: Record<string, number> = {};
  for (const { workspace, weight, cost } of backlogs) {
    for (let index = 0; index < starts; index += 1) {
      const run = (): Promise<void> => {
        served[workspace] = (served[workspace] ?? 0) + cost;
        return Promise.resolve();
      };
      queue.enqueue(run, { id: `${workspace}${index}`, workspace, weight, cost });
    }
  }
  for (let index = 0; index < starts; index += 1) void queue.dequeue()?.();
  return served;
}

describe('fair queue', () => {
  it('guards against a distribution of work that does not follow the guaranteed shares', () => {
    const table = {
      equalShares: serve(
        [
          { workspace: 'a', weight: 0.5, cost: 10 },
          { workspace: 'b', weight: 0.5, cost: 10 },
        ],
        400,
      ),
      oneToFour: serve(
        [
          { workspace: 'a', weight: 0.2, cost: 10 },
          { workspace: 'b', weight: 0.8, cost: 10 },
        ],
        400,
      ),
      largeRequestsGetNoMore: serve(
        [
          { workspace: 'a', weight: 0.5, cost: 100 },
          { workspace: 'b', weight: 0.5, cost: 10 },
        ],
        440,
      ),
      noShare: serve(
        [
          { workspace: 'a', weight: 0, cost: 10 },
          { workspace: 'b', weight: 0.99, cost: 10 },
        ],
        400,
      ),
    };
    expect(table).to.deep.equal({
      equalShares: { a: 2000, b: 2000 },
      oneToFour: { a: 800, b: 3200 },
      largeRequestsGetNoMore: { a: 4000, b: 4000 },
      noShare: { a: 40, b: 3960 },
    });
  });

  const started: string[] = [];
  const add = (
    queue: FairQueue,
    id: string,
    options: { workspace: string; resumed?: boolean; exclusive?: boolean; cost?: number },
  ): void => {
    const run = (): Promise<void> => {
      started.push(id);
      return Promise.resolve();
    };
    queue.enqueue(run, { id, weight: 0.5, cost: 10, ...options });
  };
  const startAll = (queue: FairQueue): string[] => {
    started.length = 0;
    while (queue.size > 0) void queue.dequeue()?.();
    return [...started];
  };

  it('guards against a small workspace waiting behind the backlog of a large one', () => {
    const queue = new FairQueue(() => ({ running: 0, exclusive: false }));
    for (let index = 0; index < 5; index += 1) add(queue, `l${index}`, { workspace: 'large' });
    void queue.dequeue()?.();
    expect(queue.computeWorkAhead('small')).to.equal(0);
    expect(queue.computeWorkAhead('large')).to.equal(40);
    add(queue, 's', { workspace: 'small' });
    expect(startAll(queue)[0]).to.equal('s');
  });

  it('guards against a preempted stream waiting behind later work of its workspace', () => {
    const queue = new FairQueue(() => ({ running: 0, exclusive: false }));
    for (const id of ['a', 'b', 'c']) add(queue, id, { workspace: 'large' });
    void queue.dequeue()?.();
    add(queue, 's', { workspace: 'small' });
    add(queue, 'a', { workspace: 'large', resumed: true, cost: 5 });
    queue.reserveNextStart('small');
    expect(startAll(queue)).to.deep.equal(['s', 'a', 'b', 'c']);
  });

  it('guards against a suspect that runs alongside other work', () => {
    const state = { running: 1, exclusive: false };
    const queue = new FairQueue(() => state);
    add(queue, 'suspect', { workspace: 'a', exclusive: true });
    add(queue, 'other', { workspace: 'b' });
    expect(queue.size).to.equal(0);
    state.running = 0;
    expect(queue.size).to.equal(2);
    void queue.dequeue()?.();
    Object.assign(state, { running: 1, exclusive: true });
    expect(queue.size).to.equal(0);
    expect(queue.countQueued()).to.equal(1);
  });
});
