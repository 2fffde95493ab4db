import { expect } from '../../../test/support/snapshot.js';
import type { StopSituation } from './stopPolicy.js';
import { decideSending, decideTaking } from './stopPolicy.js';

const running: StopSituation = {
  kind: 'stream',
  remainingMs: Infinity,
  stopMs: 7_500,
  limitMs: 8_000,
  durations: undefined,
  listeningMs: Infinity,
  isBehindOther: false,
};
const take = (expectedMs: number, samples = 64): StopSituation['durations'] => ({
  expectedMs,
  longestMs: expectedMs,
  samples,
});

/** Decisions by situation: taken on arrival, sent afterwards. */
const situations: readonly [string, Partial<StopSituation>][] = [
  ['not stopping', { durations: take(9_000) }],
  ['not stopping, behind another', { isBehindOther: true }],
  ['listening, takes 4 of 5 s', { remainingMs: 5_000, durations: take(4_000), listeningMs: 100 }],
  ['listening, takes 6 of 5 s', { remainingMs: 5_000, durations: take(6_000), listeningMs: 100 }],
  ['listening, unknown', { remainingMs: 5_000, listeningMs: 100 }],
  ['listening, once, unknown', { kind: 'once', remainingMs: 5_000, listeningMs: 100 }],
  ['listening, behind another', { remainingMs: 5_000, isBehindOther: true, listeningMs: 100 }],
  ['closed, takes 2 of 4 s', { remainingMs: 4_000, durations: take(2_000), listeningMs: 0 }],
  ['closed, takes 1 of 4 s', { remainingMs: 4_000, durations: take(1_000), listeningMs: 0 }],
  ['closed, 7 took 1 of 4 s', { remainingMs: 4_000, durations: take(1_000, 7), listeningMs: 0 }],
  ['closed, ends by its limit', { remainingMs: 4_000, limitMs: 4_000, listeningMs: 0 }],
  ['closed, ends after the stop', { remainingMs: 4_000, limitMs: 4_001, listeningMs: 0 }],
  ['late, once, unknown', { kind: 'once', remainingMs: 3_000, listeningMs: 0 }],
  ['over', { remainingMs: -1, listeningMs: 0 }],
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
