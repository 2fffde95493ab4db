import { expect } from 'chai';
import { ErrorGuard } from './errorGuard.js';

describe('error guard', () => {
  it('guards against a process that ends because of single errors', () => {
    const guard = new ErrorGuard();
    for (let second = 0; second < 100; second += 1) {
      expect(guard.recordError(second * 1_000)).to.equal(true);
    }
  });

  it('guards against a damaged process that runs on', () => {
    const guard = new ErrorGuard();
    const decisions = Array.from({ length: 21 }, (_, index) => guard.recordError(index));
    expect(decisions.indexOf(false)).to.equal(20);
  });
});
