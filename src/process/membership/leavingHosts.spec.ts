import { expect } from 'chai';
import { LeavingHosts } from './leavingHosts.js';

describe('LeavingHosts', () => {
  const list = (state: 'live' | 'leaving') => [
    { host: '10.0.0.7', availabilityZone: 'apapa', state },
  ];

  it('guards against new work for a host that the live list reports as leaving', () => {
    const hosts = new LeavingHosts();
    hosts.applyLiveList(list('live'), 0);
    expect(hosts.isLeaving('10.0.0.7', 0)).to.equal(false);
    hosts.applyLiveList(list('leaving'), 1_000);
    expect(hosts.isLeaving('10.0.0.7', 1_000)).to.equal(true);
    hosts.applyLiveList(list('live'), 2_000);
    expect(hosts.isLeaving('10.0.0.7', 2_000)).to.equal(false);
  });

  it('guards against the permanent exclusion of a host by a stale live list', () => {
    const hosts = new LeavingHosts();
    hosts.applyLiveList(list('leaving'), 0);
    hosts.applyLiveList(list('leaving'), 500_000);
    expect(hosts.isLeaving('10.0.0.7', 599_999)).to.equal(true);
    expect(hosts.isLeaving('10.0.0.7', 600_000)).to.equal(false);
  });
});
