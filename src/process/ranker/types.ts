import type { Result } from 'ts-results-es';

/** State reported by a rank. */
export interface RankReport {
  readonly group: string;
  /** Increases each time the group re-forms; orders of an older epoch are refused. */
  readonly epoch: number;
  readonly rank: number;
  readonly size: number;
  readonly isOpen: boolean;
  /** The rank finishes its work and takes no further requests. */
  readonly isLeaving?: boolean;
  /** Start of the rank's process in Unix milliseconds; counts restart with it. */
  readonly startedAt: number;
  /** Last pass begun. */
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
  /** Time that the rank takes for its work, relative to a healthy one; 1 if omitted. */
  readonly pace?: number;
}

/** How often the requests of a rank have selected each expert since the rank started. */
export interface SelectionCounts {
  readonly epoch: number;
  /** Flattened by layer and expert. */
  readonly counts: readonly number[];
}

export interface RankExperts {
  readonly epoch: number;
  /** Version of the map in use. */
  readonly map: number;
  /** By layer. */
  readonly experts: readonly (readonly number[])[];
}

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

/** Response of the rank to an order; `unknown` without one, when the order may still execute seconds later. */
export type OrderOutcome = 'begun' | 'done' | 'refused' | 'unknown';

/** Expert layout of a model, which the coordinator needs for planning. */
export interface ExpertLayout {
  /** Number of layer sets; all layers of a set share one expert layout. */
  readonly layers: number;
  readonly expertsPerLayer: number;
  readonly slotsPerRank: number;
  readonly maxLoadsPerLayer: number;
  /** Time that a rank needs to copy one expert. */
  readonly copyMs: number;
  /** Share of the pass time that depends on the expert map, 0 to 1. */
  readonly expertShare: number;
  /** Longest gap between events that all streams of the service allow; undefined if none states one. */
  readonly maxGapMs?: number | undefined;
}

export type RankError = 'timeout' | 'unreachable' | 'malformed';

/** The engine on the ranker's host. */
export interface RankEngine {
  readReport(): Promise<Result<RankReport, RankError>>;
  readSelectionCounts(): Promise<Result<SelectionCounts, RankError>>;
  /** Reads the experts that the rank currently holds. */
  readExperts(): Promise<Result<RankExperts, RankError>>;
  /** The rank refuses an order of another epoch. */
  sendOrder(order: RankOrder, epoch: number): Promise<OrderOutcome>;
}

/** The engine of another rank, reached over the network. */
export interface RemoteEngine extends Pick<RankEngine, 'readReport' | 'sendOrder'> {
  close(): void;
}
