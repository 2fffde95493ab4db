import { expect } from 'chai';
import { computeSkew } from './computeSkew.js';
import { PlanRate } from './planRate.js';
import { listPaces } from './rankPaces.js';
import type { RankReport } from './types.js';

const createStates = (paces: readonly (number | undefined)[]): { report: RankReport }[] =>
  paces.map((pace, rank) => ({
    report: {
      ...{ group: 'g', epoch: 1, rank, size: paces.length, isOpen: true, startedAt: 1, pass: 1 },
      ...{ map: 0, prepared: undefined, armed: undefined, held: undefined, running: 1, queued: 0 },
      ...(pace === undefined ? {} : { pace }),
    },
  }));

describe('paces of the ranks of a group', () => {
  it('guards against experts that move for a pace a little above 1, and against ranks without a pace', () => {
    expect(listPaces(createStates([undefined, 1.1, 0.8, 5]))).to.deep.equal([1, 1, 1, 5]);
  });

  it('guards against a rank that turns slow and waits until the next plan is due', () => {
    const load = [[1, 1, 1, 1]];
    const placement = [[[0], [1], [2], [3]]];
    const rate = new PlanRate();
    rate.recordPlan(0, 40, computeSkew(load, placement));
    const isDue = (pace: number): boolean =>
      rate.isDue(120, () => computeSkew(load, placement, listPaces(createStates([1, 1, pace, 1]))));
    expect([isDue(1), isDue(5)]).to.deep.equal([false, true]);
  });
});
