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

describe('worth of map changes', () => {
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
      'passes of a third of the gap': 550,
      'passes of half of the gap': 400,
      'passes that take the gap': 90,
      'a longer gap': 200,
    });
  });
});
