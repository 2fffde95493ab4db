import { expect } from 'chai';
import type { RoutingConfiguration } from '../../version/routing/types.js';
import { ConfigurationCache } from './configurationCache.js';
import { SuspendClock } from './suspendClock.js';

const create = (version: number): RoutingConfiguration => ({
  version,
  routes: [],
  services: new Map(),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

describe('configuration cache', () => {
  it('guards against an older version that replaces or validates the cached one', () => {
    const cache = new ConfigurationCache(1000);
    expect(cache.applyRead(create(4), 0)).to.equal(true);
    expect(cache.applyRead(create(3), 900)).to.equal(false);
    expect(cache.version).to.equal(4);
    expect(cache.isFresh(1100)).to.equal(false);
  });

  it('guards against an age that counts from the end of a read', () => {
    const cache = new ConfigurationCache(1000);
    cache.applyRead(create(4), 100);
    cache.revalidate(4, 500);
    cache.revalidate(3, 5000);
    expect(cache.isFresh(1499)).to.equal(true);
    expect(cache.isFresh(1500)).to.equal(false);
  });

  it('guards against keys accepted after a suspend that the monotonic clock does not show', () => {
    const cache = new ConfigurationCache(1000);
    const clock = new SuspendClock(0, 50_000);
    cache.applyRead(create(4), clock.readNow(10, 50_010));
    expect(cache.isFresh(clock.readNow(20, 50_020))).to.equal(true);
    expect(cache.isFresh(clock.readNow(30, 54_030))).to.equal(false);
  });

  it('guards against an age that shrinks when the wall clock steps back', () => {
    const clock = new SuspendClock(0, 50_000);
    expect(clock.readNow(100, 48_100)).to.equal(100);
    expect(clock.readNow(200, 50_200)).to.be.closeTo(2200, 1);
  });
});
