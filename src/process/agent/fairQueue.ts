import type { Queue, QueueAddOptions } from 'p-queue';

type RunFunction = () => Promise<unknown>;

/** What the fair queue knows about one unit of work. */
export interface FairQueueOptions extends QueueAddOptions {
  workspace?: string;
  /** Work units. */
  cost?: number;
  /** Share weight of the workspace. */
  weight?: number;
  /** The work runs only while nothing else runs. */
  exclusive?: boolean;
  /** Continues work that was charged before (a preempted stream). */
  resumed?: boolean;
}

/** What runs at present; decides whether the head of the queue may start. */
export interface RunningState {
  readonly running: number;
  readonly exclusive: boolean;
}

interface QueueItem {
  readonly id: string;
  readonly workspace: string;
  /** Queue that holds it. */
  readonly key: string;
  readonly cost: number;
  readonly weight: number;
  readonly exclusive: boolean;
  readonly start: number;
  readonly run: RunFunction;
}

/** Queue of exclusive work; no workspace has an empty id. */
const EXCLUSIVE_KEY = '';

/** Weight of a workspace without a guaranteed share. */
export const MIN_WEIGHT = 0.01;

/**
 * Start-time fair queue: work is taken in order of virtual start time, which advances for a
 * workspace by cost / weight. A workspace that was idle starts at the present virtual time, so it
 * neither collects credit nor waits behind the backlog of others. Exclusive work goes first, since
 * it runs alone for one token only and its caller has lost time in a crash already.
 */
export class FairQueue implements Queue<RunFunction, FairQueueOptions> {
  private readonly queues = new Map<string, QueueItem[]>();
  private readonly lastVirtualFinish = new Map<string, number>();
  private virtualTime = 0;
  private reservedWorkspace: string | undefined;

  /**
   * @param readRunningState - Reads what runs at present
   * @param choosePreferred - Names the waiting workspace that goes before the order of start times
   */
  constructor(
    private readonly readRunningState: () => RunningState,
    private readonly choosePreferred: (waiting: readonly string[]) => string | undefined = () =>
      undefined,
  ) {}

  /** Work that may start at present; 0 while an exclusive run holds the upstream or waits for it. */
  get size(): number {
    const head = this.findHead();
    if (head === undefined) return 0;
    const state = this.readRunningState();
    if (state.exclusive || (head.exclusive && state.running > 0)) return 0;
    return this.countQueued();
  }

  /**
   * Adds work; called by p-queue.
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
      // Its tokens are on the way to the caller already, so it continues before its own backlog.
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
   * Takes the work with the earliest virtual start time.
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
   * Removes queued work.
   *
   * @param id - Id given when it was added
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

  /** Priorities are not used: order follows from shares alone. */
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
   * Counts queued work, also work that may not start at present.
   *
   * @param workspace - Only this workspace
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
   * Describes the queued work.
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
   * Gives the next start to a workspace for which a slot was taken back.
   *
   * @param workspace - Workspace below its guaranteed share
   */
  reserveNextStart(workspace: string): void {
    this.reservedWorkspace = workspace;
  }

  /** @returns Whether the next start needs the whole upstream for itself. */
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

  /** Drops the record of a workspace once it equals that of an unknown workspace. */
  private removeIfIdle(workspace: string): void {
    if (this.queues.get(workspace)?.length !== 0) return;
    this.queues.delete(workspace);
    for (const [name, finish] of this.lastVirtualFinish) {
      if (finish <= this.virtualTime && !this.queues.has(name)) this.lastVirtualFinish.delete(name);
    }
  }
}
