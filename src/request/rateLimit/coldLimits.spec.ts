import { expect } from 'chai';
import type { ServiceId, UpstreamId, UpstreamIncarnation } from '../../ids.js';
import { toId } from '../../ids.js';
import { createLogger } from '../../process/logging.js';
import { Metrics } from '../../process/metrics.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { UpstreamEntry } from '../../version/routing/types.js';
import { ColdLimits } from './coldLimits.js';

const service = toId<ServiceId>('chat');
const START_MS = 3_000;
const LIMIT = 4;

const createEntry = (changes: Partial<UpstreamEntry> = {}): UpstreamEntry =>
  ({
    id: toId<UpstreamId>('i-1'),
    service,
    startedAt: 1,
    heartbeat: 1,
    ...changes,
  }) as UpstreamEntry;

const createLimits = (perSecond = LIMIT): { limits: ColdLimits; sent: Message[] } => {
  const sent: Message[] = [];
  const limits = new ColdLimits({
    getService: (id) => ({
      id,
      maxConnections: 10,
      coldStartMs: START_MS,
      coldRequestsPerSecond: perSecond,
    }),
    broadcast: (message) => sent.push(message),
    logger: createLogger('test'),
    metrics: new Metrics(),
  });
  return { limits, sent };
};

/** Remaining time of the only upstream after each listing; 0 while it is warm. */
const observeAll = (
  limits: ColdLimits,
  listings: readonly (readonly [readAt: number, entries: UpstreamEntry[]])[],
): number[] => {
  const remaining: number[] = [];
  for (const [readAt, entries] of listings) {
    limits.observeListing(entries, readAt);
    limits.expire(readAt);
    remaining.push(Object.values(limits.describe(readAt))[0]?.remainingMs ?? 0);
  }
  return remaining;
};

describe('limits of cold upstreams', () => {
  it('guards against a cold time that a repeated or contradictory statement changes', () => {
    const cold = (heartbeat: number, coldRemainingMs?: number): UpstreamEntry[] => [
      createEntry({ heartbeat, coldRemainingMs }),
    ];
    const { limits } = createLimits();
    const remaining = observeAll(limits, [
      [0, cold(1, 2_000)],
      // The store repeats the entry while the upstream does not write.
      [650, cold(1, 2_000)],
      // Contradicts what the upstream has stated before.
      [1_300, cold(2)],
      [2_100, cold(2)],
      // Cold again while in use.
      [2_600, cold(3, 1_500)],
      [3_300, cold(4, 3_000)],
      [6_500, cold(5)],
    ]);
    expect(remaining).to.deep.equal([2_000, 1_350, 700, 0, 1_500, 3_000, 0]);
  });

  it('guards against full load on a new or restarted upstream whose entry does not say that it is cold', () => {
    const other = createEntry({ id: toId<UpstreamId>('i-0') });
    const { limits } = createLimits();
    const remaining = observeAll(limits, [
      [0, [other]],
      [1_000, [other, createEntry()]],
      [3_000, [other, createEntry({ heartbeat: 2 })]],
      [4_100, [other, createEntry({ heartbeat: 3 })]],
      // The same id with a later start.
      [5_000, [other, createEntry({ startedAt: 4_500 })]],
    ]);
    expect(remaining).to.deep.equal([0, 3_000, 1_000, 0, 3_000]);
  });

  it('guards against limits of upstreams that ran before this gateway or returned to the list', () => {
    const { limits } = createLimits();
    const remaining = observeAll(limits, [
      [0, [createEntry()]],
      [650, []],
      [2_000, [createEntry({ heartbeat: 2 })]],
    ]);
    expect(remaining).to.deep.equal([0, 0, 0]);
  });

  it('guards against a cold upstream without a limit of its service', () => {
    const { limits, sent } = createLimits(0);
    limits.observeListing([createEntry({ coldRemainingMs: 5_000 })], 0);
    expect(limits.list().size).to.equal(0);
    expect(sent).to.deep.equal([]);
  });

  it('guards against gateways that do not read the store and never learn of a cold upstream', () => {
    const { limits, sent } = createLimits();
    limits.observeListing([createEntry({ coldRemainingMs: 2_000 })], 1_000);
    const other = createLimits().limits;
    for (const message of [...sent, ...limits.createMessages(1_500)]) {
      other.receive(message as MessageOf<'coldUpstreams'>, 'a', 1_600);
    }
    expect(other.find(toId<UpstreamIncarnation>('i-1@1'))).to.equal(LIMIT);
    other.expire(3_599);
    expect(other.list().size).to.equal(1);
    other.expire(3_600);
    expect(other.list().size).to.equal(0);
  });
});
