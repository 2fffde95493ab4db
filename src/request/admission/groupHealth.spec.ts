import { expect } from 'chai';
import type { UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import { GroupHealth } from './groupHealth.js';

const [a, b, other] = ['a', 'b', 'other'].map((id) => toId<UpstreamId>(id)) as [
  UpstreamId,
  UpstreamId,
  UpstreamId,
];
const create = (): GroupHealth => {
  const health = new GroupHealth();
  health.setGroup(a, 'g0');
  health.setGroup(b, 'g0');
  health.setGroup(other, 'g1');
  return health;
};

describe('group health when one rank is lost', () => {
  it('guards against new work for the other ranks of a stalled group', () => {
    const health = create();
    health.recordStart(a, 0);
    health.recordProgress(a, 100);
    expect(health.isAvailable(b, 300)).to.equal(true);
    expect(health.isAvailable(b, 500)).to.equal(false);
    expect(health.isAvailable(other, 500)).to.equal(true);
    health.recordProgress(a, 510);
    expect(health.isAvailable(b, 520)).to.equal(true);
  });

  it('guards against one probe for each rank of a group that refuses work', () => {
    const health = create();
    for (let count = 0; count < 8; count += 1) health.recordFailure(a, 0);
    expect(health.isAvailable(b, 399)).to.equal(false);
    expect(health.isAvailable(b, 400)).to.equal(true);
    health.recordFailure(b, 410);
    expect(health.isAvailable(a, 1100)).to.equal(false);
    expect(health.isAvailable(a, 1210)).to.equal(true);
  });

  it('guards against an idle group that looks stalled', () => {
    const health = create();
    health.recordStart(a, 0)(0);
    expect(health.isAvailable(a, 10_000)).to.equal(true);
    health.recordStart(a, 10_000);
    expect(health.isAvailable(a, 10_100)).to.equal(true);
  });

  it('guards against more than one probe of a group that has not yet re-formed', () => {
    const health = create();
    health.recordFailure(a, 0);
    expect(health.isAvailable(a, 400)).to.equal(true);
    health.recordStart(a, 400);
    expect(health.isAvailable(b, 401)).to.equal(false);
    health.recordProgress(a, 460);
    expect(health.isAvailable(b, 461)).to.equal(true);
  });

  it('guards against a probe that ends without a result and blocks the group', () => {
    const health = create();
    health.recordFailure(a, 0);
    health.recordStart(a, 400)(410);
    expect(health.isAvailable(b, 401)).to.equal(true);
  });

  it('guards against an unknown start of an outage', () => {
    const health = create();
    expect(health.findOutageStart(a, 0)).to.equal(undefined);
    health.recordFailure(a, 100);
    health.recordFailure(a, 550);
    expect(health.findOutageStart(b, 600)).to.equal(100);
    health.recordProgress(b, 700);
    expect(health.findOutageStart(a, 701)).to.equal(undefined);
    health.recordStart(a, 1000);
    expect(health.findOutageStart(a, 1500)).to.equal(1360);
  });

  it('guards against an idle group that looks stalled because its name became known during a request', () => {
    const health = new GroupHealth();
    const end = health.recordStart(a, 0);
    health.setGroup(a, 'g0');
    end(10);
    expect(health.isAvailable(a, 10_000)).to.equal(true);
  });

  it('guards against one probe for each rank while a starting gateway does not know the groups', () => {
    const health = new GroupHealth();
    for (const id of [a, b, other]) health.setGroup(id, 'unknown groups of assistant');
    health.recordFailure(a, 0);
    expect(health.isAvailable(b, 10)).to.equal(false);
    expect(health.isAvailable(other, 10)).to.equal(false);
    health.setGroup(other, 'g1');
    expect(health.isAvailable(other, 20)).to.equal(true);
  });

  it('guards against a failed group that receives no work after it has re-formed', () => {
    const health = create();
    for (const now of [0, 400, 1200]) health.recordFailure(a, now);
    expect(health.isAvailable(b, 1300)).to.equal(false);
    expect(health.listFailed(1300)).to.deep.equal([{ group: 'g0', ranks: [a, b] }]);
    expect(health.recordRecovery('g0', 1300, 1310)).to.equal(true);
    expect(health.isAvailable(b, 1310)).to.equal(true);
    expect(health.listFailed(1320)).to.deep.equal([]);
  });

  it('guards against a report from before the last fault that makes a failed group available', () => {
    const health = create();
    health.recordFailure(a, 0);
    health.recordFailure(a, 500);
    expect(health.recordRecovery('g0', 490, 510)).to.equal(false);
    expect(health.isAvailable(a, 520)).to.equal(false);
    expect(health.listFailed(400)).to.deep.equal([]);
  });

  it('guards against new work for a stalled group whose callers have all disconnected', () => {
    const health = create();
    const end = health.recordStart(a, 0);
    health.recordProgress(a, 100);
    end(2_100);
    expect(health.isAvailable(b, 2_110)).to.equal(false);
    expect(health.listFailed(9_000), 'ranks of a stalled group report it open').to.deep.equal([]);
    expect(health.findOutageStart(b, 2_110)).to.equal(460);
    expect(health.isAvailable(b, 2_500)).to.equal(true);
    health.recordStart(b, 2_500);
    expect(health.isAvailable(a, 2_510)).to.equal(false);
    health.recordProgress(b, 2_600);
    expect(health.isAvailable(a, 2_610)).to.equal(true);
  });

  it('guards against a plain upstream that looks stalled because a request takes long', () => {
    const health = new GroupHealth();
    health.recordStart(a, 0)(2_000);
    expect(health.isAvailable(a, 2_001)).to.equal(true);
  });
});
