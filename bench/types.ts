/** Options of a bench or a proof. */
export interface RunOptions {
  /** Seed of the random number generators. */
  readonly seed: number;
  /** Size of the run; the unit depends on the bench, for example requests or orders. */
  readonly count: number;
}

/** Figures of a run, printed as one JSON line. */
export type RunResult = Readonly<Record<string, unknown>>;

/** A registered bench or proof; its module is loaded only when it is selected. */
export interface NamedRun {
  readonly summary: string;
  readonly defaultCount: number;
  /** Loads the module and returns its function. */
  load(): Promise<(options: RunOptions) => Promise<RunResult>>;
}
