import type { MessageOf } from '../../protocol/messages.js';
import type { GroupPlacement } from '../../version/placement/types.js';
import { DemandTracker } from './demandTracker.js';
import { PassClock } from './passClock.js';
import type { PackedSelections } from './selectionCodec.js';
import { unpackSelections } from './selectionCodec.js';
import type { ExpertLayout, OrderOutcome, RankOrder, RankReport } from './types.js';

/** An older status is stale; a status or selections arrive at least every 300 ms. */
const STATUS_TTL_MS = 700;

/** State of a rank as known to the coordinator. */
export interface RankState {
  report: RankReport;
  receivedAt: number;
  experts: readonly (readonly number[])[] | undefined;
  sendOrder: (order: RankOrder, epoch: number) => Promise<OrderOutcome>;
}

/** State of all ranks in the coordinator's group. */
export class GroupView {
  readonly ranks = new Map<number, RankState>();
  /** Pass times as reported by the coordinator's own rank. */
  readonly passClock = new PassClock();
  demand: DemandTracker | undefined;
  private waiters: (() => void)[] = [];

  constructor(
    readonly group: string,
    readonly size: number,
  ) {}

  /**
   * Applies a status received from a rank.
   *
   * @param status - Status message
   * @param sendOrder - Sends an order to the rank
   * @param now - Current time in milliseconds
   */
  applyStatus(
    status: Pick<MessageOf<'rankStatus'>, 'experts'> & { report: RankReport },
    sendOrder: RankState['sendOrder'],
    now: number,
  ): void {
    const { report, experts } = status;
    if (report.rank === 0) this.passClock.observe(report, now);
    const previous = this.ranks.get(report.rank);
    const isSameEpoch = previous?.report.epoch === report.epoch;
    // Map versions only increase within an epoch, so a lower one was read before the last switch.
    if (isSameEpoch && report.map < previous.report.map) {
      previous.receivedAt = now;
      previous.sendOrder = sendOrder;
    } else {
      const isSame = isSameEpoch && previous.report.map === report.map;
      const held = experts ?? (isSame ? previous.experts : undefined);
      this.ranks.set(report.rank, { report, receivedAt: now, experts: held, sendOrder });
    }
    this.notifyWaiters();
  }

  /**
   * Adds the expert selections of a rank.
   *
   * @param rank - Rank number
   * @param epoch - Epoch in which the experts were selected
   * @param packed - Packed counts
   * @param layout - Expert layout of the model, when known
   * @param now - Current time in milliseconds
   */
  addSelections(
    rank: number,
    epoch: number,
    packed: PackedSelections,
    layout: ExpertLayout | undefined,
    now: number,
  ): void {
    const state = this.ranks.get(rank);
    if (state?.report.epoch !== epoch) return;
    state.receivedAt = now;
    if (layout === undefined) return;
    this.demand ??= new DemandTracker(layout.layers, layout.expertsPerLayer, now);
    const selections = unpackSelections(packed, this.demand.length);
    if (selections !== undefined) this.demand.addSelections(selections, now);
  }

  /**
   * Records a switch that all ranks have made but may not have reported yet.
   *
   * @param version - Version of the map in use
   * @param placement - Experts by layer and rank, when known
   */
  applySwitch(version: number, placement: GroupPlacement | undefined): void {
    for (const [rank, state] of this.ranks) {
      const isReported = state.report.map === version;
      state.report = { ...state.report, map: version, armed: undefined };
      if (placement !== undefined) state.experts = placement.map((ranks) => ranks[rank] ?? []);
      // A rank that has already reported the switch does not send its experts again.
      else if (!isReported) state.experts = undefined;
    }
  }

  /** Resolves pending `waitForStatus` calls; also called when an order gets a response. */
  notifyWaiters(): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const notify of waiters) notify();
  }

  /**
   * Removes a rank whose ranker has disconnected.
   *
   * @param rank - Rank number
   */
  removeRank(rank: number): void {
    this.ranks.delete(rank);
  }

  /**
   * Lists all ranks if each has reported recently, in the same epoch, with the group open.
   *
   * @param now - Current time in milliseconds
   * @returns States by rank, or undefined when the group is incomplete
   */
  listIfComplete(now: number): RankState[] | undefined {
    const states: RankState[] = [];
    for (let rank = 0; rank < this.size; rank += 1) {
      const state = this.ranks.get(rank);
      if (state === undefined || now - state.receivedAt > STATUS_TTL_MS) return undefined;
      if (!state.report.isOpen) return undefined;
      states.push(state);
    }
    const epoch = states[0]?.report.epoch;
    return states.every((state) => state.report.epoch === epoch) ? states : undefined;
  }

  /**
   * Assembles the map in use.
   *
   * @param states - All ranks
   * @returns Experts by layer and rank, or undefined while the experts of a rank are unknown
   */
  assemblePlacement(states: readonly RankState[]): GroupPlacement | undefined {
    const layers = states[0]?.experts?.length ?? 0;
    const placement: (readonly number[])[][] = [];
    for (let layer = 0; layer < layers; layer += 1) {
      const ranks: (readonly number[])[] = [];
      for (const state of states) {
        const experts = state.experts?.[layer];
        if (experts === undefined) return undefined;
        ranks.push(experts);
      }
      placement.push(ranks);
    }
    return layers === 0 ? undefined : placement;
  }

  /**
   * Waits for the next status of any rank or the next response to an order.
   *
   * @param timeoutMs - Maximum wait
   */
  waitForStatus(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      this.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
