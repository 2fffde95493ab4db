import { createPlacement, measureSkew } from '../../src/version/placement/groupPlacement.js';
import { computeSkewBound } from '../../src/version/placement/bound.js';
import { LoadSmoother } from '../../src/version/placement/loadSmoother.js';
import { MoveHistory } from '../../src/version/placement/moveHistory.js';
import type { PlacementPolicyName } from '../../src/version/placement/registry.js';
import { placementPolicies } from '../../src/version/placement/registry.js';
import type {
  GroupLoad,
  GroupPlacement,
  Move,
  PlacementLimits,
} from '../../src/version/placement/types.js';
import { WeightStore } from '../../test/standins/weightStore.js';
import { ExpertTrace } from './expertTrace.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const LAYERS = 4;
const EXPERTS = 256;
const DECISION_INTERVAL_MS = 5 * MINUTE_MS;
const DAY_HOURS = 24;
const STEADY_HOURS = 6;
const SMOOTHING_MS = 10 * MINUTE_MS;
const SLOTS_FACTOR = 1.125;
const RANK_COUNTS = [16, 32] as const;

/** Weights of the two deployments; one unit is one second of step time or of weight transfer. */
const weightings = {
  union: { skewWeight: 1, moveWeight: 2 },
  graniteHollow: { skewWeight: 1, moveWeight: 60 },
} as const;

/** Figures of one policy over one trace. */
export interface PolicyFigures {
  readonly skew_mean: number;
  readonly skew_p99: number;
  readonly skew_bound: number;
  readonly moves_per_hour: number;
  readonly bytes_per_hour: number;
  readonly moved_back_within_hour: number;
}

/** One sample per minute. */
type Trace = readonly GroupLoad[];

interface RunOptions {
  readonly policy: PlacementPolicyName;
  readonly limits: PlacementLimits;
  readonly trace: Trace;
}

/**
 * Measures placement policies on seeded popularity traces, for both deployments' weights.
 *
 * @param options - Seed of the traces
 * @returns Figures by rank count, weighting and policy
 */
export async function benchExperts(options: { seed: number }): Promise<unknown> {
  const results: Record<string, unknown> = { seed: options.seed };
  for (const ranks of RANK_COUNTS) {
    // Yields to pending microtasks between the long computations.
    await Promise.resolve();
    results[`ranks_${ranks}`] = compareOnRanks(options.seed, ranks);
  }
  return results;
}

function compareOnRanks(seed: number, ranks: number): unknown {
  const day = recordTrace(`${seed}/${ranks}`, DAY_HOURS, false);
  const steady = recordTrace(`${seed}/${ranks}`, STEADY_HOURS, true);
  const traces = { day, steady };
  const never = measurePolicy(traces, ranks, 'never', 'union');
  const greedy = measurePolicy(traces, ranks, 'greedy', 'union');
  const union = measurePolicy(traces, ranks, 'weighed', 'union');
  const graniteHollow = measurePolicy(traces, ranks, 'weighed', 'graniteHollow');
  return {
    never,
    greedy,
    weighed_union: { ...union, ...compareFigures(union, greedy) },
    weighed_granite_hollow: { ...graniteHollow, ...compareFigures(graniteHollow, greedy) },
  };
}

function recordTrace(seed: string, hours: number, steady: boolean): Trace {
  const trace = new ExpertTrace({ seed, layers: LAYERS, experts: EXPERTS, steady });
  return Array.from({ length: (hours * HOUR_MS) / MINUTE_MS }, (_, minute) =>
    trace.nextSample(minute * MINUTE_MS, MINUTE_MS),
  );
}

function measurePolicy(
  traces: { day: Trace; steady: Trace },
  ranks: number,
  policy: PlacementPolicyName,
  weighting: keyof typeof weightings,
): PolicyFigures & { moved_back_within_hour_steady: number; moves_per_hour_steady: number } {
  const limits: PlacementLimits = {
    ranks,
    slotsPerRank: Math.ceil((EXPERTS * SLOTS_FACTOR) / ranks),
    bytesPerExpert: 44_000_000,
    storeBytesPerSecond: 1_000_000_000,
    horizonMs: 30 * MINUTE_MS,
    ...weightings[weighting],
  };
  const day = runTrace({ policy, limits, trace: traces.day });
  const steady = runTrace({ policy, limits, trace: traces.steady });
  return {
    ...day,
    moved_back_within_hour_steady: steady.moved_back_within_hour,
    moves_per_hour_steady: steady.moves_per_hour,
  };
}

function compareFigures(figures: PolicyFigures, greedy: PolicyFigures): Record<string, number> {
  return {
    skew_to_greedy: figures.skew_mean / greedy.skew_mean,
    moves_to_greedy: figures.moves_per_hour / greedy.moves_per_hour,
  };
}

/** Runs one policy over one trace; a new placement takes effect when its weights are loaded. */
function runTrace(options: RunOptions): PolicyFigures {
  const { limits } = options;
  const smoother = new LoadSmoother(SMOOTHING_MS);
  const moveHistory = new MoveHistory();
  const store = new WeightStore(limits.storeBytesPerSecond);
  const decide = placementPolicies[options.policy];
  const counter = new MoveCounter();
  let placement: GroupPlacement = createPlacement(LAYERS, EXPERTS, limits.ranks);
  let pending: { placement: GroupPlacement; readyAt: number } | undefined;
  const skews: number[] = [];
  let bound = 0;
  for (const [minute, sample] of options.trace.entries()) {
    const now = minute * MINUTE_MS;
    if (pending !== undefined && pending.readyAt <= now) {
      placement = pending.placement;
      pending = undefined;
    }
    skews.push(measureSkew(placement, sample));
    bound += computeSkewBound(sample, limits);
    smoother.update(sample, now);
    if (now % DECISION_INTERVAL_MS !== 0 || pending !== undefined) continue;
    const decision = decide({
      now,
      load: smoother.load,
      placement,
      limits,
      moveFilter: moveHistory,
    });
    if (decision.moves.length === 0) continue;
    moveHistory.record(decision.moves, now, smoother.load);
    counter.record(decision.moves, now);
    pending = { placement: decision.placement, readyAt: store.load(decision.bytes, now) };
  }
  const hours = (skews.length * MINUTE_MS) / HOUR_MS;
  skews.sort((left, right) => left - right);
  return {
    skew_mean: skews.reduce((sum, value) => sum + value, 0) / skews.length,
    skew_p99: skews[Math.floor(skews.length * 0.99)] ?? 0,
    skew_bound: bound / skews.length,
    moves_per_hour: counter.adds / hours,
    bytes_per_hour: (counter.adds * limits.bytesPerExpert) / hours,
    moved_back_within_hour: counter.movedBack,
  };
}

/** Counts added replicas, and moves that reverse a move of the last hour. */
class MoveCounter {
  adds = 0;
  movedBack = 0;
  private readonly last = new Map<string, { kind: Move['kind']; at: number }>();

  record(moves: readonly Move[], now: number): void {
    for (const move of moves) {
      const key = `${move.layer}/${move.expert}/${move.rank}`;
      const last = this.last.get(key);
      if (last !== undefined && last.kind !== move.kind && now - last.at < HOUR_MS) {
        this.movedBack += 1;
      }
      this.last.set(key, { kind: move.kind, at: now });
      if (move.kind === 'add') this.adds += 1;
    }
  }
}
