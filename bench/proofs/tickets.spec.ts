import { expect } from 'chai';
import { startDistributedNode, startBaselineNode } from './ticketFleet.js';
import { runFleet } from './ticketRun.js';
import { meetsTicketTarget } from './tickets.js';

describe('tickets under faults', () => {
  it('guards against late and reverted tickets, which a fleet that only reads the platform has', async () => {
    const options = { seed: 7, processes: 8, durationMs: 5_000, settleMs: 2_000 };
    const [distributed, baseline] = await Promise.all([
      runFleet(options, startDistributedNode),
      runFleet(options, startBaselineNode),
    ]);
    expect(distributed, JSON.stringify(distributed)).to.include({ reverts: 0, missing: 0 });
    expect(distributed.samples).to.be.greaterThan(0);
    expect(meetsTicketTarget(distributed), JSON.stringify(distributed)).to.equal(true);
    expect(baseline.reverts).to.be.greaterThan(0);
  }).timeout(30_000);
});
