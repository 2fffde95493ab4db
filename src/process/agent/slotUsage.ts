/**
 * Time constant of the exponential moving average of slot usage. A workspace that has used less than its share may
 * hold more slots until the average reaches the share, so a short burst at one agent does not wait while the
 * workspace's share at other agents is unused.
 */
const TIME_CONSTANT_MS = 20_000;
/** Idle workspaces whose average has decayed below this are dropped. */
const MIN_AVERAGE_SLOTS = 0.001;

interface Usage {
  held: number;
  average: number;
  updatedAt: number;
  readonly firstUsedAt: number;
}

/** Moving averages of the slots held. */
export interface AverageUsage {
  /** The time before the first use counts as idle. */
  readonly average: number;
  /** Covers only the time since the first use, so that it is unbiased from the start. */
  readonly averageSinceFirstUse: number;
}

/** Tracks the slots that each workspace holds, currently and as a moving average. */
export class SlotUsage {
  private readonly usages = new Map<string, Usage>();

  /**
   * Records an acquired or released slot.
   *
   * @param workspace - Workspace
   * @param change - 1 or -1
   * @param now - Current time in milliseconds
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
   * Counts the slots that a workspace currently holds.
   *
   * @param workspace - Workspace
   * @returns Slots
   */
  countHeld(workspace: string): number {
    return this.usages.get(workspace)?.held ?? 0;
  }

  /**
   * Computes the average number of slots that a workspace has held.
   *
   * @param workspace - Workspace
   * @param now - Current time in milliseconds
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
   * Drops idle workspaces whose average has decayed.
   *
   * @param now - Current time in milliseconds
   */
  expire(now: number): void {
    for (const [workspace, usage] of this.usages) {
      if (usage.held === 0 && computeAverage(usage, now) < MIN_AVERAGE_SLOTS) {
        this.usages.delete(workspace);
      }
    }
  }

  /**
   * Lists the workspaces with recent usage.
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
