import type { RunOptions, RunResult } from '../types.js';
import { createProcessStarter } from './ticketProcess.js';
import type { FleetSummary } from './ticketRun.js';
import { runFleet } from './ticketRun.js';

/** R7: an accepted ticket is in force everywhere within this time. */
const TARGET_S = 3;

/**
 * Publishes tickets to a fleet of processes while readers die or pause, the fleet is partitioned,
 * nodes restart and the platform is frozen, stale or down, and does the same to a naive fleet.
 *
 * @param options - Seed and processes
 * @returns Time until tickets took force, reverts and platform calls, for both fleets
 */
export async function proveTickets(options: RunOptions): Promise<RunResult> {
  const runOptions = { seed: options.seed, processes: options.count };
  const distributed = await runFleet(runOptions, createProcessStarter('distributed'));
  const naive = await runFleet(runOptions, createProcessStarter('naive'));
  const ok = meetsTicketTarget(distributed) && !meetsTicketTarget(naive);
  const nodes = 'each node is one operating system process; links over loopback';
  return { ok, ...runOptions, nodes, ...distributed, naive };
}

/**
 * Judges a run.
 *
 * @param summary - Figures of `runFleet`
 * @returns True when every ticket took force in time on every process and none reverted
 */
export function meetsTicketTarget(summary: FleetSummary): boolean {
  const { samples, missing, reverts, p99_s } = summary;
  return samples > 0 && missing === 0 && reverts === 0 && p99_s <= TARGET_S;
}
