import { expect } from 'chai';
import { computeSkew } from './computeSkew.js';

describe('skew of the demand under a map', () => {
  // Operators judge a change by this figure; it must agree with the one that the plan minimizes.
  it('guards against a skew that ignores replicas or layers', () => {
    const load = [
      [6, 2, 2, 2],
      [3, 3, 3, 3],
    ];
    const single = [
      [
        [0, 1],
        [2, 3],
      ],
      [
        [0, 1],
        [2, 3],
      ],
    ];
    const replicated = [
      [
        [0, 1],
        [0, 2, 3],
      ],
      [
        [0, 1],
        [2, 3],
      ],
    ];
    expect(computeSkew(load, single)).to.be.closeTo((8 + 6) / 12, 1e-9);
    expect(computeSkew(load, replicated)).to.be.closeTo((7 + 6) / 12, 1e-9);
    // A rank that needs three times as long counts three times.
    expect(computeSkew(load, single, [1, 3])).to.be.closeTo((12 + 18) / 12, 1e-9);
    expect(computeSkew([[0, 0]], [[[0], [1]]])).to.equal(1);
  });
});
