import { expect } from 'chai';
import { RequestThroughput } from './requestThroughput.js';
import { QueueThroughput } from './queueThroughput.js';

describe('throughput estimates', () => {
  it('guards against refusing work without a recent measurement', () => {
    const throughput = new RequestThroughput();
    expect(throughput.estimateMs('a', 100, 0)).to.equal(0);
    throughput.record('a', 100, 1_000, 0);
    expect(throughput.estimateMs('a', 100, 1)).to.equal(800);
    expect(throughput.estimateMs('b', 100, 1)).to.equal(0);
    expect(throughput.estimateMs('a', 100, 10_000)).to.equal(0);
  });

  it('guards against measuring throughput while the queue is empty or before work completes', () => {
    const rate = new QueueThroughput(() => 0);
    rate.update(false, 10_000);
    rate.add(500);
    rate.update(false, 11_000);
    expect(rate.estimateMs(100)).to.equal(0);
    rate.update(true, 12_000);
    rate.update(true, 13_500);
    rate.add(1_000);
    rate.update(true, 14_000);
    expect(rate.perSecond).to.equal(500);
  });
});
