import { defaults } from '../../defaults.js';
import type { UpstreamId } from '../../ids.js';
import type { Candidate, Exclusion } from './types.js';

// The last report of progress may be one report interval old; the factor of 1.5 allows for jitter.
const PROGRESS_TIMEOUT_MS = Math.max(
  defaults.stallTimeoutMs,
  1.5 * defaults.loadReportMaxIntervalMs,
);

/**
 * A peer without other messages sends a ping at the first check after the heartbeat interval. One more check interval allows
 * for jitter; together with the poll of stalled attempts this is below 2 s.
 */
const SILENCE_TIMEOUT_MS = defaults.heartbeatIntervalMs + 2 * defaults.heartbeatCheckMs;

/**
 * Finds the reason why a candidate may not receive new work.
 *
 * @param candidate - State of the agent
 * @param tried - Upstreams that this request has already used
 * @param now - Current time in milliseconds
 * @returns The reason, or undefined when the candidate is eligible
 */
export function findExclusion(
  candidate: Candidate,
  tried: ReadonlySet<UpstreamId>,
  now: number,
): Exclusion | undefined {
  if (candidate.down) return 'down';
  if (candidate.draining) return 'draining';
  if (!candidate.accepting) return 'not_accepting';
  if (isStalled(candidate, now)) return 'stalled';
  if (tried.has(candidate.upstream)) return 'already_tried';
  return undefined;
}

/**
 * Computes the load in work units per slot.
 *
 * @param candidate - State of the agent
 * @returns Reported work plus work sent since the report, per slot
 */
export function computeLoad(candidate: Candidate): number {
  return (candidate.reportedWork + candidate.uncoveredWork) / Math.max(1, candidate.slots);
}

/**
 * Checks whether work of this entry is stalled. Pings keep the link alive while an engine hangs, so
 * lack of progress counts as well as lack of messages.
 *
 * @param candidate - State of the agent
 * @param now - Current time in milliseconds
 * @returns True when the candidate receives no new work and its attempts are to be ended
 */
export function isStalled(candidate: Candidate, now: number): boolean {
  if (!candidate.hasOwnWork) return false;
  if (now - candidate.lastMessageAt > SILENCE_TIMEOUT_MS) return true;
  return now - candidate.lastProgressAt > PROGRESS_TIMEOUT_MS;
}
