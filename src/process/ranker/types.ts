import type { Result } from 'ts-results-es';

/** What a rank says of itself. */
export interface RankReport {
  readonly group: string;
  /** Grows each time the group forms anew; orders of an older epoch are refused. */
  readonly epoch: number;
  readonly rank: number;
  readonly size: number;
  readonly isOpen: boolean;
  /** Start of the rank's process in Unix milliseconds; counts begin anew with it. */
  readonly startedAt: number;
  /** Last pass that was begun. */
  readonly pass: number;
  /** Version of the expert map in use. */
  readonly map: number;
  /** Version whose experts are all loaded. */
  readonly prepared: number | undefined;
  readonly armed: { readonly version: number; readonly pass: number } | undefined;
  /** Pass that the group does not begin until it is released. */
  readonly held: number | undefined;
  readonly running: number;
  readonly queued: number;
}

/** How often the requests of a rank chose each expert since the rank started. */
export interface RankCounts {
  readonly epoch: number;
  /** One layer after the other, by expert. */
  readonly counts: readonly number[];
}

/** Experts that a rank holds. */
export interface RankExperts {
  readonly epoch: number;
  /** Version of the map in use. */
  readonly map: number;
  /** By layer. */
  readonly experts: readonly (readonly number[])[];
}

/** An order to a rank. */
export type RankOrder =
  | {
      readonly kind: 'prepare';
      readonly version: number;
      readonly placement: readonly (readonly (readonly number[])[])[];
    }
  | { readonly kind: 'arm'; readonly version: number; readonly pass: number }
  | { readonly kind: 'disarm'; readonly version: number }
  | { readonly kind: 'hold'; readonly pass: number }
  | { readonly kind: 'release'; readonly pass: number };

/** What the rank said of an order; `unknown` when no answer came: it may be carried out seconds later. */
export type OrderOutcome = 'begun' | 'done' | 'refused' | 'unknown';

/** Experts that a group's coordinator needs to know of to plan. */
export interface ExpertLayout {
  readonly layers: number;
  readonly expertsPerLayer: number;
  readonly slotsPerRank: number;
  readonly maxLoadsPerLayer: number;
}

export type RankError = 'timeout' | 'unreachable' | 'malformed';

/** The engine on the ranker's own host. */
export interface RankEngine {
  readReport(): Promise<Result<RankReport, RankError>>;
  readCounts(): Promise<Result<RankCounts, RankError>>;
  /** Experts that the rank holds now, by layer. */
  readExperts(): Promise<Result<RankExperts, RankError>>;
  /** The rank refuses an order of another epoch. */
  sendOrder(order: RankOrder, epoch: number): Promise<OrderOutcome>;
}
