import { setImmediate as nextTurn } from 'node:timers/promises';
import { mock } from 'node:test';
import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import { LockstepGroup } from '../../../test/standins/lockstepGroup.js';
import { changeMap } from './changeMap.js';
import { finishStalledChange } from './finishStalledChange.js';
import { GroupView } from './groupView.js';
import { StandstillDetector } from './standstillDetector.js';
import type { OrderOutcome, RankOrder, RankReport } from './types.js';

const RANKS = 3;
const TICK_MS = 5;
const POLL_MS = 70;
const FREEZE_MS = 4_000;
const DEPUTY_TIMEOUT_MS = 600;
/** Longest standstill that callers of a stream hardly notice. */
const MAX_STANDSTILL_MS = 600;
const noFaults = { lost: 0, late: 0, unanswered: 0, duplicated: 0 };
const placement = [Array.from({ length: RANKS }, (_, rank) => [rank])];
const CHANGE_VERSION = 8;
/** Orders of a change without faults: to prepare, to hold, to arm and to release. */
const ORDERS_OF_CHANGE = RANKS + 1 + RANKS + 1;

interface Play {
  readonly mixedPasses: number;
  readonly longestHoldMs: number;
  readonly maps: readonly number[];
}

/** Plays a change whose coordinator freezes before it sends one of its orders, and sends it when it resumes. */
async function playFreeze(
  frozenOrder: number,
  lostOrder: number | undefined,
  hasDeputies: boolean,
): Promise<Play> {
  let now = 0;
  const readClock = (): number => now;
  const group = new LockstepGroup(RANKS, () => 0.5, noFaults, readClock);
  const view = new GroupView('g', RANKS);
  let sent = 0;
  let frozenUntil = 0;
  const sendOrder = async (
    rank: number,
    order: RankOrder,
    epoch: number,
  ): Promise<OrderOutcome> => {
    const index = sent;
    sent += 1;
    if (index === frozenOrder) frozenUntil = now + FREEZE_MS;
    while (now < frozenUntil) await new Promise((resolve) => setTimeout(resolve, TICK_MS));
    if (index === lostOrder) return 'unknown';
    return group.receiveOrder(rank, order, epoch);
  };
  const publish = (): void => {
    for (let rank = 0; rank < RANKS; rank += 1) {
      const status = { report: group.report(rank), experts: [[rank]] };
      view.applyStatus(status, (order, epoch) => sendOrder(rank, order, epoch), now);
    }
  };
  const detectors = group.ranks.map(() => new StandstillDetector());
  const engines = group.ranks.map((_, rank) => ({
    readReport: () => Promise.resolve(Ok(group.report(rank))),
    sendOrder: (order: RankOrder, epoch: number) => group.receiveOrder(rank, order, epoch),
  }));
  const act = (report: RankReport): void => {
    void finishStalledChange(engines, report, now + DEPUTY_TIMEOUT_MS, readClock);
  };
  publish();
  const context = { view, readClock, firstUnusedPass: 0, lastUnansweredOrderAt: -Infinity };
  void changeMap(context, { version: CHANGE_VERSION, epoch: 1, placement });
  let heldSince: number | undefined;
  let longestHoldMs = 0;
  while (now < 2 * FREEZE_MS) {
    now += TICK_MS;
    mock.timers.tick(TICK_MS);
    const passBefore = group.pass;
    const { heldStarts } = group;
    group.run();
    if (group.pass > passBefore) heldSince = undefined;
    else if (group.heldStarts > heldStarts) heldSince ??= now;
    longestHoldMs = Math.max(longestHoldMs, now - (heldSince ?? now));
    if (now >= frozenUntil) publish();
    for (const [rank, detector] of detectors.entries()) {
      if (!hasDeputies || (now + rank * TICK_MS) % POLL_MS !== 0) continue;
      if (detector.observe(group.report(rank), now)) act(group.report(rank));
    }
    await nextTurn();
  }
  return { mixedPasses: group.mixedPasses, longestHoldMs, maps: group.ranks.map(({ map }) => map) };
}

describe('change whose coordinator stops', () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
  });
  afterEach(() => {
    mock.timers.reset();
  });

  it('guards against a group that stands still while its coordinator is frozen at any order of a change', async function () {
    this.timeout(20_000);
    for (let frozenOrder = 0; frozenOrder < ORDERS_OF_CHANGE; frozenOrder += 1) {
      const play = await playFreeze(frozenOrder, undefined, true);
      expect(play.mixedPasses, `order ${frozenOrder}`).to.equal(0);
      expect(play.longestHoldMs, `order ${frozenOrder}`).to.be.at.most(MAX_STANDSTILL_MS);
      // Copies that are ordered after seconds come too late, so the group keeps its map.
      const version = frozenOrder < RANKS ? 0 : CHANGE_VERSION;
      expect(play.maps, `order ${frozenOrder}`).to.deep.equal(new Array(RANKS).fill(version));
    }
  });

  it('guards against two maps in a pass when the coordinator also loses one of its orders', async function () {
    this.timeout(60_000);
    for (let frozenOrder = RANKS; frozenOrder < ORDERS_OF_CHANGE + 2; frozenOrder += 1) {
      for (let lostOrder = RANKS; lostOrder < ORDERS_OF_CHANGE + 2; lostOrder += 1) {
        const play = await playFreeze(frozenOrder, lostOrder, true);
        const name = `frozen at ${frozenOrder}, lost ${lostOrder}`;
        expect(play.mixedPasses, name).to.equal(0);
        expect(play.longestHoldMs, name).to.be.at.most(MAX_STANDSTILL_MS);
      }
    }
  });

  it('shows that without a deputy the group stands still as long as the coordinator', async () => {
    const { longestHoldMs } = await playFreeze(RANKS + 1, undefined, false);
    expect(longestHoldMs).to.be.greaterThan(FREEZE_MS / 2);
  });

  it('guards against orders for a change that is being undone', async () => {
    const report = (rank: number): RankReport => ({
      group: 'g',
      epoch: 1,
      rank,
      size: RANKS,
      isOpen: true,
      startedAt: 1,
      pass: 4,
      map: 2,
      prepared: CHANGE_VERSION,
      armed: { version: CHANGE_VERSION, pass: 5 },
      held: rank < 2 ? 5 : undefined,
      running: 1,
      queued: 0,
    });
    const orders: RankOrder[] = [];
    const engines = [0, 1, 2].map((rank) => ({
      readReport: () => Promise.resolve(Ok(report(rank))),
      sendOrder: (order: RankOrder) => {
        orders.push(order);
        return Promise.resolve('done' as const);
      },
    }));
    let now = 0;
    const ended = finishStalledChange(engines, report(2), 100, () => (now += 60));
    mock.timers.tick(60);
    for (let turn = 0; turn < 10; turn += 1) {
      await nextTurn();
      mock.timers.tick(60);
    }
    expect((await ended).end).to.equal('being_undone');
    expect(orders).to.deep.equal([]);
  });

  // All ranks of this and of the other group are armed alike, so only the name and the rank tell them apart.
  it('guards against releasing a pass by reports of a replaced upstream', async () => {
    const own = { group: 'g', epoch: 1, pass: 4 };
    for (const foreign of [{ group: 'other' }, { rank: 0 }, { epoch: 2 }, { isOpen: false }]) {
      const orders: RankOrder[] = [];
      const engines = [0, 1].map((rank) => ({
        readReport: () =>
          Promise.resolve(
            Ok({
              ...own,
              rank,
              size: 2,
              isOpen: true,
              startedAt: 1,
              map: 2,
              prepared: CHANGE_VERSION,
              armed: { version: CHANGE_VERSION, pass: 5 },
              held: rank === 0 ? 5 : undefined,
              running: 1,
              queued: 0,
              ...(rank === 1 ? foreign : {}),
            }),
          ),
        sendOrder: (order: RankOrder) => {
          orders.push(order);
          return Promise.resolve('done' as const);
        },
      }));
      expect((await finishStalledChange(engines, own, 100, () => 0)).end).to.equal('unclear');
      expect(orders).to.deep.equal([]);
    }
  });

  it('guards against waiting for an engine that does not answer', async () => {
    const engine = {
      readReport: () => Promise.resolve(Err('timeout' as const)),
      sendOrder: () => Promise.resolve('unknown' as const),
    };
    const own = { group: 'g', epoch: 1, pass: 4 };
    const result = await finishStalledChange([engine, engine], own, 100, () => 0);
    expect(result).to.deep.equal({ end: 'unread', unread: [0] });
  });
});
