import type { MessageOf } from '../../protocol/messages.js';
import type { GroupPlacement } from '../../version/placement/types.js';
import { DemandWindow } from './demandWindow.js';
import type { GroupLayout, OrderOutcome, RankOrder, RankReport } from './types.js';

/** A status older than this says nothing; statuses come at least every 150 ms. */
const STATUS_TTL_MS = 700;

/** A rank as the coordinator sees it. */
export interface RankSeat {
  report: RankReport;
  receivedAt: number;
  experts: readonly (readonly number[])[] | undefined;
  sendOrder: (order: RankOrder, epoch: number) => Promise<OrderOutcome>;
}

/** All ranks of the coordinator's group. */
export class GroupView {
  readonly seats = new Map<number, RankSeat>();
  demand: DemandWindow | undefined;
  private waiters: (() => void)[] = [];

  constructor(
    readonly group: string,
    readonly size: number,
  ) {}

  /**
   * Takes over a rank's status.
   *
   * @param status - Status message
   * @param sendOrder - Way to the rank
   * @param layout - Experts of the model, when known
   * @param now - Milliseconds
   */
  applyStatus(
    status: Pick<MessageOf<'rankStatus'>, 'choices' | 'experts'> & { report: RankReport },
    sendOrder: RankSeat['sendOrder'],
    layout: GroupLayout | undefined,
    now: number,
  ): void {
    const { report, choices, experts } = status;
    const known = this.seats.get(report.rank);
    const isSameEpoch = known?.report.epoch === report.epoch;
    // Maps only rise within an epoch, so a lower one was read before the last switch.
    if (isSameEpoch && report.map < known.report.map) {
      known.receivedAt = now;
      known.sendOrder = sendOrder;
    } else {
      const isSame = isSameEpoch && known.report.map === report.map;
      const held = experts ?? (isSame ? known.experts : undefined);
      this.seats.set(report.rank, { report, receivedAt: now, experts: held, sendOrder });
    }
    if (layout !== undefined && choices.length > 0) {
      this.demand ??= new DemandWindow(layout.layers, layout.expertsPerLayer, now);
      this.demand.addChoices(choices, now);
    }
    this.wakeWaiters();
  }

  /**
   * Takes over a switch that all ranks have made before they report it.
   *
   * @param version - Version of the map in use
   * @param placement - Experts by layer and rank, when known
   */
  noteSwitched(version: number, placement: GroupPlacement | undefined): void {
    for (const [rank, seat] of this.seats) {
      const isReported = seat.report.map === version;
      seat.report = { ...seat.report, map: version, armed: undefined };
      if (placement !== undefined) seat.experts = placement.map((ranks) => ranks[rank] ?? []);
      // A rank that has reported the switch does not send its experts again.
      else if (!isReported) seat.experts = undefined;
    }
  }

  /** Ends the waits for a status, because an order was answered. */
  wakeWaiters(): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const wake of waiters) wake();
  }

  /**
   * Forgets a rank whose ranker is gone.
   *
   * @param rank - Rank number
   */
  removeSeat(rank: number): void {
    this.seats.delete(rank);
  }

  /**
   * Lists all ranks if each has reported lately, in one epoch, with the group open.
   *
   * @param now - Milliseconds
   * @returns Seats by rank, or undefined when the group is not whole
   */
  listWhole(now: number): RankSeat[] | undefined {
    const seats: RankSeat[] = [];
    for (let rank = 0; rank < this.size; rank += 1) {
      const seat = this.seats.get(rank);
      if (seat === undefined || now - seat.receivedAt > STATUS_TTL_MS) return undefined;
      if (!seat.report.isOpen) return undefined;
      seats.push(seat);
    }
    const epoch = seats[0]?.report.epoch;
    return seats.every((seat) => seat.report.epoch === epoch) ? seats : undefined;
  }

  /**
   * Reads the map in use.
   *
   * @param seats - All ranks
   * @returns Experts by layer and rank, or undefined while a rank's list is missing
   */
  readPlacement(seats: readonly RankSeat[]): GroupPlacement | undefined {
    const layers = seats[0]?.experts?.length ?? 0;
    const placement: (readonly number[])[][] = [];
    for (let layer = 0; layer < layers; layer += 1) {
      const ranks: (readonly number[])[] = [];
      for (const seat of seats) {
        const experts = seat.experts?.[layer];
        if (experts === undefined) return undefined;
        ranks.push(experts);
      }
      placement.push(ranks);
    }
    return layers === 0 ? undefined : placement;
  }

  /**
   * Waits for the next status of any rank.
   *
   * @param limitMs - Longest wait
   */
  waitForStatus(limitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, limitMs);
      this.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
