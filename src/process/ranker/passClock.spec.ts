import { expect } from 'chai';
import { PassClock } from './passClock.js';
import type { RankReport } from './types.js';

const PASS_MS = 80;
const POLL_MS = 140;

const createReport = (pass: number, change: Partial<RankReport> = {}): RankReport => ({
  group: 'g0',
  epoch: 1,
  rank: 0,
  size: 32,
  isOpen: true,
  startedAt: 1,
  pass,
  map: 0,
  prepared: undefined,
  armed: undefined,
  held: undefined,
  running: 7,
  queued: 0,
  ...change,
});

describe('pass clock', () => {
  // A wrong estimate names the pass of a switch too early, and the group stands still before it.
  it('guards against a wrong pass time when reports are less frequent than passes', () => {
    const clock = new PassClock();
    for (let now = 0; now <= 4_200; now += POLL_MS) {
      clock.observe(createReport(Math.floor(now / PASS_MS)), now);
    }
    expect(clock.passMs).to.be.closeTo(PASS_MS, PASS_MS / 4);
    expect(clock.estimateStart(60)).to.be.closeTo(60 * PASS_MS, POLL_MS);
  });

  // The time that a group is idle or held is not the time of a pass.
  it('guards against counting idle and held time as the time of a pass', () => {
    const clock = new PassClock();
    for (let now = 0; now <= 1_400; now += POLL_MS) {
      clock.observe(createReport(Math.floor(now / PASS_MS)), now);
    }
    clock.observe(createReport(17, { running: 0 }), 1_540);
    clock.observe(createReport(17, { running: 0 }), 9_000);
    // A change of an idle group does not wait.
    expect(clock.estimateStart(18)).to.equal(undefined);
    clock.observe(createReport(17, { held: 18 }), 9_140);
    clock.observe(createReport(17, { held: 18 }), 12_000);
    clock.observe(createReport(18), 12_080);
    expect(clock.passMs).to.be.closeTo(PASS_MS, PASS_MS / 4);
  });
});
