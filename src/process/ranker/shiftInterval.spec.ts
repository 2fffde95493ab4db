import { expect } from 'chai';
import { ShiftInterval } from './shiftInterval.js';

const PLAN_INTERVAL_MS = 300;
const BALANCED_SKEW = 1.1;
const SHIFTED_SKEW = 2.2;

/** Plans at a fixed rate while the demand shifts at an interval; each plan balances the load. */
function observeShifts(intervalMs: number, durationMs: number): number {
  const shifts = new ShiftInterval();
  let shiftedAt = 0;
  for (let now = 0; now < durationMs; now += PLAN_INTERVAL_MS) {
    const hasShifted = now - shiftedAt >= intervalMs;
    if (hasShifted) shiftedAt = now;
    shifts.recordPlan(hasShifted ? SHIFTED_SKEW : BALANCED_SKEW, BALANCED_SKEW, now);
  }
  return shifts.estimate(durationMs);
}

describe('interval between shifts of demand', () => {
  it('guards against plans for shifts at another rate than observed', () => {
    for (const intervalMs of [1_500, 3_000, 6_000, 15_000]) {
      expect(observeShifts(intervalMs, 90_000), `${intervalMs} ms`).to.be.within(
        intervalMs * 0.8,
        intervalMs * 1.25,
      );
    }
  });

  it('guards against demand that has become steady and is planned for as if it shifted', () => {
    const shifts = new ShiftInterval();
    for (let now = 0; now <= 12_000; now += 3_000)
      shifts.recordPlan(SHIFTED_SKEW, BALANCED_SKEW, now);
    expect(shifts.estimate(12_000)).to.equal(3_000);
    expect(shifts.estimate(24_000)).to.equal(12_000);
  });

  it('guards against one shift that several plans see and is counted as several', () => {
    const shifts = new ShiftInterval();
    for (let now = 0; now <= 9_000; now += 3_000) {
      for (const at of [now, now + 300, now + 600])
        shifts.recordPlan(SHIFTED_SKEW, BALANCED_SKEW, at);
    }
    expect(shifts.estimate(9_600)).to.be.within(2_700, 3_300);
  });
});
