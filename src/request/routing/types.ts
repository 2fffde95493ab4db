import type { UpstreamId } from '../../ids.js';

/**
 * State of one agent as known to the entry at a routing decision; work is counted in tokens. The dump of an entry shows it
 * under these field names.
 */
export interface Candidate {
  readonly upstream: UpstreamId;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Work units of the last report. */
  readonly reportedWork: number;
  /** Work units sent by this entry that the last report does not cover. */
  readonly uncoveredWork: number;
  /** Whether all slots were in use at the last report. */
  readonly full: boolean;
  /** Attempts of this entry in flight at the upstream for the workspace of the request. */
  readonly workspaceInFlight: number;
  readonly accepting: boolean;
  readonly draining: boolean;
  readonly down: boolean;
  /** Whether attempts of this entry are in flight at the upstream. */
  readonly hasOwnWork: boolean;
  /** Time of the last message of the agent, in milliseconds. */
  readonly lastMessageAt: number;
  /** Time of the last reported progress, in milliseconds. */
  readonly lastProgressAt: number;
}

export interface RoutingRequest {
  readonly prefix: string;
  /** Work units of this request. */
  readonly cost: number;
  /** Request counter of the entry; used by round robin. */
  readonly turn: number;
}

/** Orders the eligible candidates; the request goes to the first one. */
export type RoutingPolicy = (
  candidates: readonly Candidate[],
  request: RoutingRequest,
) => readonly Candidate[];

/** Why a candidate gets no new work. */
export type Exclusion = 'down' | 'draining' | 'not_accepting' | 'stalled' | 'already_tried';
