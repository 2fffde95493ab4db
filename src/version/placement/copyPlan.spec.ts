import { expect } from 'chai';
import seedrandom from 'seedrandom';
import { planCopies } from './copyPlan.js';
import type { GroupLoad } from './types.js';

const LAYERS = 6;
const EXPERTS = 64;
const RANKS = 8;
const limits = { slotsPerRank: 11, maxLoadsPerLayer: 4, maxCopiesPerRank: 1, minGain: 0.008 };

/** Zipf-distributed load: a few experts receive most of the traffic, as in the deployments. */
const createLoad = (seed: string): GroupLoad => {
  const random = seedrandom(seed);
  return Array.from({ length: LAYERS }, () => {
    const ranked = Array.from({ length: EXPERTS }, (_, rank) => 1 / (rank + 1) ** 1.2);
    return ranked.sort(() => random() - 0.5);
  });
};
const createInitialPlacement = (): number[][][] =>
  Array.from({ length: LAYERS }, () =>
    Array.from({ length: RANKS }, (_, rank) =>
      Array.from({ length: EXPERTS / RANKS }, (__, row) => row * RANKS + rank),
    ),
  );

describe('copy plan under demand that shifts to other experts', () => {
  // Twelve changes of 250 ms fit between two demand shifts; the target mean skew is 1.3.
  it('guards against a group that stays unbalanced until the next demand shift', () => {
    let placement = createInitialPlacement();
    for (const seed of ['first', 'second', 'third']) {
      const load = createLoad(seed);
      const before = planCopies(load, placement, limits).skewBefore;
      let plan = planCopies(load, placement, limits);
      for (let change = 0; change < 12; change += 1) {
        plan = planCopies(load, placement, limits);
        placement = plan.placement;
      }
      expect(plan.skewAfter, `${seed}, from ${before}`).to.be.at.most(1.3);
    }
  });

  it('guards against plans that the ranks refuse', () => {
    let placement = createInitialPlacement();
    for (const seed of ['a', 'b', 'c', 'd', 'e', 'f']) {
      const plan = planCopies(createLoad(seed), placement, { ...limits, maxCopiesPerRank: 3 });
      for (const [layer, ranks] of plan.placement.entries()) {
        const held = new Set(ranks.flat());
        expect(held.size, 'each expert is on some rank').to.equal(EXPERTS);
        for (const [rank, experts] of ranks.entries()) {
          expect(new Set(experts).size).to.equal(experts.length);
          expect(experts.length).to.be.at.most(limits.slotsPerRank);
          const known = new Set(placement[layer]?.[rank]);
          const copies = experts.filter((expert) => !known.has(expert)).length;
          expect(copies).to.be.at.most(limits.maxLoadsPerLayer);
        }
      }
      placement = plan.placement;
    }
  });

  it('guards against copies that oscillate under steady demand', () => {
    const load = createLoad('steady');
    let placement = createInitialPlacement();
    let copies = 0;
    for (let change = 0; change < 30; change += 1) {
      const plan = planCopies(load, placement, limits);
      placement = plan.placement;
      if (change >= 20) copies += plan.copies;
    }
    expect(copies).to.equal(0);
  });
});
