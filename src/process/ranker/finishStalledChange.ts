import { isArmedFor } from './sendOrder.js';
import type { RankEngine, RankOrder, RankReport } from './types.js';
import { isChangeVersion } from './versionSource.js';

/** Time between two looks at the ranks; their reports to other hosts lag by more. */
const RETRY_INTERVAL_MS = 60;

/** Why a deputy has left a group: `released` if it has sent the order, otherwise what it found. */
export type StalledChangeEnd =
  'released' | 'moving' | 'not_held' | 'being_undone' | 'unclear' | 'unread';

export interface StalledChangeResult {
  readonly end: StalledChangeEnd;
  /** Ranks whose last report could not be read. */
  readonly unread: readonly number[];
}

/** The engines of a group by rank, as a deputy reaches them without the other rankers. */
export type GroupEngines = readonly Pick<RankEngine, 'readReport' | 'sendOrder'>[];

/** What a deputy does next. */
type Step =
  | { readonly end: StalledChangeEnd }
  | { readonly arm: Extract<RankOrder, { kind: 'arm' }>; readonly unarmed: readonly number[] }
  | { readonly release: Extract<RankOrder, { kind: 'release' }> };

/**
 * Finishes a map change whose coordinator has stopped while a pass is held: arms the ranks that it has not armed, and
 * releases the pass once all are armed.
 *
 * A deputy only goes forward, with the version and the pass that the ranks show. Any number of deputies and a coordinator
 * that resumes may therefore act at the same time: orders to arm repeat each other, a late one names a pass that has
 * begun, and the coordinator undoes a change only while another rank holds the pass as well, which no deputy releases.
 *
 * @param engines - Engines of the group by rank
 * @param own - Report of the deputy's rank, which shows the group, its epoch and the last pass that it has begun
 * @param deadlineAt - Time in milliseconds at which the deputy gives up
 * @param readClock - Reads the time in milliseconds
 * @returns Why it has ended
 */
export async function finishStalledChange(
  engines: GroupEngines,
  own: Pick<RankReport, 'group' | 'epoch' | 'pass'>,
  deadlineAt: number,
  readClock: () => number,
): Promise<StalledChangeResult> {
  const { epoch } = own;
  // Ranks by version and pass: an order that is done is in effect, while reports to other hosts lag.
  const armedHere = new Set<string>();
  let end: StalledChangeEnd = 'unread';
  let unread: number[] = [];
  while (readClock() < deadlineAt) {
    // Without the engine that holds the pass nothing can be done, so the others are not asked.
    if ((await engines[0]?.readReport())?.isOk() !== true) return { end: 'unread', unread: [0] };
    const reads = await Promise.all(engines.map((engine) => engine.readReport()));
    const reports: RankReport[] = [];
    unread = [];
    for (const [rank, read] of reads.entries()) {
      if (read.isOk()) reports.push(read.value);
      else unread.push(rank);
    }
    if (unread.length === 0) {
      if (!areRanksOf(own, reports)) return { end: 'unclear', unread };
      if (reports.some(({ pass }) => pass > own.pass)) return { end: 'moving', unread };
      const step = chooseStep(reports, armedHere);
      if ('release' in step) {
        const outcome = await engines[0]?.sendOrder(step.release, epoch);
        if (outcome !== 'unknown') return { end: 'released', unread };
      } else if ('arm' in step) {
        if (await armRanks(engines, step, epoch, armedHere)) continue;
      } else end = step.end;
    }
    await new Promise((resolve) => setTimeout(resolve, RETRY_INTERVAL_MS));
  }
  return { end, unread };
}

/** Checks that each address still is that of its rank; an upstream may be replaced by one of another group. */
function areRanksOf(
  { group, epoch }: Pick<RankReport, 'group' | 'epoch'>,
  reports: readonly RankReport[],
): boolean {
  for (const [rank, report] of reports.entries()) {
    if (report.rank !== rank || report.group !== group) return false;
    if (report.epoch !== epoch || !report.isOpen) return false;
  }
  return true;
}

function chooseStep(reports: readonly RankReport[], armedHere: ReadonlySet<string>): Step {
  const [first] = reports;
  const pass = first?.held;
  if (first === undefined || pass === undefined) return { end: 'not_held' };
  if (reports.some(({ rank, held }) => rank !== 0 && held !== undefined)) {
    return { end: 'being_undone' };
  }
  const version =
    reports.find(({ armed }) => armed !== undefined)?.armed?.version ?? first.prepared;
  if (version === undefined || !isChangeVersion(version)) return { end: 'unclear' };
  const unarmed: number[] = [];
  for (const report of reports) {
    if (isArmedFor(report, version, pass)) continue;
    const mayArm = report.armed === undefined && report.prepared === version;
    if (!mayArm || report.map >= version) return { end: 'unclear' };
    if (!armedHere.has(formatArming(report.rank, version, pass))) unarmed.push(report.rank);
  }
  if (unarmed.length === 0) return { release: { kind: 'release', pass } };
  return { arm: { kind: 'arm', version, pass }, unarmed };
}

/** Arms ranks, and tells whether all have confirmed it. */
async function armRanks(
  engines: GroupEngines,
  { arm, unarmed }: Extract<Step, { arm: unknown }>,
  epoch: number,
  armedHere: Set<string>,
): Promise<boolean> {
  const sends = unarmed.map(async (rank) => {
    const isDone = (await engines[rank]?.sendOrder(arm, epoch)) === 'done';
    if (isDone) armedHere.add(formatArming(rank, arm.version, arm.pass));
    return isDone;
  });
  return (await Promise.all(sends)).every(Boolean);
}

function formatArming(rank: number, version: number, pass: number): string {
  return `${rank}/${version}/${pass}`;
}
