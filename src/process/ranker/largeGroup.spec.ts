import { setImmediate as nextTurn } from 'node:timers/promises';
import { mock } from 'node:test';
import { expect } from 'chai';
import { LockstepGroup } from '../../../test/standins/lockstepGroup.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { ChangeOutcome } from './changeMap.js';
import { changeMap } from './changeMap.js';
import { GroupView } from './groupView.js';
import { OrderTimeout } from './orderTimeout.js';
import { RankOrderDecoder, RemoteRank, SharedPlacementEncoder } from './remoteRankOrders.js';

const TICK_MS = 5;
/** Time of the coordinator's processor, at 0.4 of a core, for one frame sent or received. */
const FRAME_MS = 1.2;
const STATUS_MS = 60;
const CHANGES = 10;
const ORDERS_PER_CHANGE = 2;
const noFaults = { lost: 0, late: 0, unanswered: 0, duplicated: 0 };

/** Coordinator whose frames wait for its processor, over the orders and replies of all ranks. */
class BusyCoordinator {
  sentOrders = 0;
  private freeAt = 0;

  constructor(private readonly readClock: () => number) {}

  /** Runs an action when the processor has handled one more frame. */
  handleFrame(action: () => void): void {
    this.freeAt = Math.max(this.freeAt, this.readClock()) + FRAME_MS;
    setTimeout(action, this.freeAt - this.readClock());
  }

  connect(rank: number, group: LockstepGroup, timeout: OrderTimeout): RemoteRank {
    const decoder = new RankOrderDecoder();
    const send = (message: Message): boolean => {
      this.sentOrders += 1;
      const { call, epoch, order } = message as MessageOf<'rankOrder'>;
      this.handleFrame(() => {
        const decoded = decoder.decodeOrder({ call, order });
        if (decoded === undefined) throw new Error('order was not decoded');
        void group.receiveOrder(rank, decoded, epoch).then((outcome) => {
          this.handleFrame(() => {
            remote.receiveReply({ call, outcome });
          });
        });
      });
      return true;
    };
    const remote = new RemoteRank({ send }, new SharedPlacementEncoder(), timeout, this.readClock);
    return remote;
  }
}

describe('map changes of a large group', () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
  });
  afterEach(() => {
    mock.timers.reset();
  });

  // The coordinator resent all orders each 60 ms while the replies waited behind these resends, so that changes were
  // undone or held the group for a second.
  for (const ranks of [45, 96]) {
    it(`guards against a storm of resent orders from a busy coordinator of ${ranks} ranks`, async () => {
      let now = 0;
      const readClock = (): number => now;
      const group = new LockstepGroup(ranks, () => 0.5, noFaults, readClock);
      const view = new GroupView('g', ranks);
      const coordinator = new BusyCoordinator(readClock);
      const timeout = new OrderTimeout(ranks);
      const remotes = Array.from({ length: ranks }, (_, rank) =>
        rank === 0 ? undefined : coordinator.connect(rank, group, timeout),
      );
      const publish = (rank: number): void => {
        const status = { report: group.report(rank), experts: [[rank]] };
        const remote = remotes[rank];
        view.applyStatus(
          status,
          (order, epoch) =>
            remote?.sendOrder(order, epoch) ?? group.receiveOrder(rank, order, epoch),
          now,
        );
      };
      for (let rank = 0; rank < ranks; rank += 1) publish(rank);
      const context = {
        view,
        readClock,
        firstUnusedPass: 0,
        lastUnansweredOrderAt: -Infinity,
      };
      const outcomes: ChangeOutcome[] = [];
      const heldStarts: number[] = [];
      const placement = [Array.from({ length: ranks }, (_, rank) => [rank])];
      const makeChanges = async (): Promise<void> => {
        await new Promise((resolve) => setTimeout(resolve, 1_000));
        for (let version = 1; version <= CHANGES; version += 1) {
          const before = group.heldStarts;
          outcomes.push(await changeMap(context, { version, epoch: 1, placement }));
          heldStarts.push(group.heldStarts - before);
        }
      };
      void makeChanges();
      while (outcomes.length < CHANGES && now < 60_000) {
        now += TICK_MS;
        mock.timers.tick(TICK_MS);
        group.run();
        for (let rank = 0; rank < ranks; rank += 1) {
          if (now % (rank === 0 ? 20 : STATUS_MS) === 0) publish(rank);
        }
        await nextTurn();
      }
      expect(outcomes).to.deep.equal(new Array(CHANGES).fill('switched'));
      expect(group.mixedPasses).to.equal(0);
      expect(heldStarts).to.deep.equal(new Array(CHANGES).fill(0));
      expect(coordinator.sentOrders).to.equal((ranks - 1) * ORDERS_PER_CHANGE * CHANGES);
    });
  }
});
