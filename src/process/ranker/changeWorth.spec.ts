import { expect } from 'chai';
import { isChangeWorthwhile } from './changeWorth.js';

const PERSISTENCE_MS = 3_000;
const loads = [
  { name: 'no pass measured yet', passMs: undefined, maxGapMs: 120 },
  { name: 'no gap stated', passMs: 40, maxGapMs: undefined },
  { name: 'passes of a third of the gap', passMs: 40, maxGapMs: 120 },
  { name: 'passes of half of the gap', passMs: 60, maxGapMs: 120 },
  { name: 'passes that take the gap', passMs: 110, maxGapMs: 120 },
  { name: 'a longer gap', passMs: 110, maxGapMs: 150 },
];

/** Saved of 3 s by a change from one skew to another, where 0.85 of a pass depend on the map. */
const computeSaved = (skewBefore: number, skewAfter: number): number =>
  (PERSISTENCE_MS * 0.85 * (skewBefore - skewAfter)) / (0.15 + 0.85 * skewBefore);

describe('worth of map changes', () => {
  // Passes are measured as a mean that lags behind a shift, so a shift must be followed even while they seem short.
  it('guards against a shift of demand that is not followed, as passes were short before it', () => {
    const benefit = { persistenceMs: PERSISTENCE_MS, passMs: 55, maxGapMs: 120 };
    const isFollowed = (skewBefore: number): boolean =>
      isChangeWorthwhile({ ...benefit, savedMs: computeSaved(skewBefore, 1.1) });
    expect([1.15, 1.2, 1.3, 1.5, 2].map(isFollowed)).to.deep.equal([
      false,
      false,
      true,
      true,
      true,
    ]);
  });

  it('guards against changes for small shifts of demand under low load, and against none under high load', () => {
    const smallest: Record<string, number> = {};
    for (const { name, passMs, maxGapMs } of loads) {
      let savedMs = 0;
      const persistenceMs = PERSISTENCE_MS;
      while (!isChangeWorthwhile({ savedMs, persistenceMs, passMs, maxGapMs })) savedMs += 10;
      smallest[name] = savedMs;
    }
    expect(smallest).to.deep.equal({
      'no pass measured yet': 90,
      'no gap stated': 90,
      'passes of a third of the gap': 280,
      'passes of half of the gap': 220,
      'passes that take the gap': 90,
      'a longer gap': 140,
    });
  });
});
