import { expect } from 'chai';
import type { MemoryHold } from './callerMemory.js';
import { CallerMemory, RESERVED_BYTES } from './callerMemory.js';

/** As many bytes as the socket of a suspended connection may read in advance. */
const UNIT_BYTES = 64 * 1024;
const MAX_BYTES = 256 * UNIT_BYTES;

describe('memory of callers', () => {
  let events: string[];
  let memory: CallerMemory;

  beforeEach(() => {
    events = [];
    memory = new CallerMemory(MAX_BYTES, ({ group }) => events.push(`reclaimed in ${group}`));
  });

  /** Opens a hold that notes what happens to it; `group` is its workspace. */
  const open = (name: string, now: number, group = 'a'): MemoryHold => {
    const hold = memory.open(
      {
        kind: 'body',
        group,
        evict: () => events.push(`evicted ${name}`),
        suspend: () => events.push(`suspended ${name}`),
        resume: () => events.push(`resumed ${name}`),
      },
      now,
    );
    return hold;
  };
  const fill = (hold: MemoryHold, units: number, now: number): void => {
    hold.resize(RESERVED_BYTES + units * UNIT_BYTES, now);
  };

  it('guards against small bodies that wait for the memory of large ones', () => {
    fill(open('large', 0), 256, 0);
    open('small', 1).resize(RESERVED_BYTES, 1);
    expect(events).to.deep.equal([]);
    expect(memory.describe()).to.deep.equal({
      usedBytes: MAX_BYTES,
      maxBytes: MAX_BYTES,
      holds: 1,
      waiting: 0,
    });
  });

  it('guards against reading on while no memory is left', () => {
    const first = open('first', 0);
    fill(first, 250, 0);
    fill(open('second', 10), 10, 10);
    expect(events).to.deep.equal(['suspended second']);
    first.release();
    memory.advance(20);
    expect(events).to.deep.equal(['suspended second', 'resumed second']);
  });

  it('guards against more that read on than there is memory for, when they do so a little later', () => {
    const first = open('first', 0);
    fill(first, 255, 0);
    for (const name of ['a', 'b', 'c', 'd', 'e', 'f']) fill(open(name, 10), 1, 10);
    expect(events).to.deep.equal(['b', 'c', 'd', 'e', 'f'].map((name) => `suspended ${name}`));
    // Leaves room for what two of them read.
    fill(first, 243, 20);
    expect(events.slice(5)).to.deep.equal(['resumed b', 'resumed c']);
  });

  it('guards against bodies that move and end because of others that do not', () => {
    const stalled = open('stalled', 0);
    fill(stalled, 130, 0);
    const moving = open('moving', 0);
    fill(moving, 120, 0);
    fill(moving, 121, 900);
    fill(open('waiting', 900), 10, 900);
    memory.advance(1_000);
    expect(events).to.deep.equal([
      'suspended waiting',
      'reclaimed in a',
      'evicted stalled',
      'resumed waiting',
    ]);
  });

  it('guards against the end of stalled bodies while memory is left', () => {
    fill(open('slow', 0), 200, 0);
    memory.advance(60_000);
    expect(events).to.deep.equal([]);
  });

  it('guards against the end of a request that is in work', () => {
    const working = open('working', 0);
    fill(working, 256, 0);
    working.isEvictable = false;
    fill(open('other', 1), 100, 1);
    memory.advance(60_000);
    expect(events).to.deep.equal(['suspended other']);
  });

  it('guards against bodies that wait for each other for ever', () => {
    const first = open('first', 0);
    fill(first, 200, 0);
    fill(open('second', 0), 100, 0);
    fill(first, 210, 1);
    expect(events).to.deep.equal(['suspended second']);
    fill(first, 230, 2);
    expect(events.slice(1)).to.deep.equal([
      'suspended first',
      'reclaimed in a',
      'evicted second',
      'resumed first',
    ]);
  });

  it('guards against a large body that ends because a small one comes', () => {
    const large = open('large', 0);
    fill(large, 300, 0);
    fill(open('small', 1), 1, 1);
    fill(large, 301, 2);
    memory.advance(2);
    expect(events).to.deep.equal(['suspended small']);
  });

  it('guards against a small workspace that waits behind a large one', () => {
    const large = open('large 1', 0, 'large');
    fill(large, 256, 0);
    fill(open('large 2', 0, 'large'), 1, 0);
    fill(open('large 3', 0, 'large'), 1, 0);
    fill(open('small', 0, 'small'), 1, 0);
    events.length = 0;
    fill(large, 64, 10);
    expect(events[0]).to.equal('resumed small');
  });

  it('guards against use far beyond the limit', () => {
    const holds = Array.from({ length: 100 }, (_, index) => open(String(index), index));
    for (const [index, hold] of holds.entries()) fill(hold, 64, index);
    expect(memory.describe().usedBytes).to.be.at.most(MAX_BYTES * 1.25);
    expect(events).to.include('evicted 0');
    expect(events).to.not.include('evicted 99');
  });

  it('guards against memory that stays counted after its release', () => {
    const holds = Array.from({ length: 100 }, (_, index) => open(String(index), index));
    for (const [index, hold] of holds.entries()) fill(hold, 64, index);
    for (const hold of holds) hold.release();
    memory.advance(1_000);
    expect(memory.describe()).to.include({ usedBytes: 0, holds: 0, waiting: 0 });
  });

  // A sound response that waited for memory was ended, because those without an end made progress all the time.
  it('guards against holds that are ended because they wait while others grow', () => {
    const [first, second] = [open('first', 0), open('second', 0)];
    fill(first, 200, 0);
    fill(second, 50, 0);
    fill(open('waiting', 10), 8, 10);
    expect(events).to.deep.equal(['suspended waiting']);
    const isEvicted = (): boolean => events.some((event) => event.startsWith('evicted'));
    for (let now = 20; !isEvicted(); now += 10) {
      fill(second, 50 + now / 2, now);
      if (!isEvicted()) fill(first, 200 + 2 * now, now + 5);
    }
    expect(events).to.not.include('evicted waiting');
  });
});
