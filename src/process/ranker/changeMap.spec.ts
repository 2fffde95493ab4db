import { setImmediate as nextTurn } from 'node:timers/promises';
import { mock } from 'node:test';
import { expect } from 'chai';
import { LockstepGroup } from '../../../test/standins/lockstepGroup.js';
import type { ChangeOutcome } from './changeMap.js';
import { changeMap } from './changeMap.js';
import type { RankState } from './groupView.js';
import { GroupView } from './groupView.js';
import { resolveHeldPass } from './resolveHeldPass.js';

const RANKS = 4;
const TICK_MS = 5;
const LOCAL_STATUS_MS = 20;
const OTHER_STATUS_MS = 420;
/** Time that an order for one rank takes on the coordinator's link, in each direction. */
const ORDER_SPACING_MS = 0.7;
const noFaults = { lost: 0, late: 0, unanswered: 0, duplicated: 0 };
const placement = [Array.from({ length: RANKS }, (_, rank) => [rank])];

describe('map change', () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
  });
  afterEach(() => {
    mock.timers.reset();
  });

  const run = async (
    untilMs: number,
    isReported: (rank: number, now: number, group: LockstepGroup) => boolean,
  ): Promise<{ outcome: ChangeOutcome | undefined; tookMs: number; view: GroupView }> => {
    let now = 0;
    const group = new LockstepGroup(
      RANKS,
      () => 0.5,
      noFaults,
      () => now,
    );
    const view = new GroupView('g', RANKS);
    const publish = (rank: number): void => {
      const status = { report: group.report(rank), experts: [[rank]] };
      view.applyStatus(status, (order, epoch) => group.receiveOrder(rank, order, epoch), now);
    };
    for (let rank = 0; rank < RANKS; rank += 1) publish(rank);
    let outcome: ChangeOutcome | undefined;
    const context = {
      view,
      readClock: () => now,
      firstUnusedPass: 0,
      lastUnansweredOrderAt: -Infinity,
    };
    void changeMap(context, { version: 5, epoch: 1, placement }).then((ended) => {
      outcome = ended;
    });
    while (outcome === undefined && now < untilMs) {
      now += TICK_MS;
      mock.timers.tick(TICK_MS);
      group.run();
      for (let rank = 0; rank < RANKS; rank += 1) if (isReported(rank, now, group)) publish(rank);
      await nextTurn();
    }
    return { outcome, tookMs: now, view };
  };

  it('guards against changes delayed by the infrequent reports of the other ranks', async () => {
    const { outcome, tookMs, view } = await run(3000, (rank, now, group) => {
      const isCopying = group.report(rank).prepared === undefined || now < 200;
      return now % (rank === 0 || isCopying ? LOCAL_STATUS_MS : OTHER_STATUS_MS) === 0;
    });
    expect(outcome).to.equal('switched');
    // The copy takes 150 ms, the next pass begins within 50 ms, reports arrive every 20 ms.
    expect(tookMs).to.be.at.most(300);
    expect([...view.ranks.values()].map(({ report }) => report.map)).to.deep.equal([5, 5, 5, 5]);
  });

  it('guards against a stale report that reverts the map after a switch', async () => {
    const { view } = await run(3000, (_rank, now) => now % LOCAL_STATUS_MS === 0);
    const stale = { ...view.ranks.get(2)!.report, map: 0 };
    view.applyStatus({ report: stale }, view.ranks.get(2)!.sendOrder, 1000);
    expect(view.ranks.get(2)!.report.map).to.equal(5);
    expect(view.assemblePlacement([...view.ranks.values()])).to.deep.equal(placement);
  });

  it('guards against a pass that stays held when a rank does not respond', async () => {
    const { outcome } = await run(20_000, (rank, now) => rank !== 3 && now % LOCAL_STATUS_MS === 0);
    expect(outcome).to.equal('not_prepared');
  });

  // An engine that refuses connections fails each order at once, which kept its ranker busy with resends.
  it('guards against resends without a pause to an engine that is unreachable', async () => {
    let now = 0;
    let holds = 0;
    const group = new LockstepGroup(
      RANKS,
      () => 0.5,
      noFaults,
      () => now,
    );
    const view = new GroupView('g', RANKS);
    const sendOrder: RankState['sendOrder'] = async (order, epoch) => {
      if (order.kind !== 'hold') return group.receiveOrder(0, order, epoch);
      holds += 1;
      return 'unknown';
    };
    const publish = (): void => {
      for (let rank = 0; rank < RANKS; rank += 1) {
        const status = { report: { ...group.report(rank), prepared: 6 }, experts: [[rank]] };
        view.applyStatus(status, sendOrder, now);
      }
    };
    publish();
    const context = {
      view,
      readClock: () => now,
      firstUnusedPass: 0,
      lastUnansweredOrderAt: -Infinity,
    };
    const ended = changeMap(context, { version: 6, epoch: 1, placement });
    while (now < 2_000) {
      now += TICK_MS;
      mock.timers.tick(TICK_MS);
      publish();
      await nextTurn();
    }
    expect(await ended).to.equal('not_held');
    expect(holds).to.be.within(2, 100);
  });

  // A wait at the held pass of more than some 30 ms makes every running stream of the group late.
  it('guards against a large group that stands still at the held pass while slow orders arrive', async () => {
    const ranks = 32;
    const changes = 12;
    let now = 0;
    const group = new LockstepGroup(
      ranks,
      () => 0.5,
      noFaults,
      () => now,
    );
    const view = new GroupView('g', ranks);
    // The orders of a change leave one after the other over the coordinator's link.
    const waitForLink = (rank: number): Promise<void> =>
      new Promise((resolve) => setTimeout(resolve, rank * ORDER_SPACING_MS));
    const publish = (rank: number): void => {
      const status = { report: group.report(rank), experts: [[rank]] };
      const sendOrder: RankState['sendOrder'] = async (order, epoch) => {
        await waitForLink(rank);
        const outcome = await group.receiveOrder(rank, order, epoch);
        await waitForLink(rank);
        return outcome;
      };
      view.applyStatus(status, sendOrder, now);
    };
    for (let rank = 0; rank < ranks; rank += 1) publish(rank);
    const context = {
      view,
      readClock: () => now,
      firstUnusedPass: 0,
      lastUnansweredOrderAt: -Infinity,
    };
    const outcomes: ChangeOutcome[] = [];
    const heldStarts: number[] = [];
    const largePlacement = [Array.from({ length: ranks }, (_, rank) => [rank])];
    const makeChanges = async (): Promise<void> => {
      await new Promise((resolve) => setTimeout(resolve, 1_000));
      for (let version = 1; version <= changes; version += 1) {
        const before = group.heldStarts;
        outcomes.push(await changeMap(context, { version, epoch: 1, placement: largePlacement }));
        heldStarts.push(group.heldStarts - before);
      }
    };
    void makeChanges();
    while (outcomes.length < changes && now < 60_000) {
      now += TICK_MS;
      mock.timers.tick(TICK_MS);
      group.run();
      for (let rank = 0; rank < ranks; rank += 1) {
        if (now % (rank === 0 ? LOCAL_STATUS_MS : 60) === 0) publish(rank);
      }
      await nextTurn();
    }
    expect(outcomes).to.deep.equal(new Array(changes).fill('switched'));
    expect(group.mixedPasses).to.equal(0);
    // The time to arm is not known before the first change.
    expect(heldStarts.slice(1)).to.deep.equal(new Array(changes - 1).fill(0));
  });
});

describe('pass held by an earlier coordinator', () => {
  // Guards against a pass with two maps after a coordinator was killed while it undid a change.
  it('guards against completing a change whose ranks a late order may still disarm', async () => {
    mock.timers.enable({ apis: ['setTimeout'] });
    let now = 0;
    const ranks = 3;
    const readClock = (): number => now;
    const group = new LockstepGroup(ranks, () => 0.5, noFaults, readClock);
    group.isIdle = true;
    const view = new GroupView('g', ranks);
    const publish = (): void => {
      for (let rank = 0; rank < ranks; rank += 1) {
        const status = { report: group.report(rank), experts: [[rank]] };
        view.applyStatus(status, (order, epoch) => group.receiveOrder(rank, order, epoch), now);
      }
    };
    const pass = group.pass + 2;
    const arm = { kind: 'arm', version: 5, pass } as const;
    // The earlier coordinator has armed one rank only, and its order to disarm that rank is late.
    for (let rank = 0; rank < ranks; rank += 1)
      void group.receiveOrder(rank, { kind: 'prepare', version: 5, placement }, 1);
    const run = async (durationMs: number): Promise<void> => {
      for (const endsAt = now + durationMs; now < endsAt;) {
        now += TICK_MS;
        mock.timers.tick(TICK_MS);
        group.run();
        publish();
        await nextTurn();
      }
    };
    await run(400);
    void group.receiveOrder(0, { kind: 'hold', pass }, 1);
    void group.receiveOrder(1, arm, 1);
    publish();
    const context = {
      view,
      readClock,
      firstUnusedPass: 0,
      lastUnansweredOrderAt: -Infinity,
    };
    void resolveHeldPass(context, [...view.ranks.values()], pass);
    await run(1_000);
    void group.receiveOrder(1, { kind: 'disarm', version: 5 }, 1);
    group.isIdle = false;
    await run(500);
    mock.timers.reset();
    expect(group.pass).to.be.greaterThan(pass);
    expect(group.mixedPasses).to.equal(0);
  });
});
