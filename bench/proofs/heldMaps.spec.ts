import { expect } from 'chai';
import { runMapSchedule } from './heldMaps.js';

const SCHEDULES = 40;
/** Callers abandon a stream after a gap of this length. */
const CALLER_STALL_TIMEOUT_MS = 2_000;

describe('map changes over unreliable orders', () => {
  it('guards against a pass with two maps and a group that stays held', async function () {
    this.timeout(120_000);
    let switched = 0;
    for (let seed = 1; seed <= SCHEDULES; seed += 1) {
      const result = await runMapSchedule(`held-${seed}`, 'held');
      expect(result.mixedPasses, `seed held-${seed}`).to.equal(0);
      expect(result.isStalled, `seed held-${seed}`).to.equal(false);
      switched += result.switched;
    }
    expect(switched).to.be.greaterThan(SCHEDULES);
  });

  it('guards against two maps in a pass in the rare schedules that a long proof has found', async function () {
    this.timeout(60_000);
    for (const seed of ['1/196', '1/442', '1/631', '1/1313', '1/1752']) {
      expect((await runMapSchedule(seed, 'held')).mixedPasses, `seed ${seed}`).to.equal(0);
    }
  });

  it('guards against two maps in a pass when a frozen coordinator resumes', async function () {
    this.timeout(60_000);
    for (let seed = 1; seed <= 10; seed += 1) {
      const options = { hasFreezes: true };
      const { mixedPasses, isStalled } = await runMapSchedule(`frozen-${seed}`, 'held', options);
      expect(mixedPasses, `seed frozen-${seed}`).to.equal(0);
      expect(isStalled, `seed frozen-${seed}`).to.equal(false);
    }
  });

  it('guards against a group that stays held while the host of its coordinator is frozen', async function () {
    this.timeout(60_000);
    for (let seed = 1; seed <= 10; seed += 1) {
      const options = { hasFreezes: true };
      const { longestHoldMs } = await runMapSchedule(`frozen-${seed}`, 'held', options);
      expect(longestHoldMs, `seed frozen-${seed}`).to.be.at.most(CALLER_STALL_TIMEOUT_MS);
    }
  });

  it('shows that arming without a held pass mixes maps', async function () {
    this.timeout(60_000);
    let mixed = 0;
    for (let seed = 1; seed <= 10; seed += 1) {
      mixed += (await runMapSchedule(`naive-${seed}`, 'naive')).mixedPasses;
    }
    expect(mixed).to.be.greaterThan(0);
  });
});
