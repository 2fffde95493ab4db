import type { RankState } from './groupView.js';
import type { ChangeContext } from './sendOrder.js';
import { hasOtherEpoch, releasePass, RESEND_INTERVAL_MS, sendOrder } from './sendOrder.js';
import type { RankOrder } from './types.js';
import { getReplacingVersion } from './versionSource.js';

/**
 * Undoes a change whose pass is held at the local rank. A deputy may find all ranks armed and release that pass at any
 * time, so another rank holds it as well before the first rank is disarmed.
 *
 * @param context - Ranks and clock
 * @param version - Highest version for which an order to arm may be in flight
 * @param epoch - Epoch of the group
 * @param pass - Held pass
 * @returns `begun` if the pass has begun, so that all ranks have switched
 */
export async function undoChange(
  context: ChangeContext,
  version: number,
  epoch: number,
  pass: number,
): Promise<'undone' | 'epoch_changed' | 'begun'> {
  const guard = await holdElsewhere(context, epoch, pass);
  if (typeof guard === 'string') return guard;
  const undone = await rollBackArming(context, version, epoch);
  if (!undone) return 'epoch_changed';
  for (const { report } of [...context.view.ranks.values()]) {
    const isHolder = report.rank === guard || report.held === pass;
    if (isHolder && report.rank !== 0) await releasePass(context, report.rank, epoch, pass);
  }
  await releasePass(context, 0, epoch, pass);
  return 'undone';
}

/** Holds a pass at a rank other than the local one. */
async function holdElsewhere(
  context: ChangeContext,
  epoch: number,
  pass: number,
): Promise<number | 'begun' | 'epoch_changed'> {
  const { view } = context;
  if (view.size === 1) return 0;
  for (;;) {
    for (const state of [...view.ranks.values()].sort((a, b) => a.report.rank - b.report.rank)) {
      const local = view.ranks.get(0)?.report;
      if (local?.epoch !== epoch || !local.isOpen) return 'epoch_changed';
      if (local.pass >= pass) return 'begun';
      const { report } = state;
      if (report.rank === 0 || report.epoch !== epoch) continue;
      if (report.held === pass) return report.rank;
      const outcome = await sendOrder(context, state, { kind: 'hold', pass }, epoch);
      if (outcome === 'done' || outcome === 'begun') return report.rank;
    }
    await view.waitForStatus(RESEND_INTERVAL_MS);
  }
}

/**
 * Disarms all ranks and makes them prepare a newer version, which makes late orders to arm the old one fail. The pass
 * may be released only when every rank has prepared the newer version and none is armed.
 *
 * @param context - Ranks and clock
 * @param version - Highest version for which an order to arm may be in flight
 * @param epoch - Epoch of the group
 * @returns False when the group has re-formed, which invalidates all orders
 */
async function rollBackArming(
  context: ChangeContext,
  version: number,
  epoch: number,
): Promise<boolean> {
  const { view } = context;
  const replacingVersion = getReplacingVersion(version);
  const inFlight = new Set<number>();
  const send = (state: RankState, order: RankOrder): void => {
    const { rank } = state.report;
    if (inFlight.has(rank)) return;
    inFlight.add(rank);
    void sendOrder(context, state, order, epoch).then(() => inFlight.delete(rank));
  };
  for (;;) {
    const states = [...view.ranks.values()].sort((a, b) => a.report.rank - b.report.rank);
    if (hasOtherEpoch(states, epoch)) return false;
    const placement = view.assemblePlacement(states);
    let isRolledBack = states.length === view.size;
    for (const state of states) {
      const { armed, prepared } = state.report;
      if (armed !== undefined) {
        send(state, { kind: 'disarm', version: armed.version });
      } else if ((prepared ?? 0) <= version && placement !== undefined) {
        send(state, { kind: 'prepare', version: replacingVersion, placement });
      } else continue;
      isRolledBack = false;
    }
    if (isRolledBack) return true;
    await new Promise((resolve) => setTimeout(resolve, RESEND_INTERVAL_MS));
  }
}
