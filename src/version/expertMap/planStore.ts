import type { GroupPlacement } from '../placement/types.js';

/** Content of a map version; a version never changes its content. */
export interface Plan {
  readonly version: number;
  readonly placement: GroupPlacement;
}

/** More than the plans in use, because an aborted change leaves one behind. */
const MAX_PLANS = 6;

/** Contents of the recent map versions, by version. */
export class PlanStore {
  private readonly plans = new Map<number, Plan>();

  get(version: number): Plan | undefined {
    return this.plans.get(version);
  }

  /**
   * Adds a plan and evicts the oldest ones that are not in use.
   *
   * @param plan - Version and content
   * @param inUse - Versions to keep
   * @returns False when the version was already known
   */
  add(plan: Plan, inUse: readonly number[]): boolean {
    if (this.plans.has(plan.version)) return false;
    this.plans.set(plan.version, plan);
    for (const version of this.plans.keys()) {
      if (this.plans.size <= MAX_PLANS) break;
      if (!inUse.includes(version) && version !== plan.version) this.plans.delete(version);
    }
    return true;
  }
}
