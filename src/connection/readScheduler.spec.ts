import { expect } from '../../test/support/snapshot.js';
import { ReadFlow, ReadScheduler, ScheduledReader } from './readScheduler.js';

const waitForTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

describe('scheduler of reads', () => {
  /** Readers that always have more to read, and would be woken for as long as the process of the tests runs. */
  const endless: { scheduler: ReadScheduler; reader: ScheduledReader }[] = [];
  afterEach(() => {
    for (const { scheduler, reader } of endless.splice(0)) scheduler.remove(reader, 0);
  });

  /** Starts readers that always have more to read, and counts the time that each gets. */
  function startReaders(
    scheduler: ReadScheduler,
    costsMs: readonly number[],
  ): { readers: ScheduledReader[]; order: number[] } {
    const order: number[] = [];
    let now = 0;
    const readers = costsMs.map((costMs, index) => {
      const read = (): void => {
        while (scheduler.beginSlice(reader, now) > 0) {
          order.push(index);
          now += costMs;
          scheduler.endSlice(reader, now);
        }
      };
      const reader = new ScheduledReader(new ReadFlow(), read);
      endless.push({ scheduler, reader });
      return { reader, read };
    });
    for (const { read } of readers) read();
    return { readers: readers.map(({ reader }) => reader), order };
  }

  // Reads of 64 KB from each upstream in turn kept the event loop busy for seconds.
  it('guards against reading for longer than a slice beyond the time of a turn', async () => {
    const scheduler = new ReadScheduler();
    const { order } = startReaders(scheduler, [0.4, 0.4, 0.4]);
    const turns = [order.length];
    for (let turn = 0; turn < 3; turn += 1) {
      await waitForTurn();
      turns.push(order.length);
    }
    expect(turns).to.deep.equal([3, 6, 9, 12]);
  });

  // Otherwise a response that costs little waits behind those that always have more.
  it('guards against a connection that gets more time than others, whatever its slices cost', async () => {
    const scheduler = new ReadScheduler();
    const { readers } = startReaders(scheduler, [0.1, 0.4, 0.9]);
    for (let turn = 0; turn < 200; turn += 1) await waitForTurn();
    const times = readers.map(({ usedMs }) => usedMs);
    expect(Math.max(...times) - Math.min(...times)).to.be.below(2);
  });

  it('guards against a connection with little to read that waits behind those that always have more', async () => {
    const scheduler = new ReadScheduler();
    startReaders(scheduler, [0.5, 0.5, 0.5, 0.5]);
    for (let turn = 0; turn < 20; turn += 1) await waitForTurn();
    let turns = 0;
    let hasRead = false;
    const sparse = new ScheduledReader(new ReadFlow(), () => {
      hasRead = scheduler.beginSlice(sparse, 0) > 0;
      scheduler.endSlice(sparse, 0);
    });
    if (scheduler.beginSlice(sparse, 0) > 0) hasRead = true;
    for (; !hasRead; turns += 1) await waitForTurn();
    // One slice of each of the others, of which two fit into a turn.
    expect(turns).to.be.at.most(2);
  });

  // A service with many callers took nearly all of the time from one with few.
  it('guards against a flow of many connections that takes time from one of few', async () => {
    const scheduler = new ReadScheduler();
    const flows = [new ReadFlow(), new ReadFlow()] as const;
    let now = 0;
    const start = (flow: ReadFlow): ScheduledReader => {
      const read = (): void => {
        while (scheduler.beginSlice(reader, now) > 0) {
          now += 0.3;
          scheduler.endSlice(reader, now);
        }
      };
      const reader = new ScheduledReader(flow, read);
      endless.push({ scheduler, reader });
      read();
      return reader;
    };
    const many = Array.from({ length: 60 }, () => start(flows[0]));
    const few = start(flows[1]);
    for (let turn = 0; turn < 300; turn += 1) await waitForTurn();
    const usedByMany = many.reduce((sum, { usedMs }) => sum + usedMs, 0);
    expect(few.usedMs / usedByMany).to.be.within(0.9, 1.1);
  });

  it('guards against slices of a size that does not follow what they cost', () => {
    const scheduler = new ReadScheduler();
    const measureSlices = (costMs: number): number[] => {
      const reader = new ScheduledReader(new ReadFlow(), () => undefined);
      const sizes: number[] = [];
      for (let slice = 0; slice < 6; slice += 1) {
        sizes.push(reader.sliceBytes);
        reader.sliceStartedAt = 0;
        scheduler.endSlice(reader, costMs);
      }
      return sizes;
    };
    expect([measureSlices(0.01), measureSlices(0.3), measureSlices(5)]).toMatchSnapshot();
  });

  it('guards against a closed connection that keeps its place', async () => {
    const scheduler = new ReadScheduler();
    const { readers } = startReaders(scheduler, [2, 2]);
    expect(scheduler.waitingCount).to.equal(2);
    for (const reader of readers) scheduler.remove(reader, 0);
    await waitForTurn();
    expect(scheduler.waitingCount).to.equal(0);
  });
});
