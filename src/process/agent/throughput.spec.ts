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
    const throughput = new QueueThroughput(() => 0);
    throughput.update(false, 10_000);
    throughput.add(500);
    throughput.update(false, 11_000);
    expect(throughput.estimateMs(100)).to.equal(0);
    throughput.update(true, 12_000);
    throughput.update(true, 13_500);
    throughput.add(1_000);
    throughput.update(true, 14_000);
    expect(throughput.perSecond).to.equal(500);
  });
});
