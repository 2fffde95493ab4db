import type { ChangeContext } from './changeMap.js';
import { completeHeldChange, releasePass, rollBackArming } from './changeMap.js';
import type { RankState } from './groupView.js';
import type { RankReport } from './types.js';

/**
 * Completes or undoes the change for which a pass is held, and releases the pass. The change may be that of an earlier
 * coordinator, whose orders may still be in flight.
 *
 * @param context - Ranks and clock
 * @param states - All ranks
 * @param pass - Held pass
 * @returns Whether the change was complete, so that it was finished rather than undone
 */
export async function resolveHeldPass(
  context: ChangeContext,
  states: readonly RankState[],
  pass: number,
): Promise<boolean> {
  const { epoch = 0, prepared: version } = states[0]?.report ?? {};
  const isComplete = version !== undefined && isArmedForPass(states, version, pass);
  if (context.unarmedHolds.has(`${epoch}/${pass}`) || isArmedForOtherPass(states, pass)) {
    await releasePass(context, epoch, pass);
  } else if (isComplete) {
    await completeHeldChange(context, { version, epoch, pass });
  } else {
    // Some ranks may be armed, and a late order may still arm others.
    const highest = Math.max(...states.map(({ report }) => findHighestVersion(report)));
    if (await rollBackArming(context, highest, epoch)) await releasePass(context, epoch, pass);
  }
  context.firstUnusedPass = Math.max(context.firstUnusedPass, pass + 1);
  return isComplete;
}

/**
 * Whether all ranks are armed for the held pass, so that an order to release it may be in flight. Ranks that are not armed
 * must not be: if the earlier coordinator has begun to undo the change, a late order may disarm them again.
 */
function isArmedForPass(states: readonly RankState[], version: number, pass: number): boolean {
  return states.every(({ report: { armed } }) => armed?.version === version && armed.pass === pass);
}

/** Whether a change is complete for another pass, so that the hold is a late order of an earlier attempt. */
function isArmedForOtherPass(states: readonly RankState[], pass: number): boolean {
  const first = states[0]?.report.armed;
  if (first === undefined || first.pass === pass) return false;
  return states.every(
    ({ report: { armed } }) => armed?.version === first.version && armed.pass === first.pass,
  );
}

function findHighestVersion({ map, prepared = 0, armed }: RankReport): number {
  return Math.max(map, prepared, armed?.version ?? 0);
}
