import { expect } from 'chai';
import { defaults } from '../../defaults.js';
import { SuspectTable } from './suspectTable.js';

describe('suspects', () => {
  it('guards against refusing a request after a single crash', () => {
    const suspects = new SuspectTable();
    suspects.recordCrash(['a', 'b', 'a'], false, 1_000);
    expect(suspects.decide('a', 1_001)).to.equal('exclusive');
    expect(suspects.decide('c', 1_001)).to.equal('run');
    expect(suspects.list(1_500)).to.deep.equal([
      { fingerprint: 'a', crashes: 1, ageMs: 500 },
      { fingerprint: 'b', crashes: 1, ageMs: 500 },
    ]);
  });

  it('guards against running a request after it crashed the upstream exclusively', () => {
    const suspects = new SuspectTable();
    suspects.recordCrash(['a', 'b'], false, 1_000);
    suspects.recordCrash(['a'], true, 2_000);
    expect(suspects.decide('a', 2_001)).to.equal('refuse');
    expect(suspects.decide('b', 2_001)).to.equal('exclusive');
  });

  it('guards against refusing a request for crashes that other requests may have caused', () => {
    const suspects = new SuspectTable();
    suspects.recordCrash(['a', 'b'], false, 1_000);
    suspects.recordCrash(['a', 'c'], false, 2_000);
    expect(suspects.decide('a', 2_001)).to.equal('exclusive');
    expect(suspects.list(2_001).map(({ crashes }) => crashes)).to.deep.equal([1, 1, 1]);
    suspects.recordCrash(['a'], false, 3_000);
    suspects.recordCrash(['a'], false, 4_000);
    expect(suspects.decide('a', 4_001)).to.equal('refuse');
  });

  it('guards against suspecting a request that has completed', () => {
    const suspects = new SuspectTable();
    suspects.recordCrash(['a', 'b'], false, 1_000);
    suspects.clear('b');
    expect(suspects.decide('b', 1_001)).to.equal('run');
  });

  it('guards against suspects that never expire', () => {
    const suspects = new SuspectTable();
    suspects.recordCrash(['a'], true, 1_000);
    expect(suspects.decide('a', 1_000 + defaults.suspectTtlMs)).to.equal('run');
    expect(suspects.list(1_000 + defaults.suspectTtlMs)).to.deep.equal([]);
  });
});
