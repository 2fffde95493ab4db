import { execFileSync } from 'node:child_process';
import seedrandom from 'seedrandom';
import { rootDirectory } from '../../test/support/processes.js';
import { waitMs } from '../../test/support/waiting.js';
import type { RunOptions, RunResult } from '../types.js';
import { createBaselineAgent } from './baselineAgent.js';
import type { OrderCallers, Placement } from './orderCallers.js';
import { createCallers, createBaselineCallers } from './orderCallers.js';
import type { FaultEffect, FaultPlan } from './orderFaults.js';
import { orderFaults } from './orderFaults.js';
import type { OrderFleet } from './orderFleet.js';
import { startOrderFleet } from './orderFleet.js';
import type { OrderCounts, PlacedOrder } from './orderVerifier.js';
import { verifyOrders } from './orderVerifier.js';

const ORDERS_PER_ROUND = 100;
const START_SPREAD_MS = 250;
/** Orders still in flight at the end of a run have been recorded after this time. */
const SETTLE_MS = 2_000;
/** Runs with at least this many orders are split over two fleets. */
const MIN_SPLIT_COUNT = 2_000;
/** Orders of the baselines relative to the main run; they fail often enough to show with fewer orders. */
const BASELINE_RATIO = 0.2;
const MAX_REASONS = 8;

const allFaults = Object.keys(orderFaults);
const upstreamFaults = allFaults.filter((name) => orderFaults[name]?.isUpstreamFault === true);

/** One run of orders by one kind of caller. */
export interface OrderRun {
  readonly label: string;
  readonly seed: number;
  readonly count: number;
  readonly faults: readonly string[];
  readonly ordersPerRound?: number;
  /** Delay before the records are read, milliseconds. */
  readonly settleMs?: number;
}

export interface RunReport {
  readonly placed: ReadonlyMap<string, PlacedOrder>;
  readonly runs: ReadonlyMap<string, number>;
  readonly rounds: Readonly<Record<string, number>>;
  /** Counts of reachable orders that stayed `unknown`, by fault and reason. */
  readonly reasons: Readonly<Record<string, number>>;
}

/**
 * Runs orders under faults through real entry and agent processes and compares the outcomes with the executions
 * recorded by the plain services. A fifth as many orders run with callers that place an unanswered order again, and
 * half of that with each kind of baseline agent, which resends an order or reports it as `not-run` after a timeout or
 * reset.
 *
 * @param options - Seed of faults and times; number of orders
 * @returns Counts; `ok` when no order ran twice, or was falsely reported as `not-run` or `done`
 */
export async function proveOrders({ seed, count }: RunOptions): Promise<RunResult> {
  execFileSync('npm', ['run', 'build', '--silent'], { cwd: rootDirectory, stdio: 'inherit' });
  const fleetCount = count >= MIN_SPLIT_COUNT ? 2 : 1;
  const baselineCount = Math.max(1, Math.ceil(count * BASELINE_RATIO));
  const fleetRuns = Array.from({ length: fleetCount }, async (_, fleetIndex) => {
    const size = Math.floor(count / fleetCount) + (fleetIndex < count % fleetCount ? 1 : 0);
    // The fleets start at different faults, so that together they cover all faults even in a small run.
    const first = Math.floor((fleetIndex * allFaults.length) / fleetCount);
    const faults = [...allFaults.slice(first), ...allFaults.slice(0, first)];
    const run = { label: `ours-${fleetIndex}`, seed: seed + fleetIndex / 10, count: size, faults };
    return runOnFleet(async (fleet) => [await runOrders(fleet, createCallers(fleet), run)]);
  });
  const baselineRuns = runOnFleet((fleet) => runBaselines(fleet, seed, baselineCount));
  const [mainReports, baselineReports] = await Promise.all([Promise.all(fleetRuns), baselineRuns]);
  const counts = verifyReports(mainReports.flat());
  const [callers, resending, givingUp] = baselineReports.map((report) =>
    pickFailures(verifyReports([report])),
  );
  const failed = counts.run_twice + counts.false_not_run + counts.lost_done;
  return {
    ...counts,
    rounds: sumCounts(mainReports.flat().map(({ rounds }) => rounds)),
    unknown_reachable_reasons: sumCounts(mainReports.flat().map(({ reasons }) => reasons)),
    naive: pickFailures(verifyReports(baselineReports)),
    naive_callers: callers,
    naive_agents_resending: resending,
    naive_agents_giving_up: givingUp,
    ok: failed === 0,
  };
}

async function runOnFleet(
  run: (fleet: OrderFleet) => Promise<RunReport[]>,
): Promise<readonly RunReport[]> {
  const fleet = await startOrderFleet('built');
  try {
    return await run(fleet);
  } finally {
    await fleet.stop();
  }
}

async function runBaselines(fleet: OrderFleet, seed: number, count: number): Promise<RunReport[]> {
  const callers = { label: 'naive', seed, count, faults: allFaults };
  const agents = { seed, count: Math.ceil(count / 2), faults: upstreamFaults };
  return [
    await runOrders(fleet, createBaselineCallers(fleet), callers),
    await runOrders(fleet, createBaselineAgent(fleet, true), { ...agents, label: 'resending' }),
    await runOrders(fleet, createBaselineAgent(fleet, false), { ...agents, label: 'giving-up' }),
  ];
}

/**
 * Places orders in rounds, each under the next fault.
 *
 * @param fleet - Running fleet
 * @param callers - Callers that place the orders
 * @param run - Seed, size and faults
 * @returns States reported to callers and executions recorded by the services
 */
export async function runOrders(
  fleet: OrderFleet,
  callers: OrderCallers,
  run: OrderRun,
): Promise<RunReport> {
  const random = seedrandom(`orders ${run.seed}`);
  const placed = new Map<string, PlacedOrder>();
  const rounds: Record<string, number> = {};
  const reasons: Record<string, number> = {};
  for (let round = 0; placed.size < run.count; round += 1) {
    const name = run.faults[round % run.faults.length] ?? 'none';
    const plan = orderFaults[name];
    if (plan === undefined) throw new Error(`no fault ${name}`);
    rounds[name] = (rounds[name] ?? 0) + 1;
    const size = Math.min(run.ordersPerRound ?? ORDERS_PER_ROUND, run.count - placed.size);
    const intents = Array.from({ length: size }, (_, index) => `${run.label}-${round}-${index}`);
    const { placements, effect } = await runRound(fleet, callers, plan, intents, random);
    for (const [intent, { reportedState, host, reason }] of placements) {
      const reachable = host !== undefined && !effect.affectedAgents.includes(host);
      placed.set(intent, { reportedState, fault: name, reachable });
      if (reportedState !== 'unknown' || !reachable) continue;
      const key = `${name}: ${reason ?? ''}`;
      if (key in reasons || Object.keys(reasons).length < MAX_REASONS)
        reasons[key] = (reasons[key] ?? 0) + 1;
    }
    await effect.repair?.();
    await fleet.waitForRepair();
  }
  await callers.close();
  await waitMs(run.settleMs ?? SETTLE_MS);
  return { placed, runs: await fleet.countRuns(), rounds, reasons };
}

async function runRound(
  fleet: OrderFleet,
  callers: OrderCallers,
  plan: FaultPlan,
  intents: readonly string[],
  random: () => number,
): Promise<{ placements: Map<string, Placement>; effect: FaultEffect }> {
  const placements = new Map<string, Placement>();
  const placing = intents.map(async (intent) => {
    const callerRandom = seedrandom(`${intent} ${random()}`);
    await waitMs(START_SPREAD_MS * callerRandom());
    placements.set(intent, await callers.place(intent, plan, callerRandom));
  });
  const [effect] = await Promise.all([plan.run(fleet, random), ...placing]);
  return { placements, effect };
}

function verifyReports(reports: readonly RunReport[]): OrderCounts {
  const placed = new Map(reports.flatMap((report) => [...report.placed]));
  const runs = new Map(reports.flatMap((report) => [...report.runs]));
  return verifyOrders(placed, runs);
}

function pickFailures({ orders, run_twice, false_not_run, lost_done }: OrderCounts): object {
  return { orders, run_twice, false_not_run, lost_done };
}

function sumCounts(parts: readonly Readonly<Record<string, number>>[]): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const part of parts) {
    for (const [key, value] of Object.entries(part)) sums[key] = (sums[key] ?? 0) + value;
  }
  return sums;
}
