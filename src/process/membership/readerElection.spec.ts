import { expect } from 'chai';
import fc from 'fast-check';
import { decideFallbackRead } from './fallbackRead.js';
import { selectPeers, collectLiveEntries, selectReaders } from './readerElection.js';
import { decideReadiness } from './readiness.js';
import type { EntryPeer, ListedHost } from './types.js';

const zones = ['ikeja', 'apapa', 'lekki'];
const createEntries = (count: number): EntryPeer[] =>
  Array.from({ length: count }, (_, index) => ({
    host: `entry-${index}`,
    availabilityZone: zones[index % zones.length]!,
    address: `127.0.0.1:${7000 + index}`,
  }));

describe('selectReaders', () => {
  it('guards against zones without readers and unnecessary reader changes', () => {
    fc.assert(
      fc.property(fc.integer({ min: 6, max: 60 }), fc.nat(59), (count, nth) => {
        const entries = createEntries(count);
        const removed = entries[nth % count]!;
        for (const zone of zones) {
          const before = selectReaders(entries, zone, 2);
          const rest = entries.filter((entry) => entry !== removed);
          const after = selectReaders(rest.reverse(), zone, 2);
          expect(before).to.have.length(2);
          const kept = before.filter((entry) => entry !== removed);
          expect(after).to.include.members(kept);
        }
      }),
      { seed: 5, numRuns: 100 },
    );
  });

  it('guards against peer selections that partition the fleet or grow with its size', () => {
    const entries = createEntries(60);
    const reached = new Set<string>(['entry-0']);
    for (let round = 0; round < 10; round += 1) {
      for (const entry of entries) {
        const peers = selectPeers(entry, entries, 2);
        expect(peers.length).to.be.at.most(2 + 2 + 3);
        for (const { host } of peers) {
          if (reached.has(entry.host)) reached.add(host);
          if (reached.has(host)) reached.add(entry.host);
        }
      }
    }
    expect(reached.size).to.equal(60);
  });

  it('guards against a stale live list that hides new entries or retains failed ones', () => {
    const [self, unreachable, leaving, linked] = createEntries(4);
    const listed: ListedHost[] = [
      { ...unreachable!, state: 'live', role: 'entry' },
      { ...leaving!, state: 'leaving', role: 'entry' },
      { host: 'agent-1', availabilityZone: 'ikeja', state: 'live', role: 'agent' },
    ];
    const unreachableSince = new Map([[unreachable!.host, 1_000]]);
    const input = {
      self,
      listed,
      linked: [leaving!, linked!],
      unreachableSince,
      unreachableTimeoutMs: 500,
    };
    const listNames = (now: number): string[] =>
      collectLiveEntries(input, now).map(({ host }) => host);
    expect(listNames(1_400)).to.have.members(['entry-0', 'entry-1', 'entry-3']);
    expect(listNames(1_500)).to.have.members(['entry-0', 'entry-3']);
  });
});

describe('decideFallbackRead', () => {
  it('guards against direct reads despite a source and synchronized reads of a fleet', () => {
    const state = { lastSourceAt: 1_000, lastFallbackAt: 0, consecutiveFallbacks: 0, jitter: 0.5 };
    expect(decideFallbackRead(state, 100, 1_149)).to.equal(false);
    expect(decideFallbackRead(state, 100, 1_150)).to.equal(true);
    expect(decideFallbackRead({ ...state, jitter: 0.9 }, 100, 1_150)).to.equal(false);
    const repeated = { ...state, lastFallbackAt: 1_150, consecutiveFallbacks: 2 };
    expect(decideFallbackRead(repeated, 100, 1_749)).to.equal(false);
    expect(decideFallbackRead(repeated, 100, 1_750)).to.equal(true);
  });
});

describe('decideReadiness', () => {
  it('guards against readiness without configuration and an unbounded wait', () => {
    const input = {
      startedAt: 0,
      readyTimeoutMs: 100,
      mergedPeers: 1,
      knownPeers: 5,
      platformRead: 'done' as const,
      objects: 3,
    };
    expect(decideReadiness(input, 99).ready).to.equal(false);
    expect(decideReadiness(input, 100)).to.deep.equal({
      ready: true,
      missing: ['merged from 1 of 2 peers'],
    });
    expect(decideReadiness({ ...input, mergedPeers: 2 }, 0).ready).to.equal(true);
    const empty = { ...input, objects: 0, platformRead: 'failed' as const };
    expect(decideReadiness(empty, 1_000).ready).to.equal(false);
  });
});
