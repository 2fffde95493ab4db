import { expect } from 'chai';
import { createPlanner, groupModels, runGroup } from './copyPlans.js';

const SEEDS = ['1', '2'];
/** One case takes up to 9 s on a busy machine. */
const TIMEOUT_MS = 60_000;

describe('copy plans over several shifts of demand', () => {
  // A fixed limit of one copy a rank reaches 1.41, 1.60, 1.96, 2.33 and 2.70.
  const cases = [
    { name: 'ranks_8', overheadMs: 80, maxPassTime: 1.39 },
    { name: 'ranks_8', overheadMs: 300, maxPassTime: 1.57 },
    { name: 'ranks_32', overheadMs: 80, maxPassTime: 1.7 },
    { name: 'ranks_32', overheadMs: 300, maxPassTime: 2.05 },
    { name: 'ranks_32', overheadMs: 600, maxPassTime: 2.4 },
  ] as const;
  for (const { name, overheadMs, maxPassTime } of cases) {
    // Guards against passes that take long because a change makes too few copies or is not worth its stop.
    it(`guards against long passes with ${name} and changes of ${overheadMs} ms`, () => {
      let sum = 0;
      for (const seed of SEEDS) {
        const options = { seed, model: groupModels[name], overheadMs };
        sum += runGroup(options, createPlanner(options)).pass_time;
      }
      expect(sum / SEEDS.length).to.be.at.most(maxPassTime);
    }).timeout(TIMEOUT_MS);
  }
});
