import { expect } from 'chai';
import { RequestDurations } from './requestDurations.js';

describe('requestDurations', () => {
  it('guards against an estimate without a completed request', () => {
    expect(new RequestDurations().estimate('chat')).to.equal(undefined);
  });

  // A few slow requests must not make all others look slow.
  it('guards against an estimate by the slowest request', () => {
    const durations = new RequestDurations();
    for (let count = 1; count <= 40; count += 1) durations.record('chat', count);
    const expected = { expectedMs: 38, longestMs: 40, samples: 40 };
    expect(durations.estimate('chat')).to.deep.equal(expected);
  });

  // Quick lookups say nothing about the payments of the same service.
  it('guards against an estimate by requests of another route', () => {
    const durations = new RequestDurations();
    durations.record('lookup', 20);
    expect(durations.estimate('pay')).to.equal(undefined);
  });

  // Durations follow the load, so that old ones say nothing.
  it('guards against an estimate by requests of long ago', () => {
    const durations = new RequestDurations();
    durations.record('chat', 9_000);
    for (let count = 0; count < 64; count += 1) durations.record('chat', 100);
    expect(durations.estimate('chat')).to.include({ longestMs: 100 });
  });

  it('guards against memory for routes that no longer exist', () => {
    const durations = new RequestDurations();
    for (let count = 0; count < 300; count += 1) durations.record(`route-${count}`, 1);
    expect(durations.estimate('route-0')).to.equal(undefined);
    expect(durations.estimate('route-299')).to.not.equal(undefined);
  });
});
