import { defaults } from '../../defaults.js';
import type { WorkspaceId } from '../../ids.js';

// An empty bucket also refills with time, so that an entry with little traffic can still retry.
const FULL_REFILL_MS = 60_000;

/** Token bucket for retries: starts full; each first attempt adds a fraction of a token. */
export class RetryBudget {
  private tokens: number;
  private refilledAt: number;

  constructor(
    now: number,
    private readonly ratio: number = defaults.retryBudgetRatio,
    private readonly burst: number = defaults.retryBudgetBurst,
  ) {
    this.tokens = burst;
    this.refilledAt = now;
  }

  /**
   * Records the first attempt of a request.
   *
   * @param now - Current time in milliseconds
   */
  recordFirstAttempt(now: number): void {
    this.addTokens(this.ratio, now);
  }

  /**
   * Takes one retry from the budget.
   *
   * @param now - Current time in milliseconds
   * @returns False when the budget is exhausted
   */
  tryTakeRetry(now: number): boolean {
    this.addTokens(0, now);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /**
   * Checks whether the bucket is full, and so equals a new one.
   *
   * @param now - Current time in milliseconds
   * @returns True when the full burst is available
   */
  isFull(now: number): boolean {
    this.addTokens(0, now);
    return this.tokens >= this.burst;
  }

  /**
   * Describes the budget for the `/dump` endpoint.
   *
   * @returns Retries left, burst and ratio
   */
  describe(): { tokens: number; burst: number; ratio: number } {
    return { tokens: this.tokens, burst: this.burst, ratio: this.ratio };
  }

  private addTokens(amount: number, now: number): void {
    const elapsedMs = Math.max(0, now - this.refilledAt);
    this.refilledAt = now;
    const refill = (elapsedMs * this.burst) / FULL_REFILL_MS;
    this.tokens = Math.min(this.burst, this.tokens + amount + refill);
  }
}

/** Retry budgets by workspace, so that no workspace can exhaust the retries of another. */
export class RetryBudgets {
  private readonly budgets = new Map<WorkspaceId, RetryBudget>();

  /**
   * Returns the budget of a workspace, creating a full one on first use.
   *
   * @param workspace - Workspace
   * @param now - Current time in milliseconds
   * @returns Its budget
   */
  getOrCreate(workspace: WorkspaceId, now: number): RetryBudget {
    const budget = this.budgets.get(workspace) ?? new RetryBudget(now);
    this.budgets.set(workspace, budget);
    return budget;
  }

  /**
   * Removes full budgets, which equal new ones.
   *
   * @param now - Current time in milliseconds
   */
  removeFull(now: number): void {
    for (const [workspace, budget] of this.budgets)
      if (budget.isFull(now)) this.budgets.delete(workspace);
  }

  /**
   * Describes the budgets for the `/dump` endpoint.
   *
   * @returns Budgets by workspace
   */
  describe(): Record<string, unknown> {
    return Object.fromEntries(
      [...this.budgets].map(([workspace, budget]) => [workspace, budget.describe()]),
    );
  }
}
