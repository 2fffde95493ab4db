/** Steps of a map change, in order. */
export type ChangeStep = 'prepared' | 'held' | 'armed' | 'switched';

/** Durations of one map change in milliseconds; a step that was not reached is left out. */
export interface ChangeDurations {
  readonly prepareMs?: number;
  readonly holdMs?: number;
  readonly armMs?: number;
  /** From the release of the pass to the switch. */
  readonly switchMs?: number;
  /** Estimated time for which the group waited before the held pass; negative if the release came earlier. */
  readonly waitedMs?: number;
  /** Longest time from sending an order to its outcome. */
  readonly longestOrderMs: number;
}

const durationNames = {
  prepared: 'prepareMs',
  held: 'holdMs',
  armed: 'armMs',
  switched: 'switchMs',
} as const satisfies Readonly<Record<ChangeStep, keyof ChangeDurations>>;

/** Measures the steps of one map change. */
export class ChangeTimer {
  private readonly durations: Partial<Record<keyof ChangeDurations, number>> = {};
  private lastStepAt: number;
  private longestOrderMs = 0;

  constructor(now: number) {
    this.lastStepAt = now;
  }

  /**
   * Marks the end of a step.
   *
   * @param step - Step that has ended
   * @param now - Current time in milliseconds
   */
  markStep(step: ChangeStep, now: number): void {
    this.durations[durationNames[step]] = Math.round(now - this.lastStepAt);
    this.lastStepAt = now;
  }

  /**
   * Records the time that an order took.
   *
   * @param durationMs - Time from sending the order to its outcome
   */
  recordOrder(durationMs: number): void {
    this.longestOrderMs = Math.max(this.longestOrderMs, durationMs);
  }

  /**
   * Records how long the group waited before the held pass.
   *
   * @param waitedMs - Time from the expected start of the pass to its release; negative if the release came earlier
   */
  recordWait(waitedMs: number): void {
    this.durations.waitedMs = Math.round(waitedMs);
  }

  /**
   * Describes the change for its log line.
   *
   * @returns Durations of the steps reached
   */
  describe(): ChangeDurations {
    return { ...this.durations, longestOrderMs: Math.round(this.longestOrderMs) };
  }
}
