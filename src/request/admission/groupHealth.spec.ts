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
  it('guards against work for the other ranks of a group that does not go on', () => {
    const health = create();
    health.noteStart(a, 0);
    health.noteProgress(a, 100);
    expect(health.isUsable(b, 300)).to.equal(true);
    expect(health.isUsable(b, 500)).to.equal(false);
    expect(health.isUsable(other, 500)).to.equal(true);
    health.noteProgress(a, 510);
    expect(health.isUsable(b, 520)).to.equal(true);
  });

  it('guards against one trial for each rank of a group that refuses', () => {
    const health = create();
    for (let count = 0; count < 8; count += 1) health.noteBroken(a, 0);
    expect(health.isUsable(b, 399)).to.equal(false);
    expect(health.isUsable(b, 400)).to.equal(true);
    health.noteBroken(b, 410);
    expect(health.isUsable(a, 1100)).to.equal(false);
    expect(health.isUsable(a, 1210)).to.equal(true);
  });

  it('guards against an idle group that looks stalled', () => {
    const health = create();
    health.noteStart(a, 0);
    health.noteEnd(a);
    expect(health.isUsable(a, 10_000)).to.equal(true);
    health.noteStart(a, 10_000);
    expect(health.isUsable(a, 10_100)).to.equal(true);
  });
});
