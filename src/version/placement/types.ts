/** Experts held by each rank of one layer; an expert on several ranks is replicated. */
export type LayerPlacement = readonly (readonly number[])[];
/** Placement of a group, by layer. */
export type GroupPlacement = readonly LayerPlacement[];
/** Load per layer and expert, in any unit that is proportional to step time (tokens). */
export type GroupLoad = readonly (readonly number[])[];

/** One change of a placement. Only `add` transfers weights. */
export interface Move {
  readonly kind: 'add' | 'drop';
  readonly layer: number;
  readonly expert: number;
  readonly rank: number;
}

export interface PlacementLimits {
  readonly ranks: number;
  /** Maximum number of replicas that a rank holds per layer. */
  readonly slotsPerRank: number;
  readonly bytesPerExpert: number;
  /** Bandwidth of the weight store available to the group. */
  readonly storeBytesPerSecond: number;
  /** Time over which a skew reduction counts as saved step time. */
  readonly horizonMs: number;
  /** Value of one second of balanced step time saved. */
  readonly skewWeight: number;
  /** Cost of one second of transfer from the weight store. */
  readonly moveWeight: number;
}

/** Identifies moves that would undo a recent one. */
export interface MoveFilter {
  isBlocked(move: Move, now: number, load: GroupLoad): boolean;
}

export interface PlacementInput {
  readonly now: number;
  /** Smoothed load. */
  readonly load: GroupLoad;
  readonly placement: GroupPlacement;
  readonly limits: PlacementLimits;
  readonly moveFilter: MoveFilter;
}

export interface PlacementDecision {
  readonly moves: readonly Move[];
  /** Placement after the moves. */
  readonly placement: GroupPlacement;
  /** Maximum over mean of the ranks' load, averaged over layers, for the smoothed load. */
  readonly skewBefore: number;
  readonly skewAfter: number;
  readonly bytes: number;
  readonly transferSeconds: number;
}

export type PlacementPolicy = (input: PlacementInput) => PlacementDecision;
