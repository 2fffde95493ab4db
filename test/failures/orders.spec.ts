import { expect } from 'chai';
import { createBaselineAgent } from '../../bench/proofs/baselineAgent.js';
import { createCallers, createBaselineCallers } from '../../bench/proofs/orderCallers.js';
import type { OrderFleet } from '../../bench/proofs/orderFleet.js';
import { startOrderFleet } from '../../bench/proofs/orderFleet.js';
import type { PlacedOrder, ReportedState } from '../../bench/proofs/orderVerifier.js';
import { verifyOrders } from '../../bench/proofs/orderVerifier.js';
import { runOrders } from '../../bench/proofs/orders.js';

const SEED = 11;
const TEST_TIMEOUT_MS = 60_000;
/** Several times the response delay of the services. */
const SETTLE_MS = 500;

describe('checker of the order proof', () => {
  const checkOrder = (belief: ReportedState, ran: number, reachable = true) => {
    const order: PlacedOrder = { reportedState: belief, fault: 'linkCut', reachable };
    const { run_twice, false_not_run, lost_done, ...rest } = verifyOrders(
      new Map([['a', order]]),
      new Map([['a', ran]]),
    );
    return { failures: [run_twice, false_not_run, lost_done], ...rest };
  };

  it('guards against a failure that is not counted or is counted in the wrong category', () => {
    expect(checkOrder('done', 1).failures).to.deep.equal([0, 0, 0]);
    expect(checkOrder('not-run', 0).failures).to.deep.equal([0, 0, 0]);
    expect(checkOrder('unknown', 1).failures).to.deep.equal([0, 0, 0]);
    expect(checkOrder('unknown', 2).failures).to.deep.equal([1, 0, 0]);
    expect(checkOrder('not-run', 1).failures).to.deep.equal([0, 1, 0]);
    expect(checkOrder('not-run', 2).failures).to.deep.equal([1, 1, 0]);
    expect(checkOrder('done', 0).failures).to.deep.equal([0, 0, 1]);
  });

  it('guards against attributing unknown outcomes of reachable agents to lost agents', () => {
    expect(checkOrder('unknown', 0)).to.deep.include({
      unknown: 1,
      unknown_by_fault: { linkCut: 1 },
      unknown_reachable_ratio: 1,
    });
    expect(checkOrder('unknown', 0, false).unknown_reachable_ratio).to.equal(0);
    expect(checkOrder('done', 1).unknown_reachable_ratio).to.equal(0);
  });
});

describe('orders under real faults', function () {
  this.timeout(TEST_TIMEOUT_MS);
  let fleet: OrderFleet;
  before(async () => {
    fleet = await startOrderFleet('source');
  });
  after(() => fleet.stop());

  const checkRun = async (
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

  it('guards against orders executed twice, or falsely reported as not-run or done (R3, R4)', async () => {
    const faults = ['replyLost', 'resetAfterRun', 'linkCut', 'agentPaused'];
    const verdict = await checkRun('ours', createCallers(fleet), faults);
    expect(verdict).to.deep.include({ run_twice: 0, false_not_run: 0, lost_done: 0 });
    expect(verdict.done).to.be.greaterThan(0);
    expect(verdict.unknown_by_fault).to.not.have.any.keys('replyLost', 'linkCut', 'agentPaused');
  });

  it('shows that callers and agents that resend execute orders twice under the same faults', async () => {
    const callers = await checkRun('naive', createBaselineCallers(fleet), ['replyLost']);
    expect(callers.run_twice).to.be.greaterThan(0);
    const resending = createBaselineAgent(fleet, true);
    const agent = await checkRun('resending', resending, ['resetAfterRun']);
    expect(agent.run_twice).to.be.greaterThan(0);
  });
});
