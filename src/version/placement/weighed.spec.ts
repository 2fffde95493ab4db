import { expect, use } from 'chai';
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot';
import seedrandom from 'seedrandom';
import { computeSkewBound } from './bound.js';
import { createPlacement, measureSkew } from './groupPlacement.js';
import { LoadSmoother } from './loadSmoother.js';
import { MoveHistory } from './moveHistory.js';
import { placementPolicies } from './registry.js';
import type { PlacementInput, PlacementLimits } from './types.js';

use(jestSnapshotPlugin());

const MINUTE_MS = 60_000;

const limits: PlacementLimits = {
  ranks: 4,
  slotsPerRank: 3,
  bytesPerExpert: 1e9,
  storeBytesPerSecond: 1e9,
  horizonMs: 10 * MINUTE_MS,
  skewWeight: 1,
  moveWeight: 1,
};

const createInput = (load: number[], changes: Partial<PlacementLimits> = {}): PlacementInput => ({
  now: 0,
  load: [load],
  placement: createPlacement(1, load.length, limits.ranks),
  limits: { ...limits, ...changes },
  moveFilter: new MoveHistory(),
});

const loads = {
  balanced: [1, 1, 1, 1, 1, 1, 1, 1],
  'one hot expert': [8, 1, 1, 1, 1, 1, 1, 1],
  'two hot experts on one rank': [4, 1, 1, 1, 4, 1, 1, 1],
};
const weights = { 'cheap moves': 1, 'expensive moves': 1000 };

describe('placement decision', () => {
  it('guards against changed decisions for known loads and weights', () => {
    const table: Record<string, unknown> = {};
    for (const [loadName, load] of Object.entries(loads)) {
      for (const [weightName, moveWeight] of Object.entries(weights)) {
        for (const [policyName, decide] of Object.entries(placementPolicies)) {
          const decision = decide(createInput(load, { moveWeight }));
          table[`${loadName}, ${weightName}, ${policyName}`] = {
            moves: decision.moves.map((move) => `${move.kind} ${move.expert} on ${move.rank}`),
            skew: `${decision.skewBefore.toFixed(3)} -> ${decision.skewAfter.toFixed(3)}`,
            seconds: decision.transferSeconds,
          };
        }
      }
    }
    expect(table).toMatchSnapshot();
  });

  it('guards against a lower bound above a reached skew, and lost or surplus replicas', () => {
    const random = seedrandom('bound');
    for (let round = 0; round < 50; round += 1) {
      const load = Array.from({ length: 8 }, () => random() ** 3);
      for (const decide of Object.values(placementPolicies)) {
        const { placement } = decide(createInput(load, { moveWeight: 0.1 }));
        const bound = computeSkewBound([load], limits);
        expect(measureSkew(placement, [load])).to.be.at.least(bound - 1e-9);
        expect(new Set(placement.flat(2)).size).to.equal(load.length);
        for (const held of placement[0]!) {
          expect(held.length).to.be.at.most(limits.slotsPerRank);
          expect(new Set(held).size).to.equal(held.length);
        }
      }
    }
  });

  it('guards against moving an expert back and forth under steady load with noise', () => {
    const random = seedrandom('steady');
    const history = new MoveHistory();
    const smoother = new LoadSmoother(10 * MINUTE_MS);
    const base = Array.from({ length: 16 }, (_, index) => (index + 1) ** -0.7);
    let placement = createPlacement(1, 16, 4);
    const last = new Map<string, string>();
    for (let now = 0; now < 60 * MINUTE_MS; now += MINUTE_MS) {
      smoother.update([base.map((value) => value * (0.85 + 0.3 * random()))], now);
      const decision = placementPolicies.weighed({
        now,
        load: smoother.load,
        placement,
        limits: { ...limits, slotsPerRank: 5, moveWeight: 0.01 },
        moveFilter: history,
      });
      history.record(decision.moves, now, smoother.load);
      placement = decision.placement;
      for (const move of decision.moves) {
        const key = `${move.expert}/${move.rank}`;
        expect(last.get(key) ?? move.kind, `${key} at ${now}`).to.equal(move.kind);
        last.set(key, move.kind);
      }
    }
    expect(last.size).to.be.greaterThan(0);
  });

  it('guards against a recent move that can never be undone although the load changed', () => {
    const history = new MoveHistory();
    history.record([{ kind: 'add', layer: 0, expert: 0, rank: 1 }], 0, [[4, 4, 4]]);
    const back = { kind: 'drop', layer: 0, expert: 0, rank: 1 } as const;
    expect(history.isBlocked(back, 59 * MINUTE_MS, [[4.2, 4, 4]])).to.be.true;
    expect(history.isBlocked(back, 59 * MINUTE_MS, [[1, 4, 4]])).to.be.false;
    expect(history.isBlocked(back, 60 * MINUTE_MS, [[4.2, 4, 4]])).to.be.false;
  });
});
