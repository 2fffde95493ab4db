import { expect } from 'chai';
import type { CrashScheduleOptions, CrashScheduleResult } from '../support/crashSchedule.js';
import { runCrashSchedule } from '../support/crashSchedule.js';

/** More seeds are run by hand. */
const SEEDS = Number(process.env.CRASH_SEEDS ?? 12);
const ALLOWED_SENDS = 3;
const MAX_REFUSED_SHARE = 0.5;
const FAULTS = 6;

const severalGateways = [3, 8, 36];
const seeds = Array.from({ length: SEEDS }, (_, index) => String(index + 1));

const isBroken = ({ lateSends, refusedShare }: CrashScheduleResult): boolean =>
  refusedShare > MAX_REFUSED_SHARE || lateSends.some((sends) => sends > ALLOWED_SENDS);

type Variant = Omit<CrashScheduleOptions, 'seed' | 'gateways'>;

/** Lists the schedules that break a bound. */
function findBroken(sizes: readonly number[], variant: Variant): unknown[] {
  const broken: unknown[] = [];
  for (const gateways of sizes) {
    for (const seed of seeds) {
      const result = runCrashSchedule({ ...variant, seed, gateways });
      if (isBroken(result)) broken.push({ gateways, seed, ...result });
    }
  }
  return broken;
}

const variants: Readonly<Record<string, Variant>> = {
  'one part': {},
  'a part that is the first of its prompts': { isFirst: true },
  'two parts at once': { crashingParts: 2 },
  'one topic that all requests share': { topics: 1 },
  'crashes for other reasons, and cut, frozen and restarted gateways': { faults: FAULTS },
  'a restart of all gateways': { restartsAll: true },
};

const hasRestarts = ({ faults, restartsAll }: Variant): boolean =>
  faults !== undefined || restartsAll === true;

describe('crashing prompts in random schedules', function () {
  this.timeout(600_000);

  // Requests with one part crashed upstream after upstream, or sound requests that share its other parts were refused.
  for (const [name, variant] of Object.entries(variants)) {
    it(`guards against sends beyond the bound and refused sound requests; ${name}`, () => {
      const sizes = hasRestarts(variant) ? severalGateways : [1, ...severalGateways];
      expect(findBroken(sizes, variant)).to.deep.equal([]);
    });
  }

  // A gateway without others has nobody to ask after a restart.
  it('guards against sends beyond the bound after restarts of the only gateway', () => {
    expect(findBroken([1], { faults: FAULTS })).to.deep.equal([]);
  });

  it('guards against a check that gateways pass which compare whole requests', () => {
    expect(isBroken(runCrashSchedule({ seed: '1', gateways: 3, ignoresParts: true }))).to.equal(
      true,
    );
  });
});
