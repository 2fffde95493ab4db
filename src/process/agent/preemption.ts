/** Running job, as input to the preemption decision. */
export interface RunningWork {
  readonly id: string;
  readonly workspace: string;
  readonly startedAt: number;
  /** Only engine streams can be cancelled and resumed. */
  readonly preemptible: boolean;
  readonly preemptions: number;
}

/** Slot usage of one workspace at this upstream. */
export interface WorkspaceUsage {
  /** Guaranteed fraction of the service. */
  readonly share: number;
  /** Slots currently held. */
  readonly held: number;
  /** Average of the held slots; the time before the first use counts as idle. */
  readonly average: number;
  /** Average of the held slots since the first use. */
  readonly averageSinceFirstUse: number;
}

export interface PreemptionInput {
  readonly slots: number;
  readonly running: readonly RunningWork[];
  /** Workspaces with queued work. */
  readonly waiting: readonly string[];
  readonly getUsage: (workspace: string) => WorkspaceUsage;
}

export interface Preemption {
  /** Id of the running job to preempt. */
  readonly victim: string;
  /** Workspace that receives the slot. */
  readonly beneficiary: string;
}

/**
 * Minimum run time of a stream before it may be preempted. It grows by this amount with each
 * preemption, up to `MAX_MIN_RUN_MULTIPLIER` times, which bounds the upstream time spent on repeated
 * prefill and lets each stream make progress whenever it runs. A limit on the number of preemptions
 * instead left small workspaces waiting behind long streams that had exhausted it.
 */
export const MIN_RUN_MS = 50;
const MAX_MIN_RUN_MULTIPLIER = 4;
/**
 * Slots that a workspace may reclaim beyond its guaranteed slots while its average usage is below its share.
 * The share at a single agent is often less than one slot, so two concurrent requests are a common burst.
 */
const BURST_SLOTS = 1;
/**
 * Minimum difference in utilization, as a multiple of the guaranteed slots, for a slot to change hands. Prevents two
 * workspaces from taking a slot from each other in turn.
 */
const MIN_UTILIZATION_GAP = 0.25;

/**
 * Computes the guaranteed slots of a workspace, as a fraction. A workspace that holds fewer may take one more, so
 * any share gives at least one slot. A workspace whose average is within its share loses a slot only if
 * it still holds its guaranteed slots afterwards.
 *
 * @param share - Fraction of the service
 * @param slots - Slots of the upstream
 * @returns Slots, not rounded
 */
export function computeGuaranteedSlots(share: number, slots: number): number {
  return share * slots;
}

/**
 * Checks whether new work of a workspace is within its guaranteed share.
 *
 * @param usage - Share and slot usage
 * @param slots - Slots of the upstream
 * @returns True while it holds less than its guaranteed slots, or up to one slot more while its average is below them
 */
export function isBelowShare(usage: WorkspaceUsage, slots: number): boolean {
  const guaranteed = computeGuaranteedSlots(usage.share, slots);
  if (usage.held < guaranteed) return true;
  return usage.average < guaranteed && usage.held < guaranteed + BURST_SLOTS;
}

/**
 * Chooses the workspace whose queued work starts first.
 *
 * @param input - Slots and waiting workspaces
 * @returns The workspace with the lowest utilization among those within their guaranteed share
 */
export function chooseBeneficiary(
  input: Pick<PreemptionInput, 'slots' | 'waiting' | 'getUsage'>,
): string | undefined {
  let chosen: string | undefined;
  let minLevel = Number.POSITIVE_INFINITY;
  for (const workspace of input.waiting) {
    const usage = input.getUsage(workspace);
    const level = computeUtilization(usage);
    if (level >= minLevel || !isBelowShare(usage, input.slots)) continue;
    chosen = workspace;
    minLevel = level;
  }
  return chosen;
}

/**
 * Chooses the stream to preempt for a workspace that has queued work and is below its guaranteed share.
 *
 * Shares are guaranteed on average over several seconds: a workspace that has used more than its share
 * yields slots to a burst of one that has used less, and may briefly hold less than its guaranteed slots.
 *
 * @param input - Slots, running and waiting work
 * @param now - Current time in milliseconds
 * @returns The most recently started stream of the workspace furthest above its share, and the
 *   workspace with the lowest utilization
 */
export function choosePreemption(input: PreemptionInput, now: number): Preemption | undefined {
  const { slots, running, getUsage } = input;
  if (running.length < slots) return undefined;
  const beneficiary = chooseBeneficiary(input);
  if (beneficiary === undefined) return undefined;
  const minVictimLevel = computeUtilization(getUsage(beneficiary)) + MIN_UTILIZATION_GAP * slots;
  let victim: RunningWork | undefined;
  let maxOveruse = 0;
  for (const work of running) {
    const minRunMs = MIN_RUN_MS * Math.min(1 + work.preemptions, MAX_MIN_RUN_MULTIPLIER);
    if (!work.preemptible || now - work.startedAt < minRunMs) continue;
    const usage = getUsage(work.workspace);
    const guaranteed = computeGuaranteedSlots(usage.share, slots);
    const overuse = usage.averageSinceFirstUse - guaranteed;
    if (usage.held < guaranteed + 1 && overuse <= 0) continue;
    if (
      computeUtilization(usage) < minVictimLevel ||
      (victim !== undefined && overuse < maxOveruse)
    )
      continue;
    if (overuse === maxOveruse && victim !== undefined && work.startedAt <= victim.startedAt)
      continue;
    victim = work;
    maxOveruse = overuse;
  }
  return victim === undefined ? undefined : { victim: victim.id, beneficiary };
}

/** Average usage divided by the share, so that workspaces with different shares are comparable. */
function computeUtilization({ share, averageSinceFirstUse }: WorkspaceUsage): number {
  return share > 0 ? averageSinceFirstUse / share : Number.POSITIVE_INFINITY;
}
