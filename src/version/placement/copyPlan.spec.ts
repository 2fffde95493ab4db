import { expect } from 'chai';
import seedrandom from 'seedrandom';
import { ShiftingDemand } from '../../../test/standins/shiftingDemand.js';
import { computeSkewBound } from './bound.js';
import { planCopies } from './copyPlan.js';
import { createPlacement, measureRankLoad } from './groupPlacement.js';
import type { GroupLoad, GroupPlacement } from './types.js';

const LAYERS = 6;
const EXPERTS = 64;
const RANKS = 8;
const limits = {
  ...{ slotsPerRank: 11, maxLoadsPerLayer: 4, copyMs: 148 },
  ...{ overheadMs: 100, stopMs: 40, persistenceMs: 3_000, expertShare: 0.85 },
};
const large = { layers: 12, experts: 128, ranks: 32 };
const largeLimits = { ...limits, slotsPerRank: 5, maxLoadsPerLayer: 2, copyMs: 36.5 };

/** Demand of the large group; each second, most of the popular experts change. */
const createLargeDemand = (seed: string): ShiftingDemand =>
  new ShiftingDemand({ ...large, seed, exponent: 0.82, shiftIntervalMs: 1_000, shiftShare: 0.79 });
const createLargePlacement = (): GroupPlacement =>
  createPlacement(large.layers, large.experts, large.ranks);

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
      const plan = planCopies(createLoad(seed), placement, { ...limits, overheadMs: 2_000 });
      expect(plan.copiesPerRank, 'several copies a rank').to.be.above(1);
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

  // Guards against changes at 32 ranks that leave most of the skew, because each rank may receive one copy only.
  it('guards against a large group whose first two changes leave it unbalanced', () => {
    for (const seed of ['first', 'second', 'third']) {
      const demand = createLargeDemand(seed);
      let placement = createLargePlacement();
      for (let shift = 0; shift < 4; shift += 1) {
        const load = demand.getShares(shift * 1_000);
        let plan = planCopies(load, placement, largeLimits);
        plan = planCopies(load, plan.placement, largeLimits);
        placement = plan.placement;
        const bound = computeSkewBound(load, {
          ...{ ranks: large.ranks, slotsPerRank: largeLimits.slotsPerRank, bytesPerExpert: 1 },
          ...{ storeBytesPerSecond: 1, horizonMs: 1, skewWeight: 1, moveWeight: 1 },
        });
        expect(plan.skewAfter, `${seed}, shift ${shift}`).to.be.at.most(1.6 * bound);
      }
    }
  });

  // Guards against slow copies that delay a whole change, and fast copies that each wait for a change of their own.
  it('guards against a number of copies a rank that ignores the time of a copy', () => {
    const load = createLoad('first');
    const countCopies = (copyMs: number, overheadMs: number): number =>
      planCopies(load, createInitialPlacement(), { ...limits, copyMs, overheadMs }).copiesPerRank;
    expect(countCopies(148, 100)).to.equal(1);
    expect(countCopies(37, 300)).to.be.above(1);
    expect(countCopies(37, 300)).to.be.at.most(countCopies(10, 300));
  });

  // Guards against a plan that occupies the coordinator while demand shifts.
  it('guards against a search that compares too many steps', () => {
    const demand = createLargeDemand('work');
    let placement = createLargePlacement();
    for (let shift = 0; shift < 6; shift += 1) {
      const slow = { ...largeLimits, overheadMs: 600 };
      const plan = planCopies(demand.getShares(shift * 1_000), placement, slow);
      expect(plan.evaluated).to.be.at.most(40_000);
      placement = plan.placement;
    }
  });

  // Guards against series of changes that end far above what the slots allow, and a first change that does little.
  it('guards against 24 ranks that stay unbalanced when 0.8 of the demand moves every 2.5 s', () => {
    const wave = { layers: 16, experts: 96, exponent: 0.94, shiftIntervalMs: 2_500 };
    const waveLimits = { ...limits, slotsPerRank: 5, maxLoadsPerLayer: 2, copyMs: 76 };
    for (const seed of ['first', 'second', 'third']) {
      const demand = new ShiftingDemand({ ...wave, shiftShare: 0.8, seed });
      let placement: GroupPlacement = createPlacement(wave.layers, wave.experts, 24);
      for (let shift = 0; shift < 4; shift += 1) {
        const load = demand.getShares(shift * wave.shiftIntervalMs);
        for (let change = 0; change < 5; change += 1) {
          const plan = planCopies(load, placement, { ...waveLimits, overheadMs: 300 });
          placement = plan.placement;
        }
        const { skewBefore } = planCopies(load, placement, waveLimits);
        expect(skewBefore, `${seed}, shift ${shift}`).to.be.at.most(1.3);
      }
    }
  });

  // Guards against passes that wait for a slow rank, which needs five times as long for its share.
  for (const ranks of [12, 24]) {
    it(`guards against experts that stay on a slow rank of ${ranks}`, () => {
      const experts = 4 * ranks;
      const demand = new ShiftingDemand({
        ...{ layers: 6, experts, exponent: 0.94, shiftIntervalMs: 2_500, shiftShare: 0.8 },
        seed: 'slow',
      });
      const load = demand.getShares(0);
      const paces = new Array<number>(ranks).fill(1);
      paces[3] = 5;
      let placement: GroupPlacement = createPlacement(6, experts, ranks);
      const run = { ...limits, slotsPerRank: 5, maxLoadsPerLayer: 2, copyMs: 76, overheadMs: 300 };
      for (let change = 0; change < 12; change += 1)
        placement = planCopies(load, placement, { ...run, paces }).placement;
      const { skewAfter } = planCopies(load, placement, { ...run, paces });
      expect(skewAfter).to.be.at.most(1.3);
      let slowLoad = 0;
      for (const [layer, rows] of placement.entries())
        slowLoad += measureRankLoad(rows, load[layer] ?? [])[3] ?? 0;
      expect(slowLoad, 'in mean rank loads').to.be.at.most((1.3 / 5) * (placement.length / ranks));
    });
  }

  // Guards against a group in which slow ranks receive as much as the others; 0.4 of them are slow by 12.
  it('guards against a share of slow ranks that keeps its load', () => {
    const demand = new ShiftingDemand({
      ...{ layers: 16, experts: 96, exponent: 0.94, shiftIntervalMs: 2_500, shiftShare: 0.8 },
      seed: 'many slow',
    });
    const load = demand.getShares(0);
    const paces = Array.from({ length: 24 }, (_, rank) => (rank % 5 < 2 ? 12 : 1));
    let placement: GroupPlacement = createPlacement(16, 96, 24);
    const run = { ...limits, slotsPerRank: 5, maxLoadsPerLayer: 2, copyMs: 76, overheadMs: 300 };
    const { skewBefore } = planCopies(load, placement, { ...run, paces });
    for (let change = 0; change < 16; change += 1)
      placement = planCopies(load, placement, { ...run, paces }).placement;
    const { skewAfter } = planCopies(load, placement, { ...run, paces });
    expect(skewAfter).to.be.at.most(skewBefore / 3);
  });

  // Guards against a plan for 96 ranks that takes its coordinator longer than the demand stays.
  it('guards against a search over 96 ranks that compares too many steps', () => {
    const demand = new ShiftingDemand({
      ...{ layers: 16, experts: 384, exponent: 0.94, shiftIntervalMs: 2_500, shiftShare: 0.7 },
      seed: 'large',
    });
    let placement: GroupPlacement = createPlacement(16, 384, 96);
    const run = { ...limits, slotsPerRank: 5, maxLoadsPerLayer: 2, copyMs: 76, overheadMs: 400 };
    for (let change = 0; change < 20; change += 1) {
      const plan = planCopies(demand.getShares(change * 500), placement, run);
      expect(plan.evaluated).to.be.at.most(120_000);
      placement = plan.placement;
    }
  });

  // Guards against changes that stop the group for longer than they shorten its passes.
  it('guards against a saving that leaves out the time for which the group stands still', () => {
    const load = createLoad('first');
    const placement = createInitialPlacement();
    const brief = planCopies(load, placement, { ...limits, stopMs: 0 });
    const long = planCopies(load, placement, { ...limits, stopMs: 400 });
    expect(brief.savedMs - long.savedMs).to.be.closeTo(400, 1);
  });

  // Guards against a change for which orders and copies cost more than the group gains.
  it('guards against copies without a benefit', () => {
    const uniform = Array.from({ length: LAYERS }, () => new Array<number>(EXPERTS).fill(1));
    const plan = planCopies(uniform, createInitialPlacement(), limits);
    expect(plan.copies).to.equal(0);
    expect(plan.savedMs).to.be.at.most(0);
  });
});
