import { expect } from '../../../test/support/snapshot.js';
import type { Fingerprint, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import { defaults } from '../../defaults.js';
import { chooseUpstream, explainRoute, selectSuspectUpstreams } from './chooseUpstream.js';
import { isStalled } from './eligibility.js';
import { routingPolicies } from './registry.js';
import type { Candidate } from './types.js';

const NOW = 1_000_000;
const ids = ['u1', 'u2', 'u3', 'u4'].map((id) => toId<UpstreamId>(id));

const createCandidate = (upstream: UpstreamId, change: Partial<Candidate> = {}): Candidate => ({
  upstream,
  availabilityZone: 'ikeja',
  slots: 4,
  reportedWork: 100,
  uncoveredWork: 0,
  full: false,
  workspaceInFlight: 0,
  accepting: true,
  draining: false,
  down: false,
  hasOwnWork: true,
  lastMessageAt: NOW,
  lastProgressAt: NOW,
  ...change,
});

const cases: Readonly<Record<string, Partial<Candidate>>> = {
  'equal load': {},
  'above the bound by report': { reportedWork: 1_000 },
  'above the bound by unreported sends': { uncoveredWork: 1_000 },
  'same work on more slots': { reportedWork: 400, slots: 16 },
  down: { down: true },
  draining: { draining: true },
  'not accepting': { accepting: false },
  'no message with work in flight': { lastMessageAt: NOW - 1_400 },
  'no progress with work in flight': { lastProgressAt: NOW - 1_600 },
  'no progress without work in flight': { lastProgressAt: NOW - 60_000, hasOwnWork: false },
};

describe('routing', () => {
  // An agent with a long call and nothing else to say was taken for a stalled one: the call was cut, or run again elsewhere.
  it('guards against ending the work of an agent between two of its heartbeats', () => {
    const latestPingMs = defaults.heartbeatIntervalMs + defaults.heartbeatCheckMs;
    const candidate = createCandidate(toId('u1'), { lastMessageAt: NOW - latestPingMs });
    expect(isStalled(candidate, NOW)).to.equal(false);
    expect(isStalled(candidate, NOW + 100)).to.equal(false);
  });

  for (const [name, policy] of Object.entries(routingPolicies)) {
    it(`guards against a changed decision of ${name}`, () => {
      const request = { prefix: 'prompt', cost: 10, turn: 5 };
      const plain = ids.map((id) => createCandidate(id));
      const preferred = explainRoute(plain, policy, request, NOW).chosen;
      const table: Record<string, unknown> = {};
      for (const [state, change] of Object.entries(cases)) {
        const candidates = plain.map((candidate) =>
          candidate.upstream === preferred ? { ...candidate, ...change } : candidate,
        );
        const explained = explainRoute(candidates, policy, request, NOW);
        table[state] = explained.candidates
          .map(({ upstream, load, rank, exclusion }) =>
            [upstream, `load ${load}`, exclusion ?? `rank ${rank ?? ''}`].join(', '),
          )
          .join('; ');
      }
      expect(table).toMatchSnapshot();
    });
  }

  it('guards against queueing requests of a workspace where its guaranteed slots are in use', () => {
    const request = { prefix: 'p', cost: 10, turn: 0 };
    const order = (full: boolean) =>
      routingPolicies.affinity!(
        ids.map((id) => createCandidate(id, { full, workspaceInFlight: id === 'u3' ? 0 : 2 })),
        request,
      ).map(({ upstream }) => upstream);
    const hashed = routingPolicies.affinity!(
      ids.map((id) => createCandidate(id)),
      request,
    ).map(({ upstream }) => upstream);
    expect(order(true)[0]).to.equal('u3');
    expect(order(false)).to.deep.equal(hashed);
  });

  const choose = (fingerprint: string, crashes: number, prefix: string, tried: UpstreamId[] = []) =>
    chooseUpstream(
      {
        candidates: ids.map((id) => createCandidate(id)),
        policy: routingPolicies.affinity!,
        tried: new Set(tried),
        fingerprint: toId<Fingerprint>(fingerprint),
        crashes,
        suspectUpstreams: selectSuspectUpstreams(toId(fingerprint), ids),
        prefix,
        cost: 10,
        turn: 0,
      },
      NOW,
    );

  it('guards against copies of one suspect at several upstreams', () => {
    const visited = new Set<UpstreamId>();
    for (let index = 0; index < 200; index += 1)
      visited.add(choose('suspect', 1, `prefix ${index}`).unwrap().upstream);
    expect(visited.size).to.equal(1);
    const second = choose('suspect', 1, 'x', [...visited]).unwrap().upstream;
    expect(choose('suspect', 1, 'x', [...visited, second]).isErr()).to.equal(true);
    // The selection depends only on the configuration, not on the links of one entry.
    const order = selectSuspectUpstreams(toId('suspect'), [...ids].reverse());
    expect(order).to.deep.equal([...visited, second]);
  });

  it('guards against a third crash', () => {
    const refused = choose('suspect', 2, 'x');
    expect(refused.isErr() && refused.error.code).to.equal('poisonous_request');
  });

  it('guards against reassigning prefixes of other upstreams when one is removed', () => {
    const request = (index: number) => ({ prefix: `p${index}`, cost: 1_000, turn: 0 });
    const all = ids.map((id) => createCandidate(id));
    const policy = routingPolicies.affinity!;
    for (let index = 0; index < 200; index += 1) {
      const before = policy(all, request(index))[0]!.upstream;
      const after = policy(all.slice(1), request(index))[0]!.upstream;
      if (before !== 'u1') expect(after).to.equal(before);
    }
  });
});
