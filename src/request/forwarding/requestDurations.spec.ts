import { expect } from 'chai';
import type { ServiceId } from '../../ids.js';
import { toId } from '../../ids.js';
import { RequestDurations } from './requestDurations.js';

const service = toId<ServiceId>('assistant');

describe('requestDurations', () => {
  it('guards against an estimate without a completed request', () => {
    expect(new RequestDurations().estimate(service)).to.equal(undefined);
  });

  // A few slow requests must not make all others look slow.
  it('guards against an estimate by the slowest request', () => {
    const durations = new RequestDurations();
    for (let count = 1; count <= 40; count += 1) durations.record(service, count);
    expect(durations.estimate(service)).to.equal(38);
  });

  // Durations follow the load, so that old ones say nothing.
  it('guards against an estimate by requests of long ago', () => {
    const durations = new RequestDurations();
    durations.record(service, 9_000);
    for (let count = 0; count < 64; count += 1) durations.record(service, 100);
    expect(durations.estimate(service)).to.equal(100);
  });
});
