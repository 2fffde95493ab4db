import { expect } from 'chai';
import { stopPlans } from '../support/stopPlans.js';
import { countStopCalls, findStopFaults, runStopSoak } from '../support/stopSoak.js';

const SEEDS = Number(process.env.STOP_SEEDS ?? 1);
const FIRST_SEED = Number(process.env.STOP_FIRST_SEED ?? 1);
const PLANS = (process.env.STOP_PLANS ?? 'one,all,series').split(',');
const GATEWAYS = Number(process.env.STOP_GATEWAYS ?? 3);
const CALLERS = Number(process.env.STOP_CALLERS ?? 180);
const UPSTREAMS = 12;
/** Start, signals, stops of 8 s and starts again. */
const RUN_TIMEOUT_MS = 60_000;
/** A soak without complete responses shows nothing. */
const MIN_COMPLETE = 1;

describe('soak of planned stops', () => {
  // Callers use their open connections until the process is gone, so requests come at any time of a stop.
  it('guards against requests that a planned stop cuts, and against refused ones that have run', async function () {
    this.timeout(RUN_TIMEOUT_MS * SEEDS * PLANS.length);
    const found: string[] = [];
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
      for (const name of PLANS) {
        const plan = stopPlans[name];
        if (plan === undefined) throw new Error(`unknown plan "${name}" in STOP_PLANS`);
        const { calls, exits } = await runStopSoak({
          seed: `${name}-${seed}`,
          gateways: GATEWAYS,
          upstreams: UPSTREAMS,
          callers: CALLERS,
          disturb: (control) => plan(control, GATEWAYS),
        });
        const faults = findStopFaults(calls);
        const counts = countStopCalls(calls);
        process.stdout.write(
          `STOPS ${name} seed ${seed} ${JSON.stringify({ counts, faults, exits })}\n`,
        );
        found.push(...faults.map((fault) => `${name} seed ${seed}: ${fault}`));
        expect(calls.filter(({ end }) => end === 'complete').length).to.be.at.least(MIN_COMPLETE);
        expect(exits.every((code) => code === 0)).to.equal(true);
      }
    }
    expect(found).to.deep.equal([]);
  });
});
