import { expect } from 'chai';
import { PlanRate } from './planRate.js';

/** A plan of a process that has just started, before its code is compiled. */
const SLOW_PLAN_MS = 200;

describe('rate of plans', () => {
  it('guards against a second change after a restart that waits for seconds; skew after the slow first plan', () => {
    const dueAfterMs = (expectedSkew: number, skew: number, hasChanged = true): number => {
      const rate = new PlanRate();
      rate.recordPlan(0, SLOW_PLAN_MS, expectedSkew, hasChanged);
      for (let now = 0; ; now += 50) if (rate.isDue(now, () => skew)) return now;
    };
    expect({
      balanced: dueAfterMs(1.4, 1.45),
      shifted: dueAfterMs(1.2, 1.55),
      farFromBalanced: dueAfterMs(1.9, 1.95),
      cannotBeBalanced: dueAfterMs(1.9, 1.95, false),
    }).to.deep.equal({
      balanced: 2_000,
      shifted: 500,
      farFromBalanced: 500,
      cannotBeBalanced: 2_000,
    });
  });
});
