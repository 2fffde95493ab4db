import { expect } from '../../../test/support/snapshot.js';
import type { StopSituation } from './stopPolicy.js';
import { decideSending, decideTaking } from './stopPolicy.js';

const running: StopSituation = {
  remainingMs: Infinity,
  limitMs: 8_000,
  expectedMs: 9_000,
  listeningMs: Infinity,
};

/** Decisions by situation: taken on arrival, sent (once more) afterwards. */
const situations: readonly [string, Partial<StopSituation>][] = [
  ['not stopping', {}],
  ['listening, expected to finish', { remainingMs: 5_000, expectedMs: 4_000, listeningMs: 100 }],
  ['listening, duration unknown', { remainingMs: 5_000, expectedMs: undefined, listeningMs: 100 }],
  ['listening, expected to be cut', { remainingMs: 5_000, expectedMs: 6_000, listeningMs: 100 }],
  ['closed, expected to finish', { remainingMs: 4_000, expectedMs: 1_000, listeningMs: 0 }],
  ['closed, ends by its limit', { remainingMs: 4_000, limitMs: 4_000, listeningMs: 0 }],
  ['closed, ends after the stop', { remainingMs: 4_000, limitMs: 4_001, listeningMs: 0 }],
  ['over', { remainingMs: -1, expectedMs: undefined, listeningMs: 0 }],
];

describe('stopPolicy', () => {
  // A request is cut if it is begun without time to end, and refused without need if it has that time.
  it('guards against work that is begun without time to end', () => {
    const decisions = situations.map(([name, fields]) => {
      const situation = { ...running, ...fields };
      const taken = decideTaking(situation) ? 'taken' : 'refused';
      return `${name}: ${taken}, ${decideSending(situation) ? 'sent' : 'ended'}`;
    });
    expect(decisions).toMatchSnapshot();
  });
});
