import type { GroupView } from './groupView.js';
import type { ChangeContext } from './sendOrder.js';
import {
  hasOtherEpoch,
  isArmedFor,
  releasePass,
  RESEND_INTERVAL_MS,
  sendOrder,
  waitToRetry,
} from './sendOrder.js';
import { undoChange } from './undoChange.js';
import type { OrderOutcome, RankOrder, RankReport } from './types.js';

/** A change whose copies take longer completes too late for its demand. */
const PREPARE_TIMEOUT_MS = 2_500;
/** All ranks are armed within this time unless one is unreachable. */
const ARM_TIMEOUT_MS = 1_500;
/** The group begins the armed pass within this time unless it is idle. */
const SWITCH_TIMEOUT_MS = 3_000;
/** Minimum number of passes from the decision to the switch. */
const LEAD_PASSES = 1;
/** Assumed time from the hold to the release until one has been measured. */
const INITIAL_ARM_MS = 120;
/** A group that reaches a held pass makes all its streams late, and one more pass of lead delays only the switch. */
const ARM_TIME_MARGIN = 1.5;
/** Weight of the latest time to arm when it is shorter than the estimate; a longer one replaces the estimate. */
const ARM_TIME_WEIGHT = 0.25;
/** Lead while orders are lost and the time to arm has not been measured, as it then takes resends. */
const UNRELIABLE_LEAD_PASSES = 4;
/** Maximum lead of a pass; a longer one delays the switch until demand has shifted again. */
const MAX_LEAD_MS = 1_500;
/** Assumed share of each rank in the time from the hold to the release until one has been measured. */
const INITIAL_ARM_MS_PER_RANK = 3;
/** Orders count as unreliable for this long after one remained unanswered. */
const UNRELIABLE_PERIOD_MS = 8_000;
/** The group may begin the chosen pass before the hold takes effect; the next attempt names a later pass. */
const MAX_HOLD_ATTEMPTS = 6;
/** An engine that does not answer for this long is about to break its group. */
const HOLD_TIMEOUT_MS = 1_500;

export type ChangeOutcome =
  'switched' | 'not_prepared' | 'not_held' | 'undone' | 'epoch_changed' | 'idle';

export interface MapChange {
  readonly version: number;
  /** Experts by layer and rank. */
  readonly placement: readonly (readonly (readonly number[])[])[];
  readonly epoch: number;
}

/**
 * Changes the expert map of a group so that all ranks switch before the same pass.
 *
 * The pass is held at the coordinator's local rank before any rank is armed for it. It is released only when every rank
 * is known to be armed, or when every rank is known not to be armed and no late order can arm it any more. A lost, late
 * or duplicated order can therefore stall the group for a while, but cannot make it begin a pass with two maps.
 *
 * A deputy may arm the ranks and release the pass as well (see `finishStalledChange`), so a change whose pass is held is
 * undone only while another rank holds the pass too.
 *
 * @param context - Ranks and clock
 * @param change - New map
 * @returns How the change ended
 */
export async function changeMap(context: ChangeContext, change: MapChange): Promise<ChangeOutcome> {
  const { version, placement, epoch } = change;
  const prepared = await sendOrderToAll(
    context,
    epoch,
    { kind: 'prepare', version, placement },
    (report) => report.prepared === version,
    PREPARE_TIMEOUT_MS,
    () => isStopping(context),
  );
  if (prepared !== 'confirmed') return prepared === 'epoch' ? 'epoch_changed' : 'not_prepared';
  context.timer?.markStep('prepared', context.readClock());
  if (isStopping(context)) return 'not_held';
  const heldAt = context.readClock();
  const pass = await holdPass(context, epoch);
  if (pass === undefined) return 'not_held';
  context.timer?.markStep('held', context.readClock());
  return completeHeldChange(context, { version, epoch, pass, placement, heldAt });
}

/**
 * Arms all ranks for a held pass, and releases it.
 *
 * @param context - Ranks and clock
 * @param change - Version that all ranks have prepared, epoch, and the held pass
 * @returns How the change ended
 */
export async function completeHeldChange(
  context: ChangeContext,
  change: {
    readonly version: number;
    readonly epoch: number;
    readonly pass: number;
    /** Undefined when an earlier coordinator has chosen it. */
    readonly placement?: MapChange['placement'];
    /** Time of the order to hold; undefined when an earlier coordinator has sent it. */
    readonly heldAt?: number;
  },
): Promise<ChangeOutcome> {
  const { version, epoch, pass } = change;
  const armed = await sendOrderToAll(
    context,
    epoch,
    { kind: 'arm', version, pass },
    (report) => isArmedFor(report, version, pass) || report.map === version,
    ARM_TIMEOUT_MS,
  );
  if (armed === 'epoch') return 'epoch_changed';
  if (armed !== 'confirmed') {
    const end = await undoChange(context, version, epoch, pass);
    if (end !== 'begun') return end;
  }
  context.timer?.markStep('armed', context.readClock());
  await releasePass(context, 0, epoch, pass);
  if (change.heldAt !== undefined) recordArmTime(context, context.readClock() - change.heldAt);
  const heldPassDueAt = context.view.passClock.estimateStart(pass);
  if (heldPassDueAt !== undefined) context.timer?.recordWait(context.readClock() - heldPassDueAt);
  const deadlineAt = context.readClock() + SWITCH_TIMEOUT_MS;
  while (context.readClock() < deadlineAt && !isStopping(context)) {
    const states = [...context.view.ranks.values()];
    if (hasOtherEpoch(states, epoch)) return 'epoch_changed';
    // All ranks are armed for the same pass, so the report of the local rank stands for all of them.
    if (context.view.ranks.get(0)?.report.map === version) {
      context.view.applySwitch(version, change.placement);
      context.timer?.markStep('switched', context.readClock());
      return 'switched';
    }
    await context.view.waitForStatus(RESEND_INTERVAL_MS);
  }
  return 'idle';
}

function isStopping({ stopSignal }: ChangeContext): boolean {
  return stopSignal?.aborted === true;
}

async function holdPass(context: ChangeContext, epoch: number): Promise<number | undefined> {
  const isReliable =
    context.armMs !== undefined ||
    context.readClock() - context.lastUnansweredOrderAt > UNRELIABLE_PERIOD_MS;
  let lead = isReliable ? LEAD_PASSES : UNRELIABLE_LEAD_PASSES;
  for (let attempts = 0; attempts < MAX_HOLD_ATTEMPTS; attempts += 1) {
    const localState = context.view.ranks.get(0);
    if (localState?.report.epoch !== epoch) return undefined;
    const pass = Math.max(choosePass(context, localState.report, lead), context.firstUnusedPass);
    context.firstUnusedPass = pass + 1;
    const outcome = await holdLocally(context, epoch, pass);
    if (outcome === 'done' || outcome === 'begun') return pass;
    if (outcome === 'unknown') return undefined;
    lead += 1;
  }
  return undefined;
}

/**
 * Sends an order to hold a pass until it is answered. An unanswered one may have taken effect or may still do so, and a
 * deputy that finds the pass held completes the change, so no other pass is tried before.
 */
async function holdLocally(
  context: ChangeContext,
  epoch: number,
  pass: number,
): Promise<OrderOutcome> {
  const deadlineAt = context.readClock() + HOLD_TIMEOUT_MS;
  for (;;) {
    const localState = context.view.ranks.get(0);
    if (localState?.report.epoch !== epoch) return 'refused';
    const outcome = await sendOrder(context, localState, { kind: 'hold', pass }, epoch);
    if (outcome !== 'unknown' || context.readClock() >= deadlineAt) return outcome;
    await waitToRetry();
  }
}

/** Chooses a pass that the group does not reach before all ranks are armed and the pass is released. */
function choosePass(context: ChangeContext, report: RankReport, lead: number): number {
  const now = context.readClock();
  const earliest = report.pass + lead;
  // An idle group does not reach any pass.
  if (report.running === 0) return earliest;
  const initialArmMs = Math.max(INITIAL_ARM_MS, context.view.size * INITIAL_ARM_MS_PER_RANK);
  const leadMs = Math.min((context.armMs ?? initialArmMs) * ARM_TIME_MARGIN, MAX_LEAD_MS);
  const pass = context.view.passClock.estimateFirstPass(now + leadMs, now) ?? earliest;
  return Math.max(earliest, pass);
}

function recordArmTime(context: ChangeContext, durationMs: number): void {
  const estimateMs = context.armMs ?? durationMs;
  context.armMs = Math.max(durationMs, estimateMs + (durationMs - estimateMs) * ARM_TIME_WEIGHT);
}

/** Sends an order to every rank until each has confirmed it or reports its effect. */
async function sendOrderToAll(
  context: ChangeContext,
  epoch: number,
  order: RankOrder,
  isConfirmed: (report: RankReport) => boolean,
  timeoutMs: number,
  isAbandoned: () => boolean = () => false,
): Promise<'confirmed' | 'refused' | 'late' | 'epoch'> {
  const { view, readClock } = context;
  const deadlineAt = readClock() + timeoutMs;
  const done = new Set<number>();
  const begun = new Set<number>();
  const sentAt = new Map<number, number>();
  const inFlight = new Set<number>();
  const refusedBy = new Set<number>();
  for (;;) {
    const now = readClock();
    const states = [...view.ranks.values()];
    if (hasOtherEpoch(states, epoch)) return 'epoch';
    const open = states.filter(({ report }) => !done.has(report.rank) && !isConfirmed(report));
    if (open.length === 0 && states.length === view.size) return 'confirmed';
    if (refusedBy.size > 0) return 'refused';
    if (now >= deadlineAt || isAbandoned()) return 'late';
    for (const state of open) {
      const { rank } = state.report;
      // A resend delays the replies of all ranks, so it waits for the outcome of the order before.
      if (begun.has(rank) || inFlight.has(rank)) continue;
      if (now - (sentAt.get(rank) ?? -Infinity) < RESEND_INTERVAL_MS) continue;
      sentAt.set(rank, now);
      inFlight.add(rank);
      void sendOrder(context, state, order, epoch).then((outcome) => {
        inFlight.delete(rank);
        if (outcome === 'begun') begun.add(rank);
        else if (outcome === 'done') done.add(rank);
        else if (outcome === 'refused' && !isConfirmedNow(view, rank, isConfirmed))
          refusedBy.add(rank);
        view.notifyWaiters();
      });
    }
    await view.waitForStatus(RESEND_INTERVAL_MS);
  }
}

function isConfirmedNow(
  view: GroupView,
  rank: number,
  isConfirmed: (report: RankReport) => boolean,
): boolean {
  const state = view.ranks.get(rank);
  return state !== undefined && isConfirmed(state.report);
}
