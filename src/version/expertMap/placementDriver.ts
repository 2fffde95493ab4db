import { measureSkew } from '../placement/groupPlacement.js';
import { LoadSmoother } from '../placement/loadSmoother.js';
import { MoveHistory } from '../placement/moveHistory.js';
import type { GroupLoad, PlacementLimits, PlacementPolicy } from '../placement/types.js';
import { MapCoordinator } from './mapCoordinator.js';
import type { NumberSource } from './numberSource.js';
import type { Plan } from './planStore.js';
import type { MapMessage, Outcome, SendMapMessage } from './types.js';

export interface PlacementDriverOptions {
  readonly numbers: NumberSource;
  readonly send: SendMapMessage;
  /** Distributes a plan to all ranks; called again until all have loaded it. */
  readonly sendPlan: (plan: Plan) => void;
  readonly decide: PlacementPolicy;
  readonly limits: PlacementLimits;
  /** Time between two decisions. */
  readonly intervalMs: number;
  readonly prepareTimeoutMs: number;
  /** Steps between the latest step known to be permitted and the activation of a map. */
  readonly stepMargin: number;
}

export interface RankProgress {
  /** First step that is not permitted yet. */
  readonly step: number;
  /** Highest fencing number that the rank has promised. */
  readonly promised: number;
  /** Map versions whose weights are loaded. */
  readonly loaded: readonly number[];
}

interface OpenChange {
  readonly plan: Plan;
  started: boolean;
}

/** Decides placements on the coordinating rank and applies each through a map change. */
export class PlacementDriver {
  lastChange: { version: number; outcome: Outcome; at: number } | undefined;
  private readonly smoother: LoadSmoother;
  private readonly history = new MoveHistory();
  private readonly samples = new Map<number, GroupLoad>();
  private coordinator: MapCoordinator | undefined;
  private open: OpenChange | undefined;
  private decidedAt: number | undefined;

  constructor(private readonly options: PlacementDriverOptions) {
    this.smoother = new LoadSmoother(options.intervalMs * 2);
  }

  /** Fencing number of the current coordinator; 0 without one. */
  get fencing(): number {
    return this.coordinator?.options.fencing ?? 0;
  }

  /**
   * Records the load that one rank has measured.
   *
   * @param rank - Rank number
   * @param load - Its share of the load by layer and expert
   */
  recordLoad(rank: number, load: GroupLoad): void {
    this.samples.set(rank, load);
  }

  /**
   * Handles a reply from a rank.
   *
   * @param message - Message of the protocol
   * @param now - Current time in milliseconds
   */
  handle(message: MapMessage, now: number): void {
    this.coordinator?.handle(message, now);
    this.recordOutcome(now);
  }

  /** Stops coordinating; prepared ranks hold until another coordinator decides. */
  stop(): void {
    this.coordinator = undefined;
    this.open = undefined;
  }

  /**
   * Advances the open change or decides on the next one.
   *
   * @param incarnation - Incarnation that all ranks have joined
   * @param current - Map in use
   * @param ranks - Progress by rank
   * @param now - Current time in milliseconds
   */
  update(
    incarnation: number,
    current: Plan | undefined,
    ranks: readonly RankProgress[],
    now: number,
  ): void {
    const promised = ranks.map((rank) => rank.promised);
    const outdated = this.coordinator?.options.incarnation !== incarnation;
    if (outdated || this.coordinator?.isSuperseded(promised, now) === true) {
      this.startCoordinator(incarnation, now);
    }
    const { coordinator } = this;
    if (coordinator === undefined) return;
    if (!coordinator.isReady) {
      coordinator.update(now);
      return;
    }
    if (this.open === undefined) this.decide(current, now);
    if (this.open !== undefined) this.advance(coordinator, this.open, ranks, now);
  }

  /**
   * Measures the skew of a placement for the smoothed load.
   *
   * @param plan - Placement
   * @returns Maximum over mean of the ranks' load; undefined before the first load
   */
  measureSkew(plan: Plan): number | undefined {
    const { load } = this.smoother;
    return load.length === 0 ? undefined : measureSkew(plan.placement, load);
  }

  private startCoordinator(incarnation: number, now: number): void {
    const { numbers, send, prepareTimeoutMs } = this.options;
    const fencing = numbers.issue(now);
    const { ranks } = numbers;
    this.open = undefined;
    this.coordinator = new MapCoordinator({
      ranks,
      incarnation,
      fencing,
      send,
      prepareTimeoutMs,
      startedAt: now,
    });
  }

  private decide(current: Plan | undefined, now: number): void {
    const { options, samples } = this;
    this.decidedAt ??= now;
    if (now - this.decidedAt < options.intervalMs) return;
    if (current === undefined || samples.size < options.numbers.ranks) return;
    this.decidedAt = now;
    this.smoother.update(sumLoads([...samples.values()]), now);
    const { load } = this.smoother;
    const { placement } = current;
    const { limits } = options;
    const decision = options.decide({ now, load, placement, limits, moveFilter: this.history });
    if (decision.moves.length === 0) return;
    const plan = { version: options.numbers.issue(now), placement: decision.placement };
    this.history.record(decision.moves, now, load);
    this.open = { plan, started: false };
  }

  private advance(
    coordinator: MapCoordinator,
    open: OpenChange,
    ranks: readonly RankProgress[],
    now: number,
  ): void {
    if (!ranks.every(({ loaded }) => loaded.includes(open.plan.version))) {
      this.options.sendPlan(open.plan);
      return;
    }
    const permitted = Math.max(...ranks.map(({ step }) => step));
    open.started = true;
    coordinator.start(open.plan.version, permitted + this.options.stepMargin, now);
  }

  private recordOutcome(now: number): void {
    const { coordinator, open } = this;
    if (coordinator?.isReady !== true || open?.started !== true) return;
    const outcome = coordinator.settled.at(-1)?.outcome;
    if (outcome === undefined) return;
    this.lastChange = { version: open.plan.version, outcome, at: now };
    this.open = undefined;
  }
}

function sumLoads(loads: readonly GroupLoad[]): GroupLoad {
  const [first = []] = loads;
  return first.map((layer, index) =>
    layer.map((_, expert) => loads.reduce((sum, load) => sum + (load[index]?.[expert] ?? 0), 0)),
  );
}
