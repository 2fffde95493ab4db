import type { PeerLink } from '../../connection/peerLink.js';
import type { AttemptId, UpstreamId, WorkspaceId } from '../../ids.js';
import type { MessageOf } from '../../protocol/messages.js';
import { isStalled } from '../../request/routing/eligibility.js';
import type { Candidate } from '../../request/routing/types.js';
import type { Upstream } from '../../version/ticket/types.js';

type LoadReport = MessageOf<'load'>;

/** What this entry knows about one agent; everything but the address ends with the link. */
export class AgentState {
  link: PeerLink | undefined;
  /** Workspace by attempt. */
  private readonly attempts = new Map<AttemptId, WorkspaceId>();
  private readonly byWorkspace = new Map<WorkspaceId, number>();
  private report: LoadReport | undefined;
  private noticedDraining = false;
  private lastProgressAt = 0;
  private sends = 0;
  /** Costs of the sends after the last covered one, oldest first. */
  private uncovered: number[] = [];
  private uncoveredWork = 0;

  constructor(
    readonly upstream: UpstreamId,
    public configured: Upstream,
    private readonly isLeaving: (host: string, now: number) => boolean = () => false,
  ) {}

  /**
   * Starts afresh on a new link.
   *
   * @param link - The open link
   * @param now - Milliseconds
   */
  openOn(link: PeerLink, now: number): void {
    this.link = link;
    this.report = undefined;
    this.noticedDraining = false;
    this.lastProgressAt = now;
    this.sends = 0;
    this.setUncovered([]);
  }

  /** Forgets the link and what was known through it. */
  closeLink(): void {
    this.link = undefined;
    this.report = undefined;
    this.setUncovered([]);
  }

  /** Attempts without an outcome. */
  get inFlight(): number {
    return this.attempts.size;
  }

  /** Notes the agent's notice that it takes no new work. */
  noteDraining(): void {
    this.noticedDraining = true;
  }

  /**
   * Notes a sent attempt.
   *
   * @param attempt - Its id
   * @param workspace - Its workspace
   * @param cost - Work units
   * @param now - Milliseconds
   */
  noteSend(attempt: AttemptId, workspace: WorkspaceId, cost: number, now: number): void {
    // Idle time is no lack of progress.
    if (this.attempts.size === 0) this.lastProgressAt = now;
    this.attempts.set(attempt, workspace);
    this.byWorkspace.set(workspace, (this.byWorkspace.get(workspace) ?? 0) + 1);
    this.sends += 1;
    this.uncovered.push(cost);
    this.uncoveredWork += cost;
  }

  /**
   * Notes the outcome of an attempt.
   *
   * @param attempt - Its id
   */
  noteOutcome(attempt: AttemptId): void {
    const workspace = this.attempts.get(attempt);
    if (workspace === undefined) return;
    this.attempts.delete(attempt);
    const left = (this.byWorkspace.get(workspace) ?? 1) - 1;
    if (left > 0) this.byWorkspace.set(workspace, left);
    else this.byWorkspace.delete(workspace);
  }

  /**
   * Notes a chunk or an answer.
   *
   * @param now - Milliseconds
   */
  noteProgress(now: number): void {
    this.lastProgressAt = now;
  }

  /**
   * Takes a load report; one that arrives out of order is ignored.
   *
   * @param report - Report of this agent
   * @param now - Milliseconds
   */
  takeReport(report: LoadReport, now: number): void {
    const previous = this.report;
    if (previous !== undefined && report.sequence <= previous.sequence) return;
    // An agent that accepts vouches for its upstream's progress; a queued request is no stall.
    if (report.accepting) this.lastProgressAt = now;
    this.report = report;
    const left = Math.min(this.uncovered.length, Math.max(0, this.sends - report.coveredSends));
    this.setUncovered(left === 0 ? [] : this.uncovered.slice(-left));
  }

  /**
   * Describes the agent for a routing decision.
   *
   * @param workspace - Workspace of the request; none in a dump
   * @returns The candidate
   */
  toCandidate(workspace?: WorkspaceId): Candidate {
    const { report, configured, link } = this;
    return {
      upstream: this.upstream,
      availabilityZone: configured.availabilityZone,
      slots: report?.slots ?? configured.slots,
      reportedWork: report?.work ?? 0,
      unreportedWork: this.uncoveredWork,
      full: report !== undefined && report.running >= report.slots,
      workspaceInFlight: workspace === undefined ? 0 : (this.byWorkspace.get(workspace) ?? 0),
      accepting: report?.accepting ?? true,
      draining:
        this.noticedDraining ||
        (report?.draining ?? false) ||
        this.isLeaving(configured.host, Date.now()),
      down: link === undefined,
      hasInFlight: this.attempts.size > 0,
      lastMessageAt: link?.lastReceivedAt ?? 0,
      lastProgressAt: this.lastProgressAt,
    };
  }

  /**
   * Checks whether work in flight there makes no progress.
   *
   * @param now - Milliseconds
   * @returns True after a silent link or a lack of progress
   */
  isStalled(now: number): boolean {
    return isStalled(this.toCandidate(), now);
  }

  private setUncovered(costs: number[]): void {
    this.uncovered = costs;
    this.uncoveredWork = costs.reduce((sum, cost) => sum + cost, 0);
  }
}
