import type { GroupView, RankSeat } from './groupView.js';
import type { RankOrder, RankReport } from './types.js';

/** Orders without an answer are sent again after this time. */
const RESEND_MS = 120;
/** Copies of four experts take 0.6 s; a change that takes much longer comes too late for its demand. */
const PREPARE_LIMIT_MS = 2_500;
/** All ranks are armed within this time unless one is away. */
const ARM_LIMIT_MS = 1_500;
/** The group has taken the armed pass within this time unless it is idle. */
const SWITCH_LIMIT_MS = 3_000;
/** Passes between the decision and the switch: enough to arm all ranks before the group gets there. */
const LEAD_PASSES = 3;

export type ChangeOutcome =
  'switched' | 'not_prepared' | 'not_held' | 'undone' | 'epoch_changed' | 'idle';

export interface MapChange {
  readonly version: number;
  /** Experts by layer and rank. */
  readonly placement: readonly (readonly (readonly number[])[])[];
  readonly epoch: number;
}

export interface ChangeContext {
  readonly view: GroupView;
  readNow(): number;
  /** Lowest pass that no earlier change has named; a late order of an earlier change must not fit a new one. */
  firstFreePass: number;
}

/**
 * Changes the expert map of a group so that all ranks switch before the same pass.
 *
 * The pass is held at the coordinator's own rank before any rank is armed for it, and released only when every rank is
 * known to be armed, or when every rank is known not to be and no late order can arm it any more. So a lost, late or
 * doubled order can stop the group for a while but cannot let it begin a pass with two maps.
 *
 * @param context - Ranks and clock
 * @param change - New map
 * @returns How the change ended
 */
export async function changeMap(context: ChangeContext, change: MapChange): Promise<ChangeOutcome> {
  const { version, placement, epoch } = change;
  const prepared = await orderAll(
    context,
    epoch,
    { kind: 'prepare', version, placement },
    (report) => report.prepared === version,
    PREPARE_LIMIT_MS,
  );
  if (prepared !== 'confirmed') return prepared === 'epoch' ? 'epoch_changed' : 'not_prepared';
  const pass = await holdPass(context, epoch);
  if (pass === undefined) return 'not_held';
  return finishHeld(context, { version, epoch, pass });
}

/**
 * Arms all ranks for a pass that is held, and releases it.
 *
 * @param context - Ranks and clock
 * @param change - Version that all ranks have prepared, epoch, and the held pass
 * @returns How the change ended
 */
export async function finishHeld(
  context: ChangeContext,
  change: { version: number; epoch: number; pass: number },
): Promise<ChangeOutcome> {
  const { version, epoch, pass } = change;
  const armed = await orderAll(
    context,
    epoch,
    { kind: 'arm', version, pass },
    (report) => report.armed?.version === version && report.armed.pass === pass,
    ARM_LIMIT_MS,
  );
  if (armed === 'epoch') return 'epoch_changed';
  if (armed !== 'confirmed') {
    const undone = await undoArms(context, version, epoch);
    if (!undone) return 'epoch_changed';
    await releasePass(context, epoch, pass);
    return 'undone';
  }
  await releasePass(context, epoch, pass);
  const limit = context.readNow() + SWITCH_LIMIT_MS;
  while (context.readNow() < limit) {
    const seats = [...context.view.seats.values()];
    if (seats.every(({ report }) => report.map === version)) return 'switched';
    if (hasOtherEpoch(seats, epoch)) return 'epoch_changed';
    await context.view.waitForStatus(RESEND_MS);
  }
  return 'idle';
}

/**
 * Releases a held pass at the coordinator's own rank.
 *
 * @param context - Ranks and clock
 * @param epoch - Epoch of the hold
 * @param pass - Held pass
 */
export async function releasePass(
  context: ChangeContext,
  epoch: number,
  pass: number,
): Promise<void> {
  for (;;) {
    const own = context.view.seats.get(0);
    if (own === undefined || own.report.epoch !== epoch) return;
    const outcome = await own.sendOrder({ kind: 'release', pass }, epoch);
    if (outcome !== 'unknown') return;
  }
}

async function holdPass(context: ChangeContext, epoch: number): Promise<number | undefined> {
  const own = context.view.seats.get(0);
  if (own === undefined || own.report.epoch !== epoch) return undefined;
  const pass = Math.max(own.report.pass + LEAD_PASSES, context.firstFreePass);
  context.firstFreePass = pass + 1;
  const limit = context.readNow() + PREPARE_LIMIT_MS;
  while (context.readNow() < limit) {
    const outcome = await own.sendOrder({ kind: 'hold', pass }, epoch);
    if (outcome === 'done' || outcome === 'begun') return pass;
    if (outcome === 'refused') return undefined;
  }
  return undefined;
}

/** Sends an order to every rank until each status shows its effect; without a limit it is repeated after refusals. */
async function orderAll(
  context: ChangeContext,
  epoch: number,
  order: RankOrder,
  isDone: (report: RankReport) => boolean,
  limitMs: number,
): Promise<'confirmed' | 'refused' | 'late' | 'epoch'> {
  const { view, readNow } = context;
  const limit = readNow() + limitMs;
  const accepted = new Set<number>();
  const pending = new Map<number, number>();
  let refused = false;
  for (;;) {
    const now = readNow();
    const seats = [...view.seats.values()];
    if (hasOtherEpoch(seats, epoch)) return 'epoch';
    const open = seats.filter(({ report }) => !isDone(report));
    if (open.length === 0 && seats.length === view.size) return 'confirmed';
    if (refused) return 'refused';
    if (now >= limit) return 'late';
    for (const seat of open) {
      const { rank } = seat.report;
      if (accepted.has(rank) || now - (pending.get(rank) ?? -Infinity) < RESEND_MS) continue;
      pending.set(rank, now);
      void seat.sendOrder(order, epoch).then((outcome) => {
        if (limitMs === Infinity) return;
        if (outcome === 'begun' || outcome === 'done') accepted.add(rank);
        else if (outcome === 'refused' && !isDoneNow(view, rank, isDone)) refused = true;
      });
    }
    await view.waitForStatus(RESEND_MS / 4);
  }
}

function isDoneNow(
  view: GroupView,
  rank: number,
  isDone: (report: RankReport) => boolean,
): boolean {
  const seat = view.seats.get(rank);
  return seat !== undefined && isDone(seat.report);
}

/**
 * Takes back what was armed. A newer prepared version makes late orders to arm the old one fail, so the pass may be
 * released only when every rank has one.
 *
 * @returns False when the group has formed anew, which voids all orders
 */
async function undoArms(context: ChangeContext, version: number, epoch: number): Promise<boolean> {
  const disarmed = await orderAll(
    context,
    epoch,
    { kind: 'disarm', version },
    (report) => report.armed === undefined,
    Infinity,
  );
  if (disarmed === 'epoch') return false;
  const seats = [...context.view.seats.values()].sort((a, b) => a.report.rank - b.report.rank);
  const placement = context.view.readPlacement(seats);
  if (placement === undefined) return false;
  const next = await orderAll(
    context,
    epoch,
    { kind: 'prepare', version: version + 1, placement },
    (report) => (report.prepared ?? 0) > version,
    Infinity,
  );
  return next === 'confirmed';
}

function hasOtherEpoch(seats: readonly RankSeat[], epoch: number): boolean {
  return seats.some(({ report }) => report.epoch !== epoch || !report.isOpen);
}
