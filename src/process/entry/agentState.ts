import type { PeerLink } from '../../connection/peerLink.js';
import type { AttemptId, UpstreamId, WorkspaceId } from '../../ids.js';
import type { MessageOf } from '../../protocol/messages.js';
import { isStalled } from '../../request/routing/eligibility.js';
import type { Candidate } from '../../request/routing/types.js';
import type { Upstream } from '../../version/ticket/types.js';

type LoadReport = MessageOf<'load'>;

/**
 * State of one agent as seen by this entry. Load report, draining notice and unreported work are
 * reset with each new link; the configured upstream and the attempts without an outcome are kept.
 */
export class AgentState {
  link: PeerLink | undefined;
  /** Workspace by attempt. */
  private readonly attempts = new Map<AttemptId, WorkspaceId>();
  private readonly byWorkspace = new Map<WorkspaceId, number>();
  private report: LoadReport | undefined;
  private receivedDraining = false;
  private lastProgressAt = 0;
  private sendCount = 0;
  /** Costs of the attempts that the last load report does not cover, oldest first. */
  private unreportedCosts: number[] = [];
  private uncoveredWork = 0;

  constructor(
    readonly upstream: UpstreamId,
    public configured: Upstream,
    private readonly isLeaving: (host: string, now: number) => boolean = () => false,
    private readonly computeRunningSince: (now: number) => number = () => Number.NEGATIVE_INFINITY,
  ) {}

  /**
   * Attaches a new link and resets the state that belongs to the previous one.
   *
   * @param link - Open link
   * @param now - Current time in milliseconds
   */
  addLink(link: PeerLink, now: number): void {
    this.link = link;
    this.report = undefined;
    this.receivedDraining = false;
    this.lastProgressAt = now;
    this.sendCount = 0;
    this.setUnreportedCosts([]);
  }

  /** Detaches the link and discards the load report and the unreported costs. */
  removeLink(): void {
    this.link = undefined;
    this.report = undefined;
    this.setUnreportedCosts([]);
  }

  /** Number of attempts without an outcome. */
  get inFlight(): number {
    return this.attempts.size;
  }

  /** Records that the agent has announced that it accepts no new work. */
  markDraining(): void {
    this.receivedDraining = true;
  }

  /**
   * Records a sent attempt.
   *
   * @param attempt - Attempt id
   * @param workspace - Workspace of the request
   * @param cost - Work units
   * @param now - Current time in milliseconds
   */
  recordSend(attempt: AttemptId, workspace: WorkspaceId, cost: number, now: number): void {
    // Time without attempts does not count as a stall.
    if (this.attempts.size === 0) this.lastProgressAt = now;
    this.attempts.set(attempt, workspace);
    this.byWorkspace.set(workspace, (this.byWorkspace.get(workspace) ?? 0) + 1);
    this.sendCount += 1;
    this.unreportedCosts.push(cost);
    this.uncoveredWork += cost;
  }

  /**
   * Records the outcome of an attempt.
   *
   * @param attempt - Attempt id
   */
  recordOutcome(attempt: AttemptId): void {
    const workspace = this.attempts.get(attempt);
    if (workspace === undefined) return;
    this.attempts.delete(attempt);
    const remaining = (this.byWorkspace.get(workspace) ?? 1) - 1;
    if (remaining > 0) this.byWorkspace.set(workspace, remaining);
    else this.byWorkspace.delete(workspace);
  }

  /**
   * Records the arrival of a chunk or of the end of a response.
   *
   * @param now - Current time in milliseconds
   */
  recordProgress(now: number): void {
    this.lastProgressAt = now;
  }

  /**
   * Applies a load report; one that arrives out of order is ignored.
   *
   * @param report - Report of this agent
   * @param now - Current time in milliseconds
   */
  applyReport(report: LoadReport, now: number): void {
    const previous = this.report;
    if (previous !== undefined && report.sequence <= previous.sequence) return;
    // An agent accepts work only while its upstream makes progress. Without this, a request that
    // waits in the agent's queue would look like a stall.
    if (report.accepting) this.lastProgressAt = now;
    this.report = report;
    const remaining = Math.min(
      this.unreportedCosts.length,
      Math.max(0, this.sendCount - report.coveredSends),
    );
    this.setUnreportedCosts(remaining === 0 ? [] : this.unreportedCosts.slice(-remaining));
  }

  /**
   * Creates the routing candidate for this agent.
   *
   * @param workspace - Workspace of the request; undefined for the `/dump` endpoint
   * @returns The candidate
   */
  toCandidate(workspace?: WorkspaceId): Candidate {
    const { report, configured, link } = this;
    const now = Date.now();
    // In a pause of this process nothing is read, so its time does not count as silence of the agent.
    const runningSince = this.computeRunningSince(now);
    return {
      upstream: this.upstream,
      availabilityZone: configured.availabilityZone,
      slots: report?.slots ?? configured.slots,
      reportedWork: report?.work ?? 0,
      uncoveredWork: this.uncoveredWork,
      full: report !== undefined && report.running >= report.slots,
      workspaceInFlight: workspace === undefined ? 0 : (this.byWorkspace.get(workspace) ?? 0),
      accepting: report?.accepting ?? true,
      draining:
        this.receivedDraining ||
        (report?.draining ?? false) ||
        this.isLeaving(configured.host, now),
      down: link === undefined,
      hasOwnWork: this.attempts.size > 0,
      lastMessageAt: Math.max(link?.lastReceivedAt ?? 0, runningSince),
      lastProgressAt: Math.max(this.lastProgressAt, runningSince),
    };
  }

  /**
   * Checks whether attempts in flight on this agent have stalled.
   *
   * @param now - Current time in milliseconds
   * @returns True when no message or no progress has been received in time
   */
  isStalled(now: number): boolean {
    return isStalled(this.toCandidate(), now);
  }

  private setUnreportedCosts(costs: number[]): void {
    this.unreportedCosts = costs;
    this.uncoveredWork = costs.reduce((sum, cost) => sum + cost, 0);
  }
}
