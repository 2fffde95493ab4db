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

  // Guards against a plan without numbers, which would never be rejected, when the rate is missing.
  it('guards against an infinite copy time where no rate is configured', () => {
    expect(computeCopyMs({ expertMegabytes: 420, transferMegabitsPerSecond: 0 })).to.equal(0);
  });

  // Guards against plans that assume fast changes while orders are slow.
  it('guards against an overhead that does not follow slow changes', () => {
    const overhead = new ChangeOverhead();
    for (let change = 0; change < 10; change += 1)
      overhead.recordChange({ tookMs: 700, copyMs: 100, waitedMs: 0 });
    expect(overhead.averageMs).to.be.closeTo(600, 20);
  });

  // Guards against a negative overhead when copies take less time than computed.
  it('guards against an overhead below zero', () => {
    const overhead = new ChangeOverhead();
    for (let change = 0; change < 10; change += 1)
      overhead.recordChange({ tookMs: 50, copyMs: 100, waitedMs: 0 });
    expect(overhead.averageMs).to.be.within(0, 100);
  });

  // Guards against changes that are made although the group stands still for longer than they save.
  it('guards against a stop that is not taken from the measured waits', () => {
    const overhead = new ChangeOverhead();
    for (let change = 0; change < 10; change += 1)
      overhead.recordChange({ tookMs: 700, copyMs: 100, waitedMs: 300 });
    expect(overhead.averageStopMs).to.be.closeTo(300, 10);
    for (let change = 0; change < 20; change += 1)
      overhead.recordChange({ tookMs: 200, copyMs: 100, waitedMs: -40 });
    expect(overhead.averageStopMs).to.be.within(0, 1);
  });
});
