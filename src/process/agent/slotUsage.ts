/**
 * Time over which use is averaged. A workspace that used less than its share before may use more
 * slots at once until the average reaches the share, so a burst of a few requests at one agent does
 * not wait while other agents hold the rest of its share unused.
 */
const TIME_CONSTANT_MS = 20_000;
/** Averages below this are dropped. */
const MIN_AVERAGE = 0.001;

interface Usage {
  held: number;
  average: number;
  updatedAt: number;
  readonly firstUsedAt: number;
}

/** Slots held on the average of the last seconds. */
export interface AverageUsage {
  /** Counts the time before the first use as idle. */
  readonly average: number;
  /** Counts only the time since the first use, so that it is exact from the start. */
  readonly averageSinceFirstUse: number;
}

/** Slots that each workspace holds, now and on the average of the last seconds. */
export class SlotUsage {
  private readonly usages = new Map<string, Usage>();

  /**
   * Records a taken or released slot.
   *
   * @param workspace - Workspace
   * @param change - 1 or -1
   * @param now - Milliseconds
   */
  record(workspace: string, change: 1 | -1, now: number): void {
    const usage = this.usages.get(workspace) ?? {
      held: 0,
      average: 0,
      updatedAt: now,
      firstUsedAt: now,
    };
    usage.average = computeAverage(usage, now);
    usage.updatedAt = now;
    usage.held += change;
    this.usages.set(workspace, usage);
  }

  /**
   * Counts the slots that a workspace holds at present.
   *
   * @param workspace - Workspace
   * @returns Slots
   */
  countHeld(workspace: string): number {
    return this.usages.get(workspace)?.held ?? 0;
  }

  /**
   * Computes the slots that a workspace has held on the average.
   *
   * @param workspace - Workspace
   * @param now - Milliseconds
   * @returns Slots, not rounded
   */
  computeAverage(workspace: string, now: number): AverageUsage {
    const usage = this.usages.get(workspace);
    if (usage === undefined) return { average: 0, averageSinceFirstUse: 0 };
    const average = computeAverage(usage, now);
    const observedFraction = 1 - Math.exp(-Math.max(1, now - usage.firstUsedAt) / TIME_CONSTANT_MS);
    return { average, averageSinceFirstUse: average / observedFraction };
  }

  /**
   * Forgets workspaces that have used nothing for long.
   *
   * @param now - Milliseconds
   */
  expire(now: number): void {
    for (const [workspace, usage] of this.usages) {
      if (usage.held === 0 && computeAverage(usage, now) < MIN_AVERAGE) {
        this.usages.delete(workspace);
      }
    }
  }

  /**
   * Lists the workspaces with recent use.
   *
   * @returns Workspaces
   */
  list(): string[] {
    return [...this.usages.keys()];
  }
}

function computeAverage({ held, average, updatedAt }: Usage, now: number): number {
  return held + (average - held) * Math.exp(-Math.max(0, now - updatedAt) / TIME_CONSTANT_MS);
}
