import { expect } from 'chai';
import { createNaiveAgent } from '../../bench/proofs/naiveAgent.js';
import { createCallers, createNaiveCallers } from '../../bench/proofs/orderCallers.js';
import type { OrderFleet } from '../../bench/proofs/orderFleet.js';
import { startOrderFleet } from '../../bench/proofs/orderFleet.js';
import type { PlacedOrder, ReportedState } from '../../bench/proofs/orderVerifier.js';
import { verifyOrders } from '../../bench/proofs/orderVerifier.js';
import { runOrders } from '../../bench/proofs/orders.js';

const SEED = 11;
const LIMIT_MS = 60_000;
/** Several times the services' delay. */
const SETTLE_MS = 500;

describe('judge of the order proof', () => {
  const judge = (belief: ReportedState, ran: number, reachable = true) => {
    const order: PlacedOrder = { reportedState: belief, fault: 'linkCut', reachable };
    const { run_twice, false_not_run, lost_done, ...rest } = verifyOrders(
      new Map([['a', order]]),
      new Map([['a', ran]]),
    );
    return { failures: [run_twice, false_not_run, lost_done], ...rest };
  };

  it('guards against a failure that is not counted, or counted as another', () => {
    expect(judge('done', 1).failures).to.deep.equal([0, 0, 0]);
    expect(judge('not-run', 0).failures).to.deep.equal([0, 0, 0]);
    expect(judge('unknown', 1).failures).to.deep.equal([0, 0, 0]);
    expect(judge('unknown', 2).failures).to.deep.equal([1, 0, 0]);
    expect(judge('not-run', 1).failures).to.deep.equal([0, 1, 0]);
    expect(judge('not-run', 2).failures).to.deep.equal([1, 1, 0]);
    expect(judge('done', 0).failures).to.deep.equal([0, 0, 1]);
  });

  it('guards against unknown outcomes that are hidden among lost agents', () => {
    expect(judge('unknown', 0)).to.deep.include({
      unknown: 1,
      unknown_by_fault: { linkCut: 1 },
      unknown_reachable_ratio: 1,
    });
    expect(judge('unknown', 0, false).unknown_reachable_ratio).to.equal(0);
    expect(judge('done', 1).unknown_reachable_ratio).to.equal(0);
  });
});

describe('orders under real faults', function () {
  this.timeout(LIMIT_MS);
  let fleet: OrderFleet;
  before(async () => {
    fleet = await startOrderFleet('source');
  });
  after(() => fleet.stop());

  const judgeRun = async (
    label: string,
    callers: ReturnType<typeof createCallers>,
    faults: readonly string[],
  ) => {
    const ordersPerRound = 20;
    const count = ordersPerRound * faults.length;
    const run = { label, seed: SEED, count, faults, ordersPerRound, settleMs: SETTLE_MS };
    const { placed, runs } = await runOrders(fleet, callers, run);
    return verifyOrders(placed, runs);
  };

  it('guards against orders run twice, falsely stated as not-run or done (R3, R4)', async () => {
    const faults = ['replyLost', 'resetAfterRun', 'linkCut', 'agentPaused'];
    const verdict = await judgeRun('ours', createCallers(fleet), faults);
    expect(verdict).to.deep.include({ run_twice: 0, false_not_run: 0, lost_done: 0 });
    expect(verdict.done).to.be.greaterThan(0);
    expect(verdict.unknown_by_fault).to.not.have.any.keys('replyLost', 'linkCut', 'agentPaused');
  });

  it('shows that callers and agents that resend run orders twice under the same faults', async () => {
    const callers = await judgeRun('naive', createNaiveCallers(fleet), ['replyLost']);
    expect(callers.run_twice).to.be.greaterThan(0);
    const resending = createNaiveAgent(fleet, true);
    const agent = await judgeRun('resending', resending, ['resetAfterRun']);
    expect(agent.run_twice).to.be.greaterThan(0);
  });
});
