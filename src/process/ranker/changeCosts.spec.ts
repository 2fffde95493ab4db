import { expect } from 'chai';
import { ChangeOverhead, computeCopyMs } from './changeCosts.js';

describe('costs of a map change', () => {
  // Guards against plans for copies of another size or speed than those of the deployment.
  it('guards against a copy time in the wrong unit', () => {
    const fast = { expertMegabytes: 420, transferMegabitsPerSecond: 92_000 };
    const slow = { expertMegabytes: 1_700, transferMegabitsPerSecond: 92_000 };
    expect(computeCopyMs(fast)).to.be.closeTo(36.5, 0.1);
    expect(computeCopyMs(slow)).to.be.closeTo(147.8, 0.1);
  });

  // Guards against plans that assume fast changes while orders are slow.
  it('guards against an overhead that does not follow slow changes', () => {
    const overhead = new ChangeOverhead();
    for (let change = 0; change < 10; change += 1) overhead.recordChange(700, 100);
    expect(overhead.averageMs).to.be.closeTo(600, 20);
  });

  // Guards against a negative overhead when copies take less time than computed.
  it('guards against an overhead below zero', () => {
    const overhead = new ChangeOverhead();
    for (let change = 0; change < 10; change += 1) overhead.recordChange(50, 100);
    expect(overhead.averageMs).to.be.within(0, 100);
  });
});
