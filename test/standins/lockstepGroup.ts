import type { OrderOutcome, RankOrder, RankReport } from '../../src/process/ranker/types.js';

/** Faults of the way to the ranks, as probabilities for each order. */
export interface OrderFaults {
  /** Not carried out and not answered. */
  readonly lost: number;
  /** Not answered, and carried out 2 to 12 s later. */
  readonly late: number;
  /** Carried out at once and not answered. */
  readonly unanswered: number;
  /** Carried out at once, and again later. */
  readonly doubled: number;
}

interface RankState {
  map: number;
  content: string;
  highest: number;
  prepared: { version: number; content: string } | undefined;
  copying: { version: number; content: string; doneAt: number } | undefined;
  armed: { version: number; pass: number } | undefined;
  held: number | undefined;
}

const PASS_MS = 50;
const COPY_MS = 300;
const LATE_MIN_MS = 2_000;
const LATE_SPAN_MS = 10_000;
const ANSWER_MS = 3;
const ORDER_TIMEOUT_MS = 120;

/** Ranks that make passes together and follow the rules of map orders; it records passes begun with two maps. */
export class LockstepGroup {
  readonly ranks: RankState[] = [];
  mixedPasses = 0;
  pass = 1;
  epoch = 1;
  /** An idle group makes no passes. */
  isIdle = false;
  private nextPassAt = 0;
  private readonly delayed: { at: number; run: () => void }[] = [];

  constructor(
    readonly size: number,
    private readonly random: () => number,
    private readonly faults: OrderFaults,
    /** Current time in milliseconds. */
    private readonly readNow: () => number,
  ) {
    for (let rank = 0; rank < size; rank += 1) this.ranks.push(createRank());
  }

  /**
   * Moves the group forward to the present time.
   */
  run(): void {
    const now = this.readNow();
    for (const entry of [...this.delayed]) {
      if (entry.at > now) continue;
      this.delayed.splice(this.delayed.indexOf(entry), 1);
      entry.run();
    }
    for (const state of this.ranks) {
      if (state.copying === undefined || state.copying.doneAt > now) continue;
      state.prepared = state.copying;
      state.copying = undefined;
    }
    while (!this.isIdle && this.nextPassAt <= now) {
      this.nextPassAt += PASS_MS;
      const next = this.pass + 1;
      if (this.ranks.some(({ held }) => held !== undefined && held <= next)) continue;
      this.beginPass(next);
    }
  }

  /**
   * Forms the group anew, as after the crash of a rank.
   */
  restart(): void {
    this.epoch += 1;
    for (let rank = 0; rank < this.size; rank += 1) {
      this.ranks[rank] = { ...createRank(), highest: this.ranks[rank]?.highest ?? 0 };
    }
  }

  /**
   * Reports one rank.
   *
   * @param rank - Rank number
   * @returns What the rank says of itself
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
   * Takes an order over an unreliable way.
   *
   * @param rank - Rank number
   * @param order - Order
   * @param epoch - Epoch that the sender believes in
   * @returns What the sender hears
   */
  async takeOrder(rank: number, order: RankOrder, epoch: number): Promise<OrderOutcome> {
    const draw = this.random();
    const { lost, late, unanswered, doubled } = this.faults;
    const again = (): void => {
      const at = this.readNow() + LATE_MIN_MS + this.random() * LATE_SPAN_MS;
      this.delayed.push({ at, run: () => this.carryOut(rank, order, epoch) });
    };
    if (draw < lost) return this.wait(ORDER_TIMEOUT_MS, 'unknown');
    if (draw < lost + late) {
      again();
      return this.wait(ORDER_TIMEOUT_MS, 'unknown');
    }
    const outcome = this.carryOut(rank, order, epoch);
    if (draw < lost + late + unanswered) return this.wait(ORDER_TIMEOUT_MS, 'unknown');
    if (draw < lost + late + unanswered + doubled) again();
    return this.wait(ANSWER_MS, outcome);
  }

  private wait(ms: number, outcome: OrderOutcome): Promise<OrderOutcome> {
    return new Promise((resolve) => {
      setTimeout(() => {
        resolve(outcome);
      }, ms);
    });
  }

  private carryOut(rank: number, order: RankOrder, epoch: number): OrderOutcome {
    if (epoch !== this.epoch) return 'refused';
    const state = this.get(rank);
    const next = this.pass + 1;
    const handlers: {
      [Kind in RankOrder['kind']]: (o: Extract<RankOrder, { kind: Kind }>) => OrderOutcome;
    } = {
      prepare: ({ version, placement }) => {
        if (version <= state.highest || state.armed !== undefined) return 'refused';
        state.highest = version;
        const content = JSON.stringify(placement);
        state.copying = { version, content, doneAt: this.readNow() + COPY_MS * this.random() };
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

  private beginPass(pass: number): void {
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

function createRank(): RankState {
  return {
    map: 0,
    content: 'first',
    highest: 0,
    prepared: undefined,
    copying: undefined,
    armed: undefined,
    held: undefined,
  };
}
