import type { Queue, QueueAddOptions } from 'p-queue';

type RunFunction = () => Promise<unknown>;

/** Scheduling attributes of a queued item. */
export interface FairQueueOptions extends QueueAddOptions {
  workspace?: string;
  /** Work units. */
  cost?: number;
  /** Weight of the workspace: its guaranteed share. */
  weight?: number;
  /** Runs only while nothing else runs. */
  exclusive?: boolean;
  /** Resumes a preempted stream, whose cost has been charged already. */
  resumed?: boolean;
}

/** Jobs currently running; decides whether the head of the queue may start. */
export interface RunningState {
  readonly running: number;
  readonly exclusive: boolean;
}

interface QueueItem {
  readonly id: string;
  readonly workspace: string;
  /** Key of the queue that holds the item. */
  readonly key: string;
  readonly cost: number;
  readonly weight: number;
  readonly exclusive: boolean;
  readonly start: number;
  readonly run: RunFunction;
}

/** Key of the queue of exclusive work; workspace ids are never empty. */
const EXCLUSIVE_KEY = '';

/** Weight of a workspace without a guaranteed share. */
export const MIN_WEIGHT = 0.01;

/**
 * Start-time fair queue (SFQ): items are dequeued in order of virtual start time, which advances for
 * a workspace by cost / weight. A workspace that was idle starts at the current virtual time, so it
 * neither accumulates credit nor waits behind the backlog of others. Exclusive work goes first,
 * because it runs exclusively only until its first token and its caller has already lost time in a
 * crash.
 */
export class FairQueue implements Queue<RunFunction, FairQueueOptions> {
  private readonly queues = new Map<string, QueueItem[]>();
  private readonly lastVirtualFinish = new Map<string, number>();
  private virtualTime = 0;
  private reservedWorkspace: string | undefined;

  /**
   * @param readRunningState - Reads the currently running jobs
   * @param choosePreferred - Selects the queued workspace that takes precedence over the order of start times
   */
  constructor(
    private readonly readRunningState: () => RunningState,
    private readonly choosePreferred: (waiting: readonly string[]) => string | undefined = () =>
      undefined,
  ) {}

  /** Number of items that may start; 0 while an exclusive item runs or waits for running jobs to end. */
  get size(): number {
    const head = this.findHead();
    if (head === undefined) return 0;
    const state = this.readRunningState();
    if (state.exclusive || (head.exclusive && state.running > 0)) return 0;
    return this.countQueued();
  }

  /**
   * Adds an item; called by p-queue.
   *
   * @param run - Starts the work
   * @param options - Workspace, cost and weight
   */
  enqueue(run: RunFunction, options: Partial<FairQueueOptions> = {}): void {
    const { id = '', workspace = '', cost = 1, resumed = false, exclusive = false } = options;
    const weight = Math.max(options.weight ?? MIN_WEIGHT, MIN_WEIGHT);
    const key = exclusive ? EXCLUSIVE_KEY : workspace;
    const queue = this.queues.get(key) ?? [];
    const lastFinish = this.lastVirtualFinish.get(workspace) ?? 0;
    const item = { id, workspace, key, cost, weight, exclusive, run };
    if (resumed) {
      // The caller is already receiving tokens, so the stream resumes ahead of its workspace's backlog.
      const start = queue[0]?.start ?? Math.max(this.virtualTime, lastFinish - cost / weight);
      queue.unshift({ ...item, start });
      this.lastVirtualFinish.set(workspace, Math.max(lastFinish, start + cost / weight));
    } else {
      const start = Math.max(this.virtualTime, lastFinish);
      queue.push({ ...item, start });
      this.lastVirtualFinish.set(workspace, start + cost / weight);
    }
    this.queues.set(key, queue);
  }

  /**
   * Takes the next item: exclusive, then preferred, then by earliest virtual start time.
   *
   * @returns The start function
   */
  dequeue(): RunFunction | undefined {
    const head = this.findHead();
    if (head === undefined) return undefined;
    const queue = this.queues.get(head.key) ?? [];
    queue.shift();
    this.reservedWorkspace = undefined;
    this.virtualTime = Math.max(this.virtualTime, head.start);
    this.removeIfIdle(head.key);
    return head.run;
  }

  /**
   * Removes a queued item.
   *
   * @param id - Id from the enqueue options
   */
  remove(id: string): void {
    for (const [workspace, queue] of this.queues) {
      const index = queue.findIndex((item) => item.id === id);
      if (index < 0) continue;
      const [item] = queue.splice(index, 1);
      if (item !== undefined) this.refund(item);
      this.removeIfIdle(workspace);
      return;
    }
  }

  /** Required by p-queue; does nothing, because the order follows from the shares. */
  setPriority(): void {
    return;
  }

  /**
   * Lists queued start functions; called by p-queue.
   *
   * @returns All start functions
   */
  filter(): RunFunction[] {
    return [...this.queues.values()].flat().map((item) => item.run);
  }

  /**
   * Counts queued items, including those that may not start yet.
   *
   * @param workspace - Workspace to count; all when undefined
   * @returns Number of items
   */
  countQueued(workspace?: string): number {
    if (workspace !== undefined) return this.queues.get(workspace)?.length ?? 0;
    let count = 0;
    for (const queue of this.queues.values()) count += queue.length;
    return count;
  }

  /**
   * Lists the workspaces that have queued work.
   *
   * @returns Workspaces
   */
  listQueuedWorkspaces(): string[] {
    return [...this.queues.keys()].filter((key) => key !== EXCLUSIVE_KEY);
  }

  /**
   * Describes the queued items.
   *
   * @returns Items and work units by workspace
   */
  describe(): Record<string, { queued: number; work: number }> {
    const entries = [...this.queues].map(([workspace, queue]) => {
      const work = queue.reduce((sum, item) => sum + item.cost, 0);
      return [workspace, { queued: queue.length, work }] as const;
    });
    return Object.fromEntries(entries);
  }

  /**
   * Computes the queued work that would start before new work of a workspace.
   *
   * @param workspace - Workspace of the new work
   * @returns Work units
   */
  computeWorkAhead(workspace: string): number {
    const start = Math.max(this.virtualTime, this.lastVirtualFinish.get(workspace) ?? 0);
    let work = 0;
    for (const queue of this.queues.values()) {
      for (const item of queue) {
        if (item.start > start) break;
        work += item.cost;
      }
    }
    return work;
  }

  /**
   * Reserves the next start for a workspace on whose behalf a slot was reclaimed.
   *
   * @param workspace - Workspace below its guaranteed share
   */
  reserveNextStart(workspace: string): void {
    this.reservedWorkspace = workspace;
  }

  /** @returns Whether the next item to start is exclusive. */
  isExclusiveNext(): boolean {
    return this.findHead()?.exclusive ?? false;
  }

  private findHead(): QueueItem | undefined {
    if (this.queues.size === 0) return undefined;
    const [exclusive] = this.queues.get(EXCLUSIVE_KEY) ?? [];
    if (exclusive !== undefined) return exclusive;
    const preferred = this.reservedWorkspace ?? this.choosePreferred(this.listQueuedWorkspaces());
    const [preferredItem] = this.queues.get(preferred ?? '') ?? [];
    if (preferredItem !== undefined) return preferredItem;
    let head: QueueItem | undefined;
    for (const [item] of this.queues.values()) {
      if (item !== undefined && (head === undefined || item.start < head.start)) head = item;
    }
    return head;
  }

  private refund(item: QueueItem): void {
    const finish = this.lastVirtualFinish.get(item.workspace) ?? 0;
    this.lastVirtualFinish.set(item.workspace, finish - item.cost / item.weight);
  }

  /** Deletes an empty queue, and virtual finish times that are equivalent to never having queued. */
  private removeIfIdle(workspace: string): void {
    if (this.queues.get(workspace)?.length !== 0) return;
    this.queues.delete(workspace);
    for (const [name, finish] of this.lastVirtualFinish) {
      if (finish <= this.virtualTime && !this.queues.has(name)) this.lastVirtualFinish.delete(name);
    }
  }
}
