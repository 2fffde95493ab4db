import { expect } from 'chai';
import seedrandom from 'seedrandom';
import { createRequest } from '../../../test/support/roomLoad.js';
import type { RefusalReason } from './refusalFactory.js';
import { RefusalFactory } from './refusalFactory.js';

const kind = { priority: 1, isStream: false, perSecond: () => 0 };
const reason: RefusalReason = {
  cause: 'queue',
  wait: { ms: 10_000, cause: 'queue' },
  returnMs: 10_000,
  intervalMs: 10,
  waitedMs: 0,
  isExpired: false,
};

describe('times at which refused callers return', () => {
  it('guards against a return before room is expected, for a caller with much time', () => {
    const factory = new RefusalFactory(() => 0, seedrandom('1'));
    const request = createRequest({ ...kind, deadlineMs: 60_000 }, 0);
    for (let count = 0; count < 100; count += 1) {
      const { retryAfterMs } = factory.createOverloaded(request, reason, 0);
      expect(retryAfterMs).to.be.within(10_000, 11_010);
    }
  });

  it('guards against a return after room is expected, for a caller who waits a moment only', () => {
    const factory = new RefusalFactory(() => 0, seedrandom('1'));
    const request = createRequest({ ...kind, deadlineMs: 8_000 }, 0);
    const short: RefusalReason = { ...reason, wait: { ms: 5, cause: 'queue' }, returnMs: 5 };
    expect(factory.createOverloaded(request, short, 0).retryAfterMs).to.be.within(5, 10);
  });

  it('guards against callers who use up their returns before an upstream can be back', () => {
    const factory = new RefusalFactory(() => 0, seedrandom('1'));
    const request = createRequest({ ...kind, deadlineMs: 6_000 }, 0);
    for (let count = 0; count < 100; count += 1) {
      expect(factory.createNoUpstream(request, 0).retryAfterMs).to.be.within(1_000, 2_000);
    }
  });

  it('guards against callers of a queue that stays who return one after the other', () => {
    const factory = new RefusalFactory(() => 0, seedrandom('1'));
    const request = createRequest({ ...kind, deadlineMs: 60_000 }, 0);
    const standing: RefusalReason = {
      ...reason,
      cause: 'standing_queue',
      wait: { ms: 100, cause: 'queue' },
      returnMs: 4_000,
    };
    const returns = Array.from(
      { length: 200 },
      () => factory.createOverloaded(request, standing, 0).retryAfterMs,
    );
    expect(Math.min(...returns)).to.be.within(100, 600);
    expect(Math.max(...returns)).to.be.within(3_500, 4_000);
  });
});
