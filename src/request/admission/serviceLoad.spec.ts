import { expect } from 'chai';
import type { ServiceId } from '../../ids.js';
import { toId } from '../../ids.js';
import { ServiceLoad } from './serviceLoad.js';
import type { ReservationRequest } from './types.js';

const request: ReservationRequest = {
  service: toId<ServiceId>('s'),
  excluded: new Set(),
  priority: 1,
  arrivedAt: 0,
  expiresAt: 1_200,
  maxWaitMs: 180,
};

describe('load of a service after a restart of all gateways', () => {
  // One release in the first 0.3 s counted as one in 2 s, and callers were refused for that long.
  it('guards against waits that rest on the few releases that a fresh gateway has seen', () => {
    const load = new ServiceLoad();
    for (let index = 0; index < 20; index += 1) load.recordAdmission(request, 'first', 1_000);
    for (const at of [1_200, 1_250, 1_300]) load.recordRelease(at);
    expect(load.getReleaseInterval(1_300)).to.equal(100);
    for (let at = 1_350; at <= 4_000; at += 50) load.recordRelease(at);
    expect(load.getReleaseInterval(4_000)).to.equal(50);
  });
});
