import { expect } from 'chai';
import type { PeriodResult } from '../support/rateLimitSchedule.js';
import { MEASURED_MS, runRateLimitSchedule } from '../support/rateLimitSchedule.js';

/** More seeds are run by hand. */
const SEEDS = Number(process.env.RATE_LIMIT_SEEDS ?? 24);
const FAULTS = 14;
const MIN_USE = 0.8;
/** Callers that want more than this multiple of a limit keep it in use in spite of random gaps between requests. */
const AMPLE_DEMAND = 1.5;

const seeds = Array.from({ length: SEEDS }, (_, index) => String(index + 1));

const isExceeded = ({ count, allowed }: PeriodResult): boolean => count > allowed;

const isUnderused = ({ perSecond, received, demandPerSecond }: PeriodResult): boolean => {
  if (demandPerSecond < AMPLE_DEMAND * perSecond) return false;
  return received < Math.floor((MIN_USE * perSecond * MEASURED_MS) / 1_000);
};

describe('rate limits of upstreams in random schedules', function () {
  this.timeout(600_000);

  // Permits of several issuers, or of a gateway that has been cut off, could add up beyond the limit.
  it('guards against exceeding a rate limit while links and gateways fail', () => {
    const exceeded: unknown[] = [];
    for (const seed of seeds) {
      const { gateways, periods } = runRateLimitSchedule({
        seed,
        variant: 'permits',
        faults: FAULTS,
      });
      for (const period of periods) {
        if (isExceeded(period)) exceeded.push({ seed, gateways, ...period });
      }
    }
    expect(exceeded).to.deep.equal([]);
  });

  // A gateway that received a late response with the limit does not accept that the limit has ended.
  it('guards against a limit that stays in force after it has ended', () => {
    const stuck: unknown[] = [];
    for (const seed of seeds) {
      const { gateways, releasedMs } = runRateLimitSchedule({
        seed,
        variant: 'permits',
        faults: FAULTS,
      });
      if (!Number.isFinite(releasedMs)) stuck.push({ seed, gateways });
    }
    expect(stuck).to.deep.equal([]);
  });

  it('guards against a limit that is not used although callers want more', () => {
    const underused: unknown[] = [];
    for (const gateways of [1, 2, 4, 16]) {
      for (const perSecond of [0.2, 1, 5, 15, 50]) {
        const schedule = { seed: `${gateways}/${perSecond}`, gateways, perSecond };
        const { periods } = runRateLimitSchedule({ ...schedule, variant: 'permits' });
        for (const period of periods) {
          if (isUnderused(period) || isExceeded(period)) underused.push({ gateways, ...period });
        }
      }
    }
    expect(underused).to.deep.equal([]);
  });

  it('guards against a check that naive limiters pass', () => {
    const schedule = { seed: '1', gateways: 4, perSecond: 1 };
    const own = runRateLimitSchedule({ ...schedule, variant: 'ownCounts' });
    const shared = runRateLimitSchedule({ ...schedule, variant: 'sharedCounts' });
    const blocking = runRateLimitSchedule({ ...schedule, variant: 'blocking' });
    expect(own.periods.some(isExceeded)).to.equal(true);
    expect(shared.releasedMs).to.equal(Infinity);
    expect(blocking.periods.every(isUnderused)).to.equal(true);
    expect(blocking.releasedMs).to.equal(Infinity);
  });
});
