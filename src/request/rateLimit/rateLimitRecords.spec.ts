import { expect } from '../../../test/support/snapshot.js';
import type { UpstreamIncarnation } from '../../ids.js';
import { toId } from '../../ids.js';
import { RateLimitRecords } from './rateLimitRecords.js';

const upstream = toId<UpstreamIncarnation>('i-1@1');

/** Applies statements `[perSecond, sentAt, receivedAt]` in turn and returns each effect with the limit after it. */
const observeAll = (statements: readonly [number | undefined, number, number][]): unknown[] => {
  const records = new RateLimitRecords();
  return statements.map(([perSecond, sentAt, receivedAt]) => [
    records.observe(upstream, { perSecond, sentAt, receivedAt }),
    records.find(upstream)?.perSecond ?? 'none',
  ]);
};

describe('records of rate limits', () => {
  it('guards against a limit that starts, changes or ends at the wrong statement', () => {
    const schedules: Record<string, readonly [number | undefined, number, number][]> = {
      neverStated: [[undefined, 0, 10]],
      startedAndEnded: [
        [2, 0, 10],
        [undefined, 11, 20],
        [3, 21, 30],
      ],
      lateResponseWithoutLimit: [
        [2, 0, 10],
        [undefined, 5, 20],
      ],
      raised: [
        [2, 0, 10],
        [5, 11, 20],
      ],
      lateHigherLimit: [
        [2, 0, 10],
        [5, 9, 20],
      ],
      lowered: [
        [5, 0, 10],
        [2, 5, 20],
        [5, 6, 21],
      ],
      overlappingResponsesOfABusyUpstream: [
        [2, 0, 100],
        [2, 50, 150],
        [undefined, 140, 240],
        [undefined, 160, 260],
      ],
      outdatedWordOfAPeer: [
        [2, 0, 10],
        [undefined, 20, 30],
        [2, 0, 12],
      ],
    };
    const effects = Object.entries(schedules).map(([name, list]) => [name, observeAll(list)]);
    expect(Object.fromEntries(effects)).toMatchSnapshot();
  });

  it('guards against records that are kept for upstreams that have left', () => {
    const records = new RateLimitRecords();
    records.observe(upstream, { perSecond: 1, sentAt: 0, receivedAt: 10 });
    records.discardObsolete(new Set([upstream]), 100);
    expect(records.find(upstream)?.perSecond).to.equal(1);
    records.discardObsolete(new Set(), 10);
    expect(records.find(upstream)?.perSecond).to.equal(1);
    records.discardObsolete(new Set(), 11);
    expect(records.hasLimits).to.equal(false);
  });

  it('guards against records of ended limits that are kept forever or forgotten at once', () => {
    const records = new RateLimitRecords();
    records.observe(upstream, { perSecond: 1, sentAt: 0, receivedAt: 10 });
    records.observe(upstream, { perSecond: undefined, sentAt: 20, receivedAt: 30 });
    records.observe(upstream, { perSecond: undefined, sentAt: 90, receivedAt: 95 });
    records.discardObsolete(new Set([upstream]), 30);
    expect(records.hasLimits).to.equal(true);
    records.discardObsolete(new Set([upstream]), 31);
    expect(records.hasLimits).to.equal(false);
  });
});
