import type { OrderOutcome, RankOrder, RankReport } from '../../src/process/ranker/types.js';

/** Faults of the connection to the ranks, as probabilities per order. */
export interface OrderFaults {
  /** Neither executed nor answered. */
  readonly lost: number;
  /** Not answered, and executed 2 to 12 s later. */
  readonly late: number;
  /** Executed immediately, but not answered. */
  readonly unanswered: number;
  /** Executed immediately and answered, and executed again 2 to 12 s later. */
  readonly duplicated: number;
}

interface RankState {
  map: number;
  content: string;
  highestVersion: number;
  prepared: { version: number; content: string } | undefined;
  copyInProgress: { version: number; content: string; doneAt: number } | undefined;
  armed: { version: number; pass: number } | undefined;
  held: number | undefined;
}

const PASS_DURATION_MS = 50;
const MAX_COPY_DURATION_MS = 300;
const MIN_LATE_DELAY_MS = 2_000;
const LATE_DELAY_RANGE_MS = 10_000;
const RESPONSE_DELAY_MS = 3;
const ORDER_TIMEOUT_MS = 120;

/** Ranks that execute passes in lockstep and follow the rules of map orders; counts passes started with different maps. */
export class LockstepGroup {
  readonly ranks: RankState[] = [];
  mixedPasses = 0;
  /** Number of times that a pass was due but held. */
  heldStarts = 0;
  pass = 1;
  epoch = 1;
  /** An idle group executes no passes. */
  isIdle = false;
  private nextPassAt = 0;
  private readonly delayed: { at: number; run: () => void }[] = [];

  constructor(
    readonly size: number,
    private readonly random: () => number,
    private readonly faults: OrderFaults,
    /** Current time in milliseconds. */
    private readonly readClock: () => number,
  ) {
    for (let rank = 0; rank < size; rank += 1) this.ranks.push(createRankState());
  }

  /**
   * Runs delayed orders, finished copies and passes that are due at the current time.
   */
  run(): void {
    const now = this.readClock();
    for (const entry of [...this.delayed]) {
      if (entry.at > now) continue;
      this.delayed.splice(this.delayed.indexOf(entry), 1);
      entry.run();
    }
    for (const state of this.ranks) {
      if (state.copyInProgress === undefined || state.copyInProgress.doneAt > now) continue;
      state.prepared = state.copyInProgress;
      state.copyInProgress = undefined;
    }
    while (!this.isIdle && this.nextPassAt <= now) {
      this.nextPassAt += PASS_DURATION_MS;
      const next = this.pass + 1;
      if (this.ranks.some(({ held }) => held !== undefined && held <= next)) this.heldStarts += 1;
      else this.startPass(next);
    }
  }

  /**
   * Re-forms the group with a new epoch, as after the crash of a rank.
   */
  restart(): void {
    this.epoch += 1;
    for (let rank = 0; rank < this.size; rank += 1) {
      this.ranks[rank] = {
        ...createRankState(),
        highestVersion: this.ranks[rank]?.highestVersion ?? 0,
      };
    }
  }

  /**
   * Reports the state of a rank.
   *
   * @param rank - Rank number
   * @returns Report of the rank
   */
  report(rank: number): RankReport {
    const state = this.get(rank);
    return {
      group: 'g',
      epoch: this.epoch,
      rank,
      size: this.size,
      isOpen: true,
      startedAt: 1,
      pass: this.pass,
      map: state.map,
      prepared: state.prepared?.version,
      armed: state.armed,
      held: state.held,
      running: 4,
      queued: 0,
    };
  }

  /**
   * Receives an order over a connection with faults.
   *
   * @param rank - Rank number
   * @param order - Map order
   * @param epoch - Epoch known to the sender
   * @returns Outcome as seen by the sender
   */
  async receiveOrder(rank: number, order: RankOrder, epoch: number): Promise<OrderOutcome> {
    const sample = this.random();
    const { lost, late, unanswered, duplicated } = this.faults;
    const scheduleExecution = (): void => {
      const at = this.readClock() + MIN_LATE_DELAY_MS + this.random() * LATE_DELAY_RANGE_MS;
      this.delayed.push({ at, run: () => this.runOrder(rank, order, epoch) });
    };
    if (sample < lost) return this.resolveLater(ORDER_TIMEOUT_MS, 'unknown');
    if (sample < lost + late) {
      scheduleExecution();
      return this.resolveLater(ORDER_TIMEOUT_MS, 'unknown');
    }
    const outcome = this.runOrder(rank, order, epoch);
    if (sample < lost + late + unanswered) return this.resolveLater(ORDER_TIMEOUT_MS, 'unknown');
    if (sample < lost + late + unanswered + duplicated) scheduleExecution();
    return this.resolveLater(RESPONSE_DELAY_MS, outcome);
  }

  private resolveLater(ms: number, outcome: OrderOutcome): Promise<OrderOutcome> {
    return new Promise((resolve) => {
      setTimeout(() => {
        resolve(outcome);
      }, ms);
    });
  }

  private runOrder(rank: number, order: RankOrder, epoch: number): OrderOutcome {
    if (epoch !== this.epoch) return 'refused';
    const state = this.get(rank);
    const next = this.pass + 1;
    const handlers: {
      [Kind in RankOrder['kind']]: (o: Extract<RankOrder, { kind: Kind }>) => OrderOutcome;
    } = {
      prepare: ({ version, placement }) => {
        if (version <= state.highestVersion || state.armed !== undefined) return 'refused';
        state.highestVersion = version;
        const content = JSON.stringify(placement);
        state.copyInProgress = {
          version,
          content,
          doneAt: this.readClock() + MAX_COPY_DURATION_MS * this.random(),
        };
        return 'begun';
      },
      arm: ({ version, pass }) => {
        if (state.armed?.version === version && state.armed.pass === pass) return 'done';
        if (state.prepared?.version !== version || pass < next) return 'refused';
        state.armed = { version, pass };
        return 'done';
      },
      disarm: ({ version }) => {
        if (state.map === version) return 'refused';
        if (state.armed?.version === version) state.armed = undefined;
        return 'done';
      },
      hold: ({ pass }) => {
        if (state.held === pass) return 'done';
        if (state.held !== undefined || pass < next) return 'refused';
        state.held = pass;
        return 'done';
      },
      release: ({ pass }) => {
        if (state.held === pass) state.held = undefined;
        return 'done';
      },
    };
    return handlers[order.kind](order as never);
  }

  private startPass(pass: number): void {
    this.pass = pass;
    for (const state of this.ranks) {
      if (state.armed === undefined || state.armed.pass > pass) continue;
      state.map = state.armed.version;
      state.content = state.prepared?.content ?? '';
      state.armed = undefined;
    }
    const first = this.get(0);
    const isMixed = this.ranks.some(
      ({ map, content }) => map !== first.map || content !== first.content,
    );
    if (isMixed) this.mixedPasses += 1;
  }

  private get(rank: number): RankState {
    const state = this.ranks[rank];
    if (state === undefined) throw new Error(`no rank ${rank}`);
    return state;
  }
}

function createRankState(): RankState {
  return {
    map: 0,
    content: 'first',
    highestVersion: 0,
    prepared: undefined,
    copyInProgress: undefined,
    armed: undefined,
    held: undefined,
  };
}
