import type { RunOptions, RunResult } from '../types.js';
import { createProcessStarter } from './ticketProcess.js';
import type { FleetSummary } from './ticketRun.js';
import { runFleet } from './ticketRun.js';

/** R7: an accepted ticket must be in force on every process within this time. */
const TARGET_S = 3;

/**
 * Publishes tickets to a fleet of processes while readers are killed or paused, the fleet is partitioned,
 * nodes restart and the platform is frozen, stale or down; repeats the run with a baseline fleet.
 *
 * @param options - Seed and number of processes
 * @returns Time until tickets were in force, reverts and platform calls, for both fleets
 */
export async function proveTickets(options: RunOptions): Promise<RunResult> {
  const runOptions = { seed: options.seed, processes: options.count };
  const distributed = await runFleet(runOptions, createProcessStarter('distributed'));
  const baseline = await runFleet(runOptions, createProcessStarter('naive'));
  const ok = meetsTicketTarget(distributed) && !meetsTicketTarget(baseline);
  const nodes = 'each node is one operating system process; links over loopback';
  return { ok, ...runOptions, nodes, ...distributed, naive: baseline };
}

/**
 * Checks whether a run meets the target of R7.
 *
 * @param summary - Figures of `runFleet`
 * @returns True when every ticket was in force on every process in time and none reverted
 */
export function meetsTicketTarget(summary: FleetSummary): boolean {
  const { samples, missing, reverts, p99_s } = summary;
  return samples > 0 && missing === 0 && reverts === 0 && p99_s <= TARGET_S;
}
