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
    health.noteStart(a, 0)(0);
    expect(health.isUsable(a, 10_000)).to.equal(true);
    health.noteStart(a, 10_000);
    expect(health.isUsable(a, 10_100)).to.equal(true);
  });

  it('guards against a rush to a group that has not yet formed anew', () => {
    const health = create();
    health.noteBroken(a, 0);
    expect(health.isUsable(a, 400)).to.equal(true);
    health.noteStart(a, 400);
    expect(health.isUsable(b, 401)).to.equal(false);
    health.noteProgress(a, 460);
    expect(health.isUsable(b, 461)).to.equal(true);
  });

  it('guards against a trial that ends without a word and blocks the group', () => {
    const health = create();
    health.noteBroken(a, 0);
    health.noteStart(a, 400)(410);
    expect(health.isUsable(b, 401)).to.equal(true);
  });

  it('guards against an unknown start of an outage', () => {
    const health = create();
    expect(health.findOutageStart(a, 0)).to.equal(undefined);
    health.noteBroken(a, 100);
    health.noteBroken(a, 550);
    expect(health.findOutageStart(b, 600)).to.equal(100);
    health.noteProgress(b, 700);
    expect(health.findOutageStart(a, 701)).to.equal(undefined);
    health.noteStart(a, 1000);
    expect(health.findOutageStart(a, 1500)).to.equal(1360);
  });

  it('guards against an idle group that looks stalled because its name was learned while it worked', () => {
    const health = new GroupHealth();
    const end = health.noteStart(a, 0);
    health.setGroup(a, 'g0');
    end(10);
    expect(health.isUsable(a, 10_000)).to.equal(true);
  });

  it('guards against one trial for each rank while a starting gateway does not know the groups', () => {
    const health = new GroupHealth();
    for (const id of [a, b, other]) health.setGroup(id, 'unknown groups of assistant');
    health.noteBroken(a, 0);
    expect(health.isUsable(b, 10)).to.equal(false);
    expect(health.isUsable(other, 10)).to.equal(false);
    health.setGroup(other, 'g1');
    expect(health.isUsable(other, 20)).to.equal(true);
  });

  it('guards against a broken group that stays without work after it has formed anew', () => {
    const health = create();
    for (const now of [0, 400, 1200]) health.noteBroken(a, now);
    expect(health.isUsable(b, 1300)).to.equal(false);
    expect(health.listBroken(1300)).to.deep.equal([{ group: 'g0', ranks: [a, b] }]);
    expect(health.noteOpen('g0', 1300, 1310)).to.equal(true);
    expect(health.isUsable(b, 1310)).to.equal(true);
    expect(health.listBroken(1320)).to.deep.equal([]);
  });

  it('guards against a report from before the last fault that opens a broken group', () => {
    const health = create();
    health.noteBroken(a, 0);
    health.noteBroken(a, 500);
    expect(health.noteOpen('g0', 490, 510)).to.equal(false);
    expect(health.isUsable(a, 520)).to.equal(false);
    expect(health.listBroken(400)).to.deep.equal([]);
  });

  it('guards against a second wave of work for a silent group whose callers have all left', () => {
    const health = create();
    const end = health.noteStart(a, 0);
    health.noteProgress(a, 100);
    end(2_100);
    expect(health.isUsable(b, 2_110)).to.equal(false);
    expect(health.listBroken(9_000), 'its ranks report it open').to.deep.equal([]);
    expect(health.findOutageStart(b, 2_110)).to.equal(460);
    expect(health.isUsable(b, 2_500)).to.equal(true);
    health.noteStart(b, 2_500);
    expect(health.isUsable(a, 2_510)).to.equal(false);
    health.noteProgress(b, 2_600);
    expect(health.isUsable(a, 2_610)).to.equal(true);
  });

  it('guards against a plain upstream that looks silent because it works for long', () => {
    const health = new GroupHealth();
    health.noteStart(a, 0)(2_000);
    expect(health.isUsable(a, 2_001)).to.equal(true);
  });
});
