import { expect } from 'chai';
import type { UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { Message } from '../../protocol/messages.js';
import type { UpstreamEntry } from '../../version/routing/types.js';
import { RateLimiter } from './rateLimiter.js';
import { RateLimitRecords } from './rateLimitRecords.js';
import { toIncarnation } from './types.js';

const upstream = { id: toId<UpstreamId>('i-1'), startedAt: 1 } as UpstreamEntry;
const incarnation = toIncarnation(upstream);
const TICK_MS = 25;

/** Two linked gateways whose messages arrive at once; `issuer` issues the permits of both. */
const createPair = (): {
  issuer: RateLimiter;
  /** Advances both and returns how many permits the other gateway has used. */
  advance: (untilMs: number) => number;
} => {
  const limiters = new Map<string, RateLimiter>();
  let now = 0;
  const deliver = (from: string, to: string, message: Message): void => {
    const target = limiters.get(to);
    if (message.type === 'permitDemand') target?.receiveDemand(from, message, now);
    if (message.type === 'permits') target?.receivePermits(from, message, now);
  };
  const names = ['a', 'b'];
  for (const self of names) {
    const records = new RateLimitRecords();
    records.observe(incarnation, { perSecond: 10, sentAt: 0, receivedAt: 0 });
    const limiter = new RateLimiter({
      self,
      records,
      observer: { observe: () => 'unchanged' },
      countGateways: () => names.length,
      send: (to, message) => {
        deliver(self, to, message);
      },
    });
    limiters.set(self, limiter);
  }
  for (const [name, limiter] of limiters) limiter.addPeer(name === 'a' ? 'b' : 'a', 0);
  for (const limiter of limiters.values()) limiter.advance(now);
  const { issuer: name } = limiters.get('a')?.describe(now)[incarnation] as { issuer: string };
  const issuer = limiters.get(name);
  if (issuer === undefined) throw new Error('no issuer was chosen');
  const advance = (untilMs: number): number => {
    let used = 0;
    for (; now < untilMs; now += TICK_MS) {
      for (const limiter of limiters.values()) {
        limiter.requestPermit(upstream, now);
        limiter.advance(now);
        if (limiter.checkPermit(upstream, now) !== 'held') continue;
        limiter.takePermit(upstream, now);
        if (limiter !== issuer) used += 1;
      }
    }
    return used;
  };
  return { issuer, advance };
};

describe('rate limiter', () => {
  it('guards against a gateway without permits after its issuer has lost its demand', () => {
    const { issuer, advance } = createPair();
    expect(advance(2_000)).to.be.within(8, 12);
    // Closes one of two links, whose other end does not belong to the link in use there.
    issuer.removePeer('a', 'unresponsive', 2_000);
    issuer.removePeer('b', 'unresponsive', 2_000);
    expect(advance(4_000)).to.equal(0);
    expect(advance(8_000)).to.be.at.least(8);
  });

  it('guards against a limit of 0 that keeps its end from being noticed', () => {
    const records = new RateLimitRecords();
    records.observe(incarnation, { perSecond: 0, sentAt: 0, receivedAt: 0 });
    const limiter = new RateLimiter({
      self: 'a',
      records,
      observer: { observe: () => 'unchanged' },
      countGateways: () => 1,
      send: () => undefined,
    });
    let sends = 0;
    for (let now = 0; now < 60_000; now += TICK_MS) {
      limiter.requestPermit(upstream, now);
      limiter.advance(now);
      if (limiter.checkPermit(upstream, now) !== 'held') continue;
      limiter.takePermit(upstream, now);
      sends += 1;
    }
    expect(sends).to.be.within(2, 3);
  });
});
