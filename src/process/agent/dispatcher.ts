import PQueue from 'p-queue';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { RequestError } from '../../errors.js';
import { createError } from '../../errors.js';
import type { DispatcherPolicy, Job } from './dispatcherTypes.js';
import { DrainWindow } from './drainWindow.js';
import type { FairQueueOptions } from './fairQueue.js';
import { FairQueue, MIN_WEIGHT } from './fairQueue.js';
import type { WorkspaceUsage } from './preemption.js';
import {
  chooseBeneficiary,
  choosePreemption,
  computeGuaranteedSlots,
  isBelowShare,
} from './preemption.js';
import { RequestThroughput } from './requestThroughput.js';
import { SlotUsage } from './slotUsage.js';
import { QueueThroughput } from './queueThroughput.js';

export type { DispatcherPolicy, Job } from './dispatcherTypes.js';

interface RunningJob {
  readonly job: Job;
  readonly startedAt: number;
}

const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 10_000;
const drainError = createError('draining', 'upstream is draining and has no time for the request');

/**
 * Runs jobs with bounded concurrency in weighted fair order, and preempts streams to reclaim slots that a workspace
 * borrowed beyond its guaranteed share.
 */
export class Dispatcher {
  private readonly queueThroughput: QueueThroughput;
  private readonly usage = new SlotUsage();
  private readonly requestThroughput = new RequestThroughput();
  private readonly drainWindow = new DrainWindow();
  private fairQueue: FairQueue | undefined;
  private readonly pool: PQueue<FairQueue, FairQueueOptions>;
  private readonly queued = new Map<string, Job>();
  private readonly running = new Map<string, RunningJob>();
  private readonly preemptions = new Map<string, number>();
  private pendingVictim: string | undefined;
  /** Streams that were preempted so that an exclusive job can start. */
  private readonly preemptedForExclusive = new Set<string>();
  private preemptionCount = 0;

  constructor(
    slots: number,
    private readonly policy: DispatcherPolicy,
  ) {
    this.queueThroughput = new QueueThroughput(policy.getNominalThroughput);
    const readRunningState = (): { running: number; exclusive: boolean } => ({
      running: this.running.size,
      exclusive: [...this.running.values()].some(({ job }) => job.exclusive),
    });
    // Without a preferred workspace, a freed slot could go to a stream that is preempted again immediately.
    const choosePreferred = (waiting: readonly string[]): string | undefined => {
      const now = policy.readClock();
      const getUsage = (workspace: string): WorkspaceUsage => this.getUsage(workspace, now);
      return chooseBeneficiary({ slots: this.slots, waiting, getUsage });
    };
    const setFairQueue = (queue: FairQueue): void => {
      this.fairQueue = queue;
    };
    class RegisteredQueue extends FairQueue {
      constructor() {
        super(readRunningState, choosePreferred);
        setFairQueue(this);
      }
    }
    this.pool = new PQueue({ concurrency: slots, queueClass: RegisteredQueue });
    // p-queue starts one job per finished job. After an exclusive job all slots are free, so setting the concurrency
    // makes p-queue start further jobs.
    this.pool.on('next', () => {
      this.pool.concurrency = this.pool.concurrency;
    });
  }

  get slots(): number {
    return this.pool.concurrency;
  }

  get runningCount(): number {
    return this.running.size;
  }

  get queuedCount(): number {
    return this.queued.size;
  }

  /** Work units of queued and running jobs. */
  get work(): number {
    let work = 0;
    for (const job of this.queued.values()) work += job.cost;
    for (const { job } of this.running.values()) work += job.cost;
    return work;
  }

  /**
   * Changes the number of slots.
   *
   * @param slots - Maximum number of concurrent jobs
   */
  updateSlots(slots: number): void {
    if (slots !== this.pool.concurrency) this.pool.concurrency = slots;
  }

  /**
   * Adds a job to the fair queue.
   *
   * @param job - Job to queue
   * @param now - Current time in milliseconds
   * @returns Nothing, or `queue_full` or `deadline_unreachable`
   */
  accept(job: Job, now: number): Result<undefined, RequestError> {
    const queued = this.getQueue().countQueued(job.workspace);
    if (queued >= this.policy.getMaxQueued(job.workspace)) {
      const message = `workspace has ${queued} queued requests at this upstream`;
      return Err(createError('queue_full', message, this.estimateRetryAfterMs(job.workspace)));
    }
    const waitMs = this.estimateWaitMs(job.workspace, now);
    const neededMs = waitMs + this.estimateRunMs(job, now);
    if (this.running.size >= this.slots && now + neededMs >= job.expiresAt) {
      return Err(this.createUnreachableError(job.workspace, neededMs));
    }
    this.enqueue(job, false);
    this.reclaimSlots(now);
    return Ok(undefined);
  }

  /**
   * Checks whether a job is queued.
   *
   * @param id - Job id
   * @returns True until it starts or is removed
   */
  isQueued(id: string): boolean {
    return this.queued.has(id);
  }

  /**
   * Removes a job that has not started.
   *
   * @param id - Job id
   * @returns False when it is not queued
   */
  remove(id: string): boolean {
    if (!this.queued.delete(id)) return false;
    this.getQueue().remove(id);
    this.preemptions.delete(id);
    this.policy.onChange();
    return true;
  }

  /**
   * Starts a drain: from now on, jobs that cannot end before its limit are refused.
   *
   * @param limitMs - Longest duration of the drain
   * @param now - Current time in milliseconds
   */
  beginDrain(limitMs: number, now: number): void {
    this.drainWindow.begin(limitMs, now);
  }

  /**
   * Checks whether a job that starts now ends before the limit of the drain.
   *
   * @param job - Job
   * @param now - Current time in milliseconds
   * @returns False if it may be cut, or is certain to be if it can be resumed elsewhere
   */
  canEndInDrain(job: Pick<Job, 'preemptible' | 'workspace' | 'cost'>, now: number): boolean {
    if (!job.preemptible) return this.drainWindow.hasTimeForRun(now);
    const neededMs = this.requestThroughput.estimateMs(job.workspace, job.cost, now);
    return this.drainWindow.hasTimeFor(neededMs, now);
  }

  /**
   * Expires queued jobs, reclaims borrowed slots and updates the throughput measurement.
   *
   * @param now - Current time in milliseconds
   */
  update(now: number): void {
    for (const job of [...this.queued.values()]) {
      if (job.expiresAt <= now) {
        this.remove(job.id);
        job.expire();
      } else if (!this.canEndInDrain(job, now)) {
        this.remove(job.id);
        job.refuseInDrain(drainError);
      }
    }
    this.queueThroughput.update(this.queued.size > 0, now);
    this.usage.expire(now);
    this.reclaimSlots(now);
    this.pool.concurrency = this.pool.concurrency;
  }

  /**
   * Checks whether new work of a workspace is within its guaranteed share.
   *
   * @param workspace - Workspace
   * @param now - Current time in milliseconds
   * @returns True while it uses less than its guaranteed slots, now or on average
   */
  isBelowShare(workspace: string, now: number): boolean {
    return isBelowShare(this.getUsage(workspace, now), this.slots);
  }

  /**
   * Describes the queue and the shares for the state dump.
   *
   * @param now - Current time in milliseconds
   * @returns Queue, and guaranteed and used slots by workspace
   */
  describe(now: number): unknown {
    const queue = this.getQueue().describe();
    const shares: Record<string, unknown> = {};
    for (const workspace of new Set([...this.usage.list(), ...Object.keys(queue)])) {
      const { share, held, average } = this.getUsage(workspace, now);
      const guaranteedSlots = computeGuaranteedSlots(share, this.slots);
      shares[workspace] = { guaranteed: share, guaranteedSlots, held, average };
    }
    const workPerSecond = this.queueThroughput.perSecond;
    return { slots: this.slots, queue, shares, workPerSecond, preemptions: this.preemptionCount };
  }

  private enqueue(job: Job, resumed: boolean): void {
    this.queued.set(job.id, job);
    const weight = Math.max(this.policy.getShare(job.workspace), MIN_WEIGHT);
    const { id, workspace, cost, exclusive } = job;
    const options: FairQueueOptions = { id, workspace, cost, weight, exclusive, resumed };
    void this.pool.add(() => this.runJob(job), options);
    this.policy.onChange();
  }

  private async runJob(job: Job): Promise<void> {
    const now = this.policy.readClock();
    this.queued.delete(job.id);
    if (job.expiresAt <= now) {
      job.expire();
      return;
    }
    if (!this.canEndInDrain(job, now)) {
      job.refuseInDrain(drainError);
      return;
    }
    const runMs = this.estimateRunMs(job, now);
    // While other jobs are queued, the slot goes to a job that can still meet its deadline.
    if (this.queued.size > 0 && now + runMs >= job.expiresAt) {
      job.refuse?.(this.createUnreachableError(job.workspace, runMs));
      return;
    }
    this.running.set(job.id, { job, startedAt: now });
    this.usage.record(job.workspace, 1, now);
    this.policy.onChange();
    const costBefore = job.cost;
    const outcome = await job.run();
    if (!job.preemptible) this.drainWindow.recordRun(this.policy.readClock() - now);
    this.running.delete(job.id);
    this.preemptedForExclusive.delete(job.id);
    this.usage.record(job.workspace, -1, this.policy.readClock());
    if (this.pendingVictim === job.id) this.pendingVictim = undefined;
    if (outcome === 'requeue') {
      this.queueThroughput.add(costBefore - job.cost);
      this.enqueue(job, true);
    } else {
      this.queueThroughput.add(costBefore);
      const finishedAt = this.policy.readClock();
      if (finishedAt < job.expiresAt) {
        this.requestThroughput.record(job.workspace, costBefore, finishedAt - now, finishedAt);
      }
      this.preemptions.delete(job.id);
      this.policy.onChange();
    }
    this.reclaimSlots(this.policy.readClock());
  }

  /** Preempts all streams so that a suspect can run exclusively; they resume after its first token. */
  private preemptForExclusive(): void {
    for (const { job } of this.running.values()) {
      if (job.exclusive || !job.preemptible || this.preemptedForExclusive.has(job.id)) continue;
      this.preemptedForExclusive.add(job.id);
      job.preempt();
    }
  }

  /** Preempts one stream at a time, so that the next decision takes its effect into account. */
  private reclaimSlots(now: number): void {
    if (this.getQueue().isExclusiveNext()) {
      this.preemptForExclusive();
      return;
    }
    if (this.pendingVictim !== undefined) return;
    const running = [...this.running.values()].map(({ job, startedAt }) => ({
      id: job.id,
      workspace: job.workspace,
      startedAt,
      preemptible: job.preemptible && !job.exclusive,
      preemptions: this.preemptions.get(job.id) ?? 0,
    }));
    const waiting = this.getQueue().listQueuedWorkspaces();
    const getUsage = (workspace: string): WorkspaceUsage => this.getUsage(workspace, now);
    const preemption = choosePreemption({ slots: this.slots, running, waiting, getUsage }, now);
    if (preemption === undefined) return;
    const { victim, beneficiary } = preemption;
    this.getQueue().reserveNextStart(beneficiary);
    this.pendingVictim = victim;
    this.preemptionCount += 1;
    this.preemptions.set(victim, (this.preemptions.get(victim) ?? 0) + 1);
    this.running.get(victim)?.job.preempt();
  }

  private getUsage(workspace: string, now: number): WorkspaceUsage {
    const held = this.usage.countHeld(workspace);
    const averages = this.usage.computeAverage(workspace, now);
    return { share: this.policy.getShare(workspace), held, ...averages };
  }

  /** Work within the guaranteed share waits only for its own workspace, because borrowed slots are reclaimed for it. */
  private estimateWaitMs(workspace: string, now: number): number {
    const queue = this.getQueue();
    if (this.isBelowShare(workspace, now) && queue.countQueued(workspace) === 0) return 0;
    return this.queueThroughput.estimateMs(queue.computeWorkAhead(workspace));
  }

  private estimateRunMs(job: Job, now: number): number {
    return job.refuse === undefined
      ? 0
      : this.requestThroughput.estimateMs(job.workspace, job.cost, now);
  }

  private createUnreachableError(workspace: string, neededMs: number): RequestError {
    const message = `deadline is shorter than the estimated queue and run time of ${Math.round(neededMs)} ms`;
    return createError('deadline_unreachable', message, this.estimateRetryAfterMs(workspace));
  }

  private estimateRetryAfterMs(workspace: string): number {
    const queuedWork = this.getQueue().describe()[workspace]?.work ?? 0;
    const share = Math.max(this.policy.getShare(workspace), MIN_WEIGHT);
    const waitMs = this.queueThroughput.estimateMs(queuedWork / share);
    return Math.round(Math.min(Math.max(waitMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS));
  }

  private getQueue(): FairQueue {
    if (this.fairQueue === undefined)
      throw new Error('p-queue did not instantiate its queue class');
    return this.fairQueue;
  }
}
