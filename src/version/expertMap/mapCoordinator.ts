import type { MapMessage, MapMessageOf, Outcome, SendMapMessage } from './types.js';

export interface MapCoordinatorOptions {
  readonly ranks: number;
  readonly incarnation: number;
  /** Unique per coordinator; a new coordinator uses a higher fencing number. */
  readonly fencing: number;
  readonly send: SendMapMessage;
  /** Time to wait for all ranks to prepare before the change is aborted. */
  readonly prepareTimeoutMs: number;
  /** Milliseconds. */
  readonly startedAt: number;
}

/** A coordinator is not superseded earlier, so that one of two active coordinators can finish a change. */
const MIN_TENURE_MS = 500;

interface RunningChange {
  readonly change: number;
  readonly version: number;
  readonly step: number;
  readonly startedAt: number;
  readonly prepared: Set<number>;
  readonly decided: Set<number>;
  outcome: Outcome | undefined;
}

/** Coordinates map changes of one group incarnation, one at a time. */
export class MapCoordinator {
  /** Outcomes that every rank has confirmed. */
  readonly settled: { change: number; outcome: Outcome }[] = [];
  private readonly promises = new Map<number, MapMessageOf<'promise'>>();
  private running: RunningChange | undefined;
  private lastChange = 0;

  constructor(readonly options: MapCoordinatorOptions) {}

  /** True when all ranks have promised and no change is open. */
  get isReady(): boolean {
    return this.promises.size === this.options.ranks && this.running === undefined;
  }

  /**
   * Checks whether a rank has promised a higher fencing number, after which this coordinator cannot settle
   * a change any more.
   *
   * @param promised - Highest fencing number that each rank has promised
   * @param now - Current time in milliseconds
   * @returns True when a coordinator with a higher fencing number has to take over
   */
  isSuperseded(promised: readonly number[], now: number): boolean {
    const { startedAt, fencing } = this.options;
    if (now - startedAt < MIN_TENURE_MS) return false;
    return promised.some((number) => number > fencing);
  }

  /**
   * Starts a change; only valid while `isReady`.
   *
   * @param version - Map version
   * @param step - First step that uses the map
   * @param now - Current time in milliseconds
   */
  start(version: number, step: number, now: number): void {
    if (!this.isReady) return;
    this.lastChange += 1;
    this.open({ change: this.lastChange, version, step }, now, undefined);
    this.update(now);
  }

  /**
   * Resends outstanding messages; the first call of a new coordinator requests promises.
   *
   * @param now - Current time in milliseconds
   */
  update(now: number): void {
    const { running } = this;
    if (running === undefined) {
      this.broadcast(this.promises, { type: 'promiseRequest', ...this.getFencingToken() });
      return;
    }
    const late = now - running.startedAt > this.options.prepareTimeoutMs;
    if (running.outcome === undefined && late) running.outcome = 'abort';
    const { change, version, step, outcome } = running;
    if (outcome === undefined) {
      const message = {
        type: 'prepare' as const,
        ...this.getFencingToken(),
        change,
        version,
        step,
      };
      this.broadcast(running.prepared, message);
      return;
    }
    this.broadcast(running.decided, { type: 'decide', ...this.getFencingToken(), change, outcome });
  }

  /**
   * Handles a reply from a rank.
   *
   * @param message - Message of the protocol
   * @param now - Current time in milliseconds
   */
  handle(message: MapMessage, now: number): void {
    if (message.incarnation !== this.options.incarnation) return;
    if (message.fencing !== this.options.fencing) return;
    if (message.type === 'promise') this.recordPromise(message, now);
    const { running } = this;
    if (running === undefined) return;
    if (message.type === 'prepared' && message.change === running.change) {
      running.prepared.add(message.rank);
      if (running.prepared.size < this.options.ranks || running.outcome !== undefined) return;
      running.outcome = 'commit';
      this.update(now);
    }
    if (message.type === 'decided' && message.change === running.change) {
      running.decided.add(message.rank);
      if (running.decided.size < this.options.ranks || running.outcome === undefined) return;
      this.settled.push({ change: running.change, outcome: running.outcome });
      this.running = undefined;
    }
  }

  private recordPromise(message: MapMessageOf<'promise'>, now: number): void {
    if (this.promises.has(message.rank)) return;
    this.promises.set(message.rank, message);
    if (this.promises.size === this.options.ranks) this.recoverOpenChange(now);
  }

  /** Decides the change that an earlier coordinator may have left open. */
  private recoverOpenChange(now: number): void {
    const promises = [...this.promises.values()];
    for (const { prepared, decision } of promises) {
      this.lastChange = Math.max(this.lastChange, prepared?.change ?? 0, decision?.change ?? 0);
    }
    const open = promises.find(({ prepared }) => prepared?.change === this.lastChange)?.prepared;
    const knownDecision = promises.find(
      ({ decision }) => decision?.change === this.lastChange,
    )?.decision;
    if (this.lastChange === 0) return;
    const unanimous = promises.every(
      ({ prepared }) => prepared?.change === this.lastChange && prepared.fencing === open?.fencing,
    );
    // With all ranks prepared, the earlier coordinator may already have committed.
    const outcome = knownDecision?.outcome ?? (unanimous ? 'commit' : 'abort');
    this.open(open ?? { change: this.lastChange, version: 0, step: 0 }, now, outcome);
    this.update(now);
  }

  private open(
    { change, version, step }: { change: number; version: number; step: number },
    startedAt: number,
    outcome: Outcome | undefined,
  ): void {
    const [prepared, decided] = [new Set<number>(), new Set<number>()];
    this.running = { change, version, step, startedAt, prepared, decided, outcome };
  }

  private broadcast(done: { has(rank: number): boolean }, message: MapMessage): void {
    for (let rank = 0; rank < this.options.ranks; rank += 1) {
      if (!done.has(rank)) this.options.send({ rank }, message);
    }
  }

  private getFencingToken(): { incarnation: number; fencing: number } {
    return { incarnation: this.options.incarnation, fencing: this.options.fencing };
  }
}
