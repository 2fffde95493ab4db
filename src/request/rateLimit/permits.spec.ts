import { expect } from '../../../test/support/snapshot.js';
import type { UpstreamIncarnation } from '../../ids.js';
import { toId } from '../../ids.js';
import { IssuerChoice } from './issuerChoice.js';
import { PermitIssuer } from './permitIssuer.js';
import { PermitPool } from './permitPool.js';

const upstream = toId<UpstreamIncarnation>('i-1@1');
const wanted = new Map([[upstream, { isWanted: true, unused: 0 }]]);
const TICK_MS = 25;

/** Runs an issuer for `durationMs` and counts the permits of each gateway. */
const countPermits = (
  options: { limit: number; gateways: number; delegators: readonly string[] },
  durationMs: number,
): Record<string, number> => {
  const issuer = new PermitIssuer({
    findLimit: () => options.limit,
    countGateways: () => options.gateways,
  });
  const counts: Record<string, number> = {};
  for (const gateway of options.delegators) issuer.setDemand(gateway, wanted, 0);
  for (let now = 0; now <= durationMs; now += TICK_MS) {
    for (const { gateway, count } of issuer.assignPermits(now)) {
      counts[gateway] = (counts[gateway] ?? 0) + count;
    }
  }
  return counts;
};

describe('issuer of permits', () => {
  it('guards against issuers that together exceed the limit when links are cut', () => {
    const parts = {
      all: countPermits({ limit: 10, gateways: 4, delegators: ['a', 'b', 'c', 'd'] }, 8_000),
      oneDown: countPermits({ limit: 10, gateways: 4, delegators: ['a', 'b', 'c'] }, 8_000),
      half: countPermits({ limit: 10, gateways: 4, delegators: ['a', 'b'] }, 8_000),
      alone: countPermits({ limit: 10, gateways: 4, delegators: ['a'] }, 8_000),
      aloneOfMany: countPermits({ limit: 10, gateways: 16, delegators: ['a'] }, 8_000),
    };
    expect(parts).toMatchSnapshot();
  });

  it('guards against a burst after a pause of the issuer or a time without demand', () => {
    const issuer = new PermitIssuer({ findLimit: () => 20, countGateways: () => 1 });
    issuer.setDemand('a', new Map([[upstream, { isWanted: false, unused: 0 }]]), 0);
    expect(issuer.assignPermits(60_000)).to.deep.equal([]);
    issuer.setDemand('a', wanted, 60_000);
    expect(issuer.assignPermits(60_000)[0]?.count).to.equal(3);
    issuer.setDemand('a', new Map([[upstream, { isWanted: true, unused: 50 }]]), 60_010);
    expect(issuer.assignPermits(60_010)[0]?.count).to.equal(3);
  });
});

describe('pool of permits', () => {
  it('guards against permits that are used late or are lost when unused', () => {
    const pool = new PermitPool();
    pool.add(upstream, { issuer: 'a', count: 2, perSecond: 5 }, 0);
    pool.take(upstream, 100);
    expect(pool.has(upstream, 399)).to.equal(true);
    expect(pool.has(upstream, 400)).to.equal(false);
    expect(pool.takeUnused(upstream, 'b', 400)).to.equal(0);
    expect(pool.takeUnused(upstream, 'a', 400)).to.equal(1);
    expect(pool.takeUnused(upstream, 'a', 400)).to.equal(0);
  });

  it('guards against returning permits to an issuer that has restarted', () => {
    const pool = new PermitPool();
    pool.add(upstream, { issuer: 'a', count: 1, perSecond: 5 }, 0);
    pool.removeIssuer('a');
    expect(pool.has(upstream, 100)).to.equal(true);
    expect(pool.takeUnused(upstream, 'a', 500)).to.equal(0);
  });

  it('guards against a wrong expected time of the next permit', () => {
    const pool = new PermitPool();
    const estimate = (position: number, now: number): number =>
      pool.estimateDelay(new Map([[upstream, 0.5]]), position, now);
    const delays: Record<string, number> = { beforeDemand: estimate(1, 0) };
    pool.demand(upstream, 0);
    delays.untilTheIssuerReplies = estimate(1, 50);
    pool.add(upstream, { issuer: 'a', count: 0, perSecond: 2 }, 60);
    delays.nextPermit = estimate(1, 160);
    delays.thirdInLine = estimate(3, 160);
    delays.overdue = estimate(1, 600);
    delays.issuerSilent = estimate(1, 900);
    pool.add(upstream, { issuer: 'a', count: 1, perSecond: 2 }, 1_000);
    delays.held = estimate(1, 1_010);
    delays.secondWhileOneIsHeld = estimate(2, 1_010);
    expect(delays).toMatchSnapshot();
  });
});

describe('choice of the issuer', () => {
  it('guards against two issuers for the part of one gateway', () => {
    const choice = new IssuerChoice('a');
    const history: (string | undefined)[][] = [];
    const advance = (linked: readonly string[], now: number): void => {
      choice.resetPreferences();
      choice.update([upstream], linked, now);
      history.push([String(now), choice.getIssuer(upstream)]);
    };
    advance([], 0);
    advance(['b', 'c', 'd'], 10);
    const [, preferred] = history.at(-1) ?? [];
    expect(preferred).to.equal(undefined);
    advance(['b', 'c', 'd'], 509);
    advance(['b', 'c', 'd'], 510);
    const chosen = choice.getIssuer(upstream) ?? '';
    const others = ['b', 'c', 'd'].filter((id) => id !== chosen);
    choice.leaveIssuer(chosen, 'unresponsive', 1_000);
    advance(others, 2_999);
    advance(others, 3_000);
    choice.leaveIssuer(choice.getIssuer(upstream) ?? '', 'closed', 4_000);
    advance([], 4_099);
    advance([], 4_100);
    expect(history).toMatchSnapshot();
  });

  it('guards against gateways that choose different issuers although all are linked', () => {
    const gateways = Array.from({ length: 16 }, (_, index) => `gateway-${index}`);
    const issuers = new Set<string | undefined>();
    for (const self of gateways) {
      const choice = new IssuerChoice(self);
      const linked = gateways.filter((id) => id !== self);
      choice.update([upstream], linked, 0);
      issuers.add(choice.getIssuer(upstream));
    }
    expect(issuers.size).to.equal(1);
  });
});
