import { expect } from 'chai';
import { RequestDurations } from './requestDurations.js';

describe('requestDurations', () => {
  it('guards against an estimate without a completed request', () => {
    expect(new RequestDurations().estimate('chat', 0)).to.equal(undefined);
  });

  // A few slow requests must not make all others look slow.
  it('guards against an estimate by the slowest request', () => {
    const durations = new RequestDurations();
    for (let count = 1; count <= 40; count += 1) durations.record('chat', count);
    const expected = { expectedMs: 38, longestMs: 40, samples: 40 };
    expect(durations.estimate('chat', 0)).to.deep.equal(expected);
  });

  // Quick lookups say nothing about the payments of the same service.
  it('guards against an estimate by requests of another route', () => {
    const durations = new RequestDurations();
    durations.record('lookup', 20);
    expect(durations.estimate('pay', 0)).to.equal(undefined);
  });

  // Short requests are completed first, so those of a process that has just started look shorter than they are.
  it('guards against an estimate that ignores the requests in progress', () => {
    const durations = new RequestDurations();
    durations.record('chat', 100);
    const remove = durations.begin('chat', 1_000);
    durations.begin('pay', 0);
    expect(durations.estimate('chat', 5_000)).to.include({ longestMs: 4_000, expectedMs: 100 });
    remove();
    expect(durations.estimate('chat', 5_000)).to.include({ longestMs: 100 });
  });

  // Durations follow the load, so that old ones say nothing.
  it('guards against an estimate by requests of long ago', () => {
    const durations = new RequestDurations();
    durations.record('chat', 9_000);
    for (let count = 0; count < 64; count += 1) durations.record('chat', 100);
    expect(durations.estimate('chat', 0)).to.include({ longestMs: 100 });
  });

  it('guards against memory for routes that no longer exist', () => {
    const durations = new RequestDurations();
    for (let count = 0; count < 300; count += 1) durations.record(`route-${count}`, 1);
    expect(durations.estimate('route-0', 0)).to.equal(undefined);
    expect(durations.estimate('route-299', 0)).to.not.equal(undefined);
  });
});
