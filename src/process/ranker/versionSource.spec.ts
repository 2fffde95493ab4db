import { expect } from 'chai';
import type { RankReport } from './types.js';
import { VersionSource } from './versionSource.js';

/** An earlier coordinator leaves out this many versions after each that was refused. */
const SKIP_AFTER_REFUSAL = 64;

describe('versions of expert maps', () => {
  // Guards against two maps under one version: changes may come faster than the tick of the clock that versions start at.
  it('guards against the version of a late order of an earlier coordinator', () => {
    const wallNow = 1_000_000;
    const earlier = new VersionSource(wallNow);
    const reported = { report: { map: 0, prepared: undefined } as RankReport };
    let inFlight = 0;
    for (let change = 0; change < 20; change += 1) {
      reported.report = { ...reported.report, prepared: inFlight };
      inFlight = earlier.issue([reported]);
    }
    earlier.advance(SKIP_AFTER_REFUSAL);
    inFlight = earlier.issue([reported]);
    const later = new VersionSource(wallNow + 1_000);
    expect(later.issue([reported])).to.be.greaterThan(inFlight);
    expect(later.issue([reported])).to.be.greaterThan(inFlight);
  });
});
