import { expect } from 'chai';
import type { ServiceId, UpstreamId, UpstreamIncarnation } from '../../ids.js';
import { toId } from '../../ids.js';
import { createLogger } from '../../process/logging.js';
import { Metrics } from '../../process/metrics.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { UpstreamEntry } from '../../version/routing/types.js';
import { UpstreamDirectory } from '../../process/gateway/upstreamDirectory.js';
import { ColdLimits } from './coldLimits.js';

const service = toId<ServiceId>('chat');
const incarnation = toId<UpstreamIncarnation>('i-1@1');
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

  it('guards against a limit on upstreams whose service states none', () => {
    const { limits } = createLimits(0);
    limits.observeListing([createEntry({ coldRemainingMs: 5_000 })], 0);
    expect(limits.find(incarnation)).to.equal(undefined);
  });

  it('guards against a statement that is lost because the configuration is not known yet', () => {
    let perSecond = 0;
    const limits = new ColdLimits({
      getService: (id) => ({ id, maxConnections: 10, coldRequestsPerSecond: perSecond }),
      broadcast: () => undefined,
      logger: createLogger('test'),
      metrics: new Metrics(),
    });
    limits.observeListing([createEntry({ coldRemainingMs: 5_000 })], 0);
    perSecond = LIMIT;
    expect(limits.find(incarnation)).to.equal(LIMIT);
  });

  it('guards against a cold time that is told to no or only some gateways', () => {
    const { limits, sent } = createLimits();
    limits.observeListing([createEntry({ coldRemainingMs: 2_000 })], 1_000);
    const [message] = sent as MessageOf<'coldUpstreams'>[];
    const [greeting] = limits.createMessages(1_500) as MessageOf<'coldUpstreams'>[];
    const ends: number[] = [];
    for (const upstreams of [message?.upstreams, greeting?.upstreams, limits.encode(1_500)]) {
      const other = createLimits().limits;
      other.receive(upstreams ?? [], 'a', 1_500);
      ends.push(Object.values(other.describe(1_500))[0]?.remainingMs ?? 0);
    }
    expect(ends).to.deep.equal([2_000, 1_500, 1_500]);
  });

  it('guards against small extensions that add up without being told', () => {
    const { limits, sent } = createLimits();
    for (let heartbeat = 1; heartbeat <= 5; heartbeat += 1) {
      const entry = createEntry({ heartbeat, coldRemainingMs: 3_000 });
      limits.observeListing([entry], heartbeat * 400);
    }
    expect(sent).to.have.length(3);
  });

  it('guards against full load on upstreams of a zone that returns to service cold', () => {
    const { limits } = createLimits();
    limits.observeListing([createEntry()], 0);
    limits.markCold([createEntry()], 10_000);
    expect(limits.find(incarnation)).to.equal(LIMIT);
    limits.expire(10_000 + START_MS);
    expect(limits.find(incarnation)).to.equal(undefined);
  });

  it('guards against a new upstream that can be chosen before its statement counts', () => {
    const directory = new UpstreamDirectory();
    const { limits } = createLimits();
    let isColdWhenListed = false;
    directory.onListing = (entries, now) => {
      isColdWhenListed = directory.listReady(service).length === 0;
      limits.observeListing(entries, now);
    };
    const entry = {
      ...createEntry({ coldRemainingMs: 2_000 }),
      address: '10.0.0.1:1',
      isDraining: false,
    };
    directory.applyListing([entry], 0, 0);
    expect(isColdWhenListed).to.equal(true);
    expect(limits.find(incarnation)).to.equal(LIMIT);
  });
});
