import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { Metrics } from '../metrics.js';
import { coordinateGroup } from './coordinator.js';
import { GroupView } from './groupView.js';
import { PlanRate } from './planRate.js';
import { packSelections } from './selectionCodec.js';
import type { RankReport } from './types.js';

const RANKS = 4;
const DURATION_MS = 800;
const STATUS_INTERVAL_MS = 4;
/** The group is checked every 80 ms. */
const MAX_PLANS = 12;
const layout = {
  layers: 1,
  expertsPerLayer: 4,
  slotsPerRank: 1,
  maxLoadsPerLayer: 1,
  copyMs: 37,
  expertShare: 0.85,
};
const logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

const createReport = (rank: number): RankReport => ({
  group: 'g0',
  epoch: 1,
  rank,
  size: RANKS,
  isOpen: true,
  startedAt: 1,
  pass: 10,
  map: 0,
  prepared: undefined,
  armed: undefined,
  held: undefined,
  running: 7,
  queued: 0,
});

describe('planning of map changes', () => {
  // A plan at each of some hundred statuses a second took the processor that orders and replies need.
  it('guards against a plan at each status of a rank', async () => {
    const view = new GroupView('g0', RANKS);
    const metrics = new Metrics();
    const stop = new AbortController();
    const sendOrder = (): Promise<'done'> => Promise.resolve('done');
    const readClock = (): number => performance.now();
    const ended = coordinateGroup({
      view,
      logger,
      metrics,
      signal: stop.signal,
      readClock,
      readWallClock: () => Date.now(),
      getLayout: () => layout,
    });
    const endsAt = readClock() + DURATION_MS;
    while (readClock() < endsAt) {
      for (let rank = 0; rank < RANKS; rank += 1) {
        view.applyStatus({ report: createReport(rank), experts: [[rank]] }, sendOrder, readClock());
        const packed = packSelections(Float64Array.from([9_000, 9_000, 9_000, 9_000]));
        view.addSelections(rank, 1, packed, layout, readClock());
      }
      await sleep(STATUS_INTERVAL_MS);
    }
    stop.abort();
    await ended;
    const { count = 0 } = metrics.summarize().latencies.map_plan ?? {};
    expect(count).to.be.greaterThan(0);
    expect(count).to.be.at.most(MAX_PLANS);
  });

  // A plan for a large group takes 30 to 150 ms of its coordinator's processor.
  it('guards against long plans that follow each other at once', () => {
    const rate = new PlanRate();
    const isDue = (now: number): boolean => rate.isDue(now, () => 1.3);
    expect(isDue(0)).to.equal(true);
    rate.recordPlan(0, 40, 1.2);
    expect([isDue(40), isDue(399), isDue(400)]).to.deep.equal([false, false, true]);
  });

  // After a plan of 0.4 s, a shift of demand waited for 3.5 s, in which half of the streams were late.
  it('guards against a shift of demand that waits until the next plan is due', () => {
    const rate = new PlanRate();
    rate.recordPlan(0, 400, 1.3);
    const isDue = (now: number): boolean => rate.isDue(now, () => 2.4);
    expect([isDue(600), isDue(999), isDue(1_000)]).to.deep.equal([false, false, true]);
    rate.recordPlan(1_000, 1_400, 2.4);
    expect(isDue(2_500)).to.equal(false);
  });
});
