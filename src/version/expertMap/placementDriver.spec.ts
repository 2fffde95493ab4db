import { expect } from 'chai';
import { RankGroup } from '../../../test/standins/rankGroup.js';
import { createPlacement } from '../placement/groupPlacement.js';
import { decideWeighed } from '../placement/weighed.js';
import { NumberSource } from './numberSource.js';
import { PlacementDriver } from './placementDriver.js';
import type { Plan } from './planStore.js';
import { RankParticipant } from './rankParticipant.js';
import type { MapMessage, Target } from './types.js';

const RANKS = 2;
const EXPERTS = 4;
const LOAD = [[100, 1, 100, 1]];
const INITIAL_VERSION = 1;

/** A driver and two ranks that have begun incarnation 1; messages are delivered synchronously. */
const createSetup = () => {
  const group = new RankGroup(RANKS, 'checked');
  const plans: Plan[] = [];
  let now = 0;
  const sendToRanks = (target: Target, message: MapMessage): void => {
    for (const [rank, participant] of ranks.entries()) {
      if (!('rank' in target) || target.rank === rank) participant.handle(message, now);
    }
  };
  const driver = new PlacementDriver({
    numbers: new NumberSource(RANKS, 0),
    send: sendToRanks,
    sendPlan: (plan) => plans.push(plan),
    decide: decideWeighed,
    intervalMs: 100,
    prepareTimeoutMs: 200,
    stepMargin: 5,
    limits: {
      ...{ ranks: RANKS, slotsPerRank: 3, bytesPerExpert: 1, storeBytesPerSecond: 1_000 },
      ...{ horizonMs: 60_000, skewWeight: 1, moveWeight: 1 },
    },
  });
  const ranks = group.engines.map((engine, rank) => {
    const send = (target: Target, message: MapMessage): void => {
      if ('coordinator' in target) driver.handle(message, now);
    };
    const process = `p${rank}`;
    return new RankParticipant({ rank, process, engine, send, maxPauseMs: 1_000 }, 0);
  });
  for (const [rank, participant] of ranks.entries()) {
    const begin = { type: 'begin' as const, incarnation: 1, fencing: 1, version: INITIAL_VERSION };
    participant.handle({ ...begin, process: `p${rank}` }, 0);
    driver.recordLoad(rank, LOAD);
  }
  const current = { version: INITIAL_VERSION, placement: createPlacement(1, EXPERTS, RANKS) };
  const run = (untilMs: number, loaded: (rank: number) => readonly number[]): void => {
    for (; now <= untilMs; now += 10) {
      const progress = ranks.map((participant, rank) => ({
        step: participant.step,
        promised: participant.fencing,
        loaded: loaded(rank),
      }));
      driver.update(1, current, progress, now);
    }
  };
  return { driver, ranks, plans, run, sendToRanks };
};

describe('placement in a running group', () => {
  it('guards against a change before every rank has loaded its weights', () => {
    const { driver, ranks, plans, run } = createSetup();
    run(300, () => []);
    const version = plans[0]!.version;
    run(400, (rank) => (rank === 0 ? [version] : []));
    expect(ranks.map((rank) => rank.targetVersion)).to.deep.equal([
      INITIAL_VERSION,
      INITIAL_VERSION,
    ]);
    run(500, () => [version]);
    expect(ranks.map((rank) => rank.targetVersion)).to.deep.equal([version, version]);
    expect(driver.lastChange?.outcome).to.equal('commit');
  });

  it('guards against a coordinator that waits forever after a promise to a higher fencing number', () => {
    const { driver, ranks, plans, run, sendToRanks } = createSetup();
    run(50, () => []);
    const higherFencing = driver.fencing + 1;
    sendToRanks(
      { ranks: 'others' },
      { type: 'promiseRequest', incarnation: 1, fencing: higherFencing },
    );
    run(2_000, () => plans.map(({ version }) => version));
    expect(driver.fencing).to.be.greaterThan(higherFencing);
    expect(ranks[0]!.targetVersion).not.to.equal(INITIAL_VERSION);
  });
});
