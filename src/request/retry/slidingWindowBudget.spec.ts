import { expect } from 'chai';
import { SlidingWindowBudget } from './slidingWindowBudget.js';

const WINDOW_MS = 10_000;
const RATIO = 0.2;
const EXTRA = 90;

describe('sliding window budget', () => {
  it('guards against more repeats than the service allows in any window while half of all sends fail', () => {
    const gateways = Array.from(
      { length: 4 },
      () => new SlidingWindowBudget(WINDOW_MS, RATIO, EXTRA / 8),
    );
    const firstSends: number[] = [];
    const repeats: number[] = [];
    for (let now = 0; now < 60_000; now += 20) {
      const gateway = gateways[(now / 20) % 4]!;
      gateway.recordFirstSend(now);
      firstSends.push(now);
      if (gateway.tryTakeRepeat(now)) repeats.push(now);
    }
    for (let start = 0; start < 50_000; start += 250) {
      const count = (times: number[]): number =>
        times.filter((at) => at >= start && at < start + WINDOW_MS).length;
      expect(count(repeats)).to.be.at.most(RATIO * count(firstSends) + EXTRA);
    }
    expect(repeats.length).to.be.greaterThan(200);
  });

  it('guards against a gateway that may never repeat while its traffic is low', () => {
    const budget = new SlidingWindowBudget(WINDOW_MS, RATIO, EXTRA / 8);
    budget.recordFirstSend(0);
    expect(budget.tryTakeRepeat(1)).to.equal(true);
  });

  // Guards against more repeats than allowed, because requests from before an idle time still count.
  it('guards against a budget that still counts expired sends after idle time', () => {
    const budget = new SlidingWindowBudget(WINDOW_MS, RATIO, 0);
    for (let count = 0; count < 100; count += 1) budget.recordFirstSend(0);
    expect(budget.tryTakeRepeat(1)).to.equal(true);
    expect(budget.tryTakeRepeat(3 * WINDOW_MS)).to.equal(false);
  });
});
