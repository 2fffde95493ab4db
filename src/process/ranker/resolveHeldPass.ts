import { completeHeldChange } from './changeMap.js';
import type { ChangeContext } from './sendOrder.js';
import { isArmedFor, releasePass } from './sendOrder.js';
import { undoChange } from './undoChange.js';
import type { RankState } from './groupView.js';
import type { RankReport } from './types.js';

/**
 * Finds a rank that holds a pass.
 *
 * @param states - All ranks
 * @returns Report of the lowest such rank, undefined if there is none
 */
export function findHolder(
  states: readonly RankState[],
): (RankReport & { readonly held: number }) | undefined {
  for (const { report } of states) {
    if (report.held !== undefined) return { ...report, held: report.held };
  }
  return undefined;
}

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
  // Another rank holds the pass from before the first order to disarm until the change is undone.
  const isBeingUndone = states.some(({ report: { rank, held } }) => rank !== 0 && held === pass);
  const isComplete =
    !isBeingUndone &&
    version !== undefined &&
    states.every(({ report }) => isArmedFor(report, version, pass));
  if (!isBeingUndone && isArmedForOtherPass(states, pass)) {
    await releasePass(context, 0, epoch, pass);
  } else if (isComplete) {
    await completeHeldChange(context, { version, epoch, pass });
  } else {
    // Some ranks may be armed, and a late order may still arm others.
    const highest = Math.max(...states.map(({ report }) => findHighestVersion(report)));
    await undoChange(context, highest, epoch, pass);
  }
  context.firstUnusedPass = Math.max(context.firstUnusedPass, pass + 1);
  return isComplete;
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
