import type { NumberSource } from './numberSource.js';
import type { SendMapMessage } from './types.js';

/** Current process of a rank as known to a manager. */
export interface RankView {
  readonly process: string;
  /** Group incarnation that this process has joined; 0 for none. */
  readonly incarnation: number;
}

export interface IncarnationOptions {
  readonly numbers: NumberSource;
  readonly send: SendMapMessage;
  /** Time allowed for another manager to complete its incarnation. */
  readonly completionTimeoutMs: number;
}

interface IncarnationChoice {
  readonly incarnation: number;
  readonly version: number;
  /** Processes by rank, fixed with the number: a lost `begun` must not hide that a member has run steps. */
  readonly members: readonly string[];
}

/**
 * Chooses group incarnations. Any rank may run a manager at any time: two managers never issue the
 * same number, a number belongs to the processes named with it, and only the manager that chose it
 * sends its `begin` messages.
 */
export class IncarnationManager {
  private chosen: IncarnationChoice | undefined;
  private highest = 0;
  private waitingSince: number | undefined;

  constructor(private readonly options: IncarnationOptions) {}

  /** Last incarnation chosen by this manager; 0 for none. */
  get chosenIncarnation(): number {
    return this.chosen?.incarnation ?? 0;
  }

  /**
   * Checks the current incarnation, sends outstanding `begin` messages and chooses a new
   * incarnation when a process has been replaced.
   *
   * @param views - Current process by rank; undefined while unknown, which defers every choice
   * @param getVersion - Returns the map version for a new incarnation; undefined when there is none yet
   * @param now - Current time in milliseconds
   * @returns The incarnation that all ranks have joined, or undefined
   */
  update(
    views: readonly (RankView | undefined)[],
    getVersion: () => number | undefined,
    now: number,
  ): number | undefined {
    const knownViews = views.filter((view) => view !== undefined);
    for (const { incarnation } of knownViews) this.observeIncarnation(incarnation);
    if (knownViews.length < views.length) return undefined;
    const { chosen, highest } = this;
    const localChoice = chosen?.incarnation === highest ? chosen : undefined;
    const replaced =
      localChoice?.members.some((name, rank) => knownViews[rank]?.process !== name) === true;
    if (
      highest > 0 &&
      !replaced &&
      knownViews.every(({ incarnation }) => incarnation === highest)
    ) {
      this.waitingSince = undefined;
      return highest;
    }
    if (localChoice !== undefined && !replaced) {
      this.sendBegins(localChoice, knownViews);
      return undefined;
    }
    if (localChoice === undefined && highest > 0) {
      this.waitingSince ??= now;
      if (now - this.waitingSince < this.options.completionTimeoutMs) return undefined;
    }
    this.chooseIncarnation(knownViews, getVersion(), now);
    return undefined;
  }

  private observeIncarnation(incarnation: number): void {
    if (incarnation <= this.highest) return;
    this.highest = incarnation;
    this.options.numbers.observe(incarnation);
    // Restart the wait, so that the manager that chose it gets the full time.
    this.waitingSince = undefined;
  }

  private chooseIncarnation(
    views: readonly RankView[],
    version: number | undefined,
    now: number,
  ): void {
    if (version === undefined) return;
    const incarnation = this.options.numbers.issue(now);
    this.highest = incarnation;
    this.waitingSince = undefined;
    this.chosen = { incarnation, version, members: views.map(({ process }) => process) };
    this.sendBegins(this.chosen, views);
  }

  private sendBegins(chosen: IncarnationChoice, views: readonly RankView[]): void {
    const { incarnation, version, members } = chosen;
    for (const [rank, process] of members.entries()) {
      if (views[rank]?.incarnation === incarnation) continue;
      // The number of the incarnation is also its first fencing number.
      const message = { type: 'begin' as const, incarnation, fencing: incarnation, version };
      this.options.send({ rank }, { ...message, process });
    }
  }
}
