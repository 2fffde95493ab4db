import type { WorkspaceId } from '../../ids.js';

/** Workspaces whose tags are kept before those that are behind the virtual time are removed. */
const MAX_TAGS = 1_000;

/**
 * Start-time fair queueing by workspace.
 *
 * Handles a workspace that sends many times its usual: each of its requests starts, in virtual time, after the one before,
 * while a request of another workspace starts at the present virtual time, and so goes first.
 */
export class FairOrder {
  private virtualTime = 0;
  private readonly nextStarts = new Map<WorkspaceId, number>();

  /**
   * Assigns the start tag of a new request. Requests are served in ascending order of their tags.
   *
   * @param workspace - Workspace of the request; undefined for routes without a key
   * @param weight - Relative share of the workspace
   * @returns Start tag in virtual time
   */
  assignStart(workspace: WorkspaceId | undefined, weight = 1): number {
    if (workspace === undefined) return this.virtualTime;
    const start = Math.max(this.virtualTime, this.nextStarts.get(workspace) ?? 0);
    this.nextStarts.set(workspace, start + 1 / weight);
    if (this.nextStarts.size > MAX_TAGS) this.removePast();
    return start;
  }

  /**
   * Advances the virtual time to a request that is served.
   *
   * @param start - Its start tag
   */
  advanceTo(start: number): void {
    this.virtualTime = Math.max(this.virtualTime, start);
  }

  /**
   * Takes back the charge of a request that is not served.
   *
   * @param workspace - Its workspace
   * @param weight - Relative share of the workspace
   */
  refund(workspace: WorkspaceId | undefined, weight = 1): void {
    if (workspace === undefined) return;
    const next = this.nextStarts.get(workspace);
    if (next !== undefined) this.nextStarts.set(workspace, next - 1 / weight);
  }

  private removePast(): void {
    for (const [workspace, start] of this.nextStarts)
      if (start <= this.virtualTime) this.nextStarts.delete(workspace);
  }
}
