/** Running work as the preemption decision sees it. */
export interface RunningWork {
  readonly id: string;
  readonly workspace: string;
  readonly startedAt: number;
  /** Only streams of engines can be cancelled and continued. */
  readonly preemptible: boolean;
  readonly preemptions: number;
}

/** Use of the upstream by one workspace. */
export interface WorkspaceUsage {
  /** Guaranteed fraction of the service. */
  readonly share: number;
  /** Slots held at present. */
  readonly held: number;
  /** Slots held on the average; a workspace that has just come has been idle before. */
  readonly average: number;
  /** Slots held on the average since the first use. */
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
  /** Running work to stop. */
  readonly victim: string;
  /** Workspace that gets the slot. */
  readonly beneficiary: string;
}

/**
 * A stream that started or continued less than this ago is left alone; the time grows by the same
 * amount with each preemption. It bounds the part of the upstream's time that goes to repeated
 * prefill, and gives each stream progress whenever it runs. A fixed number of preemptions instead
 * left small workspaces waiting behind long streams that had used theirs up.
 */
export const MIN_RUN_MS = 50;
const MAX_MIN_RUN_FACTOR = 4;
/**
 * Slots beyond its guaranteed ones that a workspace may claim while its average is below its share.
 * Shares of single agents are often below one slot, so two requests at once are a common burst.
 */
const BURST_SLOTS = 1;
/** Difference in use, in guaranteed shares, below which no slot moves; prevents moving it back. */
const MIN_UTILIZATION_GAP = 0.25;

/**
 * Computes the slots that a workspace is guaranteed. A workspace with less may get one more, so any
 * share gives one slot; a workspace loses a slot only if it keeps its guaranteed part.
 *
 * @param share - Fraction of the service
 * @param slots - Slots of the upstream
 * @returns Slots, not rounded
 */
export function computeGuaranteedSlots(share: number, slots: number): number {
  return share * slots;
}

/**
 * Checks whether new work of a workspace is within its guarantee.
 *
 * @param usage - Share and use
 * @param slots - Slots of the upstream
 * @returns True while it holds less than its guaranteed slots, or a little more after using less
 */
export function isBelowShare(usage: WorkspaceUsage, slots: number): boolean {
  const guaranteed = computeGuaranteedSlots(usage.share, slots);
  if (usage.held < guaranteed) return true;
  return usage.average < guaranteed && usage.held < guaranteed + BURST_SLOTS;
}

/**
 * Chooses the waiting workspace whose work goes first.
 *
 * @param input - Slots and waiting workspaces
 * @returns The one that has used the least of its share, of those within their guarantee
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
 * Chooses the stream to preempt for a workspace that waits below its guaranteed share.
 *
 * Shares hold on the average of some seconds: a workspace that has had more than its share yields
 * slots to a burst of one that has had less, even below its guaranteed slots for a moment.
 *
 * @param input - Slots, running and waiting work
 * @param now - Milliseconds
 * @returns The latest started stream of the workspace most above its share, and the workspace
 *   most below its share
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
    const minRunMs = MIN_RUN_MS * Math.min(1 + work.preemptions, MAX_MIN_RUN_FACTOR);
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

/** Average use over share; equal levels are equal use of what each is guaranteed. */
function computeUtilization({ share, averageSinceFirstUse }: WorkspaceUsage): number {
  return share > 0 ? averageSinceFirstUse / share : Number.POSITIVE_INFINITY;
}
