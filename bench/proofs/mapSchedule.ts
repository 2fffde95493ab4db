import seedrandom from 'seedrandom';
import { IncarnationManager } from '../../src/version/expertMap/incarnationManager.js';
import type { RankView } from '../../src/version/expertMap/incarnationManager.js';
import { MapCoordinator } from '../../src/version/expertMap/mapCoordinator.js';
import { NumberSource } from '../../src/version/expertMap/numberSource.js';
import { RankParticipant } from '../../src/version/expertMap/rankParticipant.js';
import type { MapMessage, Target } from '../../src/version/expertMap/types.js';
import { RankGroup } from '../../test/standins/rankGroup.js';
import { createLateEngine } from './mapLateEngine.js';
import type { Variant } from './mapVariants.js';
import { variants } from './mapVariants.js';
import { BaselineParticipant } from './baselineParticipant.js';

const TICK_MS = 20;
const FAULTS_END_MS = 8_000;
const END_MS = 14_000;
/** After this time the group must run steps and settle at least one change. */
const RECOVERED_MS = 11_000;
const REPLACEMENT_DELAY_MS = 600;
const RESEND_INTERVAL_MS = 100;
const MANAGER_TIMEOUT_MS = 1_000;
/** Ranks that may choose incarnations, possibly concurrently. */
const MANAGERS = 2;
const STALE_VIEW_PROBABILITY = 0.2;
const LATE_COMMAND_PROBABILITY = 0.02;

export interface ScheduleResult {
  readonly changes: number;
  readonly committed: number;
  readonly aborted: number;
  readonly steps: number;
  readonly mixedSteps: number;
  readonly isStalled: boolean;
}

interface RankProcess {
  readonly rank: number;
  readonly name: string;
  readonly participant: RankParticipant | BaselineParticipant;
  readonly inbox: { at: number; message: MapMessage }[];
  readonly pause: { until: number };
}

/** Incarnation manager of one rank; its view of the ranks may be stale. */
interface Manager {
  readonly numbers: NumberSource;
  readonly manager: IncarnationManager;
  readonly views: (RankView | undefined)[];
}

/**
 * Simulates one seeded schedule of message loss, duplication and delay, process kills and pauses, and coordinator
 * changes.
 */
export class MapSchedule {
  private readonly random: () => number;
  private readonly group: RankGroup;
  /** Processes of each rank, the current one last; replaced ones may still resume. */
  private readonly processes: RankProcess[][];
  private coordinators: MapCoordinator[] = [];
  private readonly answers: { at: number; fencing: number; message: MapMessage }[] = [];
  private readonly managers: Manager[];
  /** Commands of processes that were paused before sending them. */
  private readonly lateCommands: { at: number; run: () => void }[] = [];
  /** Latest incarnation that a manager has reported complete. */
  private incarnation = 0;
  private version = 0;
  private changes = 0;
  private faults = true;
  private lastStepAt = 0;
  private processCount = 0;
  private now = 0;
  private readonly retired: MapCoordinator[] = [];

  constructor(
    seed: string,
    private readonly variant: Variant,
    private readonly ranks = 4,
  ) {
    this.random = seedrandom(seed);
    this.group = new RankGroup(ranks, variants[variant].fencing);
    this.managers = Array.from({ length: MANAGERS }, (_, rank) => this.createManager(rank));
    this.processes = Array.from({ length: ranks }, (_, rank) => [this.createProcess(rank, 0)]);
  }

  run(): ScheduleResult {
    let recovered = 0;
    for (let now = 0; now < END_MS; now += TICK_MS) {
      this.faults = now < FAULTS_END_MS;
      if (this.faults) this.injectFaults(now);
      this.runProcesses(now);
      this.runCoordinators(now);
      if (this.group.runStep()) this.lastStepAt = now;
      if (now <= RECOVERED_MS) recovered = this.countSettledChanges();
    }
    const outcomes = this.settledChanges.map(({ outcome }) => outcome);
    const committed = outcomes.filter((outcome) => outcome === 'commit').length;
    return {
      changes: this.changes,
      committed,
      aborted: outcomes.length - committed,
      steps: this.group.steps.length,
      mixedSteps: this.group.countMixedSteps(),
      isStalled: this.lastStepAt < END_MS - 1_000 || this.countSettledChanges() === recovered,
    };
  }

  private get settledChanges(): { outcome: string }[] {
    return [...this.retired, ...this.coordinators].flatMap((coordinator) => coordinator.settled);
  }

  private countSettledChanges(): number {
    return this.settledChanges.length;
  }

  private createProcess(rank: number, now: number): RankProcess {
    const engine = this.group.engines[rank];
    if (engine === undefined) throw new Error(`no engine for rank ${rank}`);
    this.processCount += 1;
    const name = `${rank}-${this.processCount}`;
    const { late, maxPauseMs } = variants[this.variant];
    const pause = { until: 0 };
    const decidePause = (): number | undefined => {
      if (!this.faults || this.random() >= LATE_COMMAND_PROBABILITY) return undefined;
      return this.now + 50 + this.random() * 1_500;
    };
    const defer = (at: number, run: () => void): void => {
      this.lateCommands.push({ at, run });
    };
    const options = {
      rank,
      process: name,
      engine: late ? createLateEngine({ engine, pause, decidePause, defer }) : engine,
      maxPauseMs,
      send: (target: Target, message: MapMessage) => {
        this.send(target, message, Math.max(this.now, pause.until), rank);
      },
    };
    const participant =
      this.variant === 'naive'
        ? new BaselineParticipant(options)
        : new RankParticipant(options, now);
    return { rank, name, participant, inbox: [], pause };
  }

  private createManager(rank: number): Manager {
    const numbers = new NumberSource(this.ranks, rank);
    const manager = new IncarnationManager({
      numbers,
      completionTimeoutMs: MANAGER_TIMEOUT_MS,
      send: (target, message) => {
        this.send(target, message, this.now, -1);
      },
    });
    return { numbers, manager, views: Array.from({ length: this.ranks }, () => undefined) };
  }

  private send(target: Target, message: MapMessage, now: number, from: number): void {
    const copies = this.faults ? (this.random() < 0.15 ? 0 : this.random() < 0.1 ? 2 : 1) : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const maxDelayMs = this.faults && this.random() < 0.1 ? 1_500 : 60;
      const at = now + this.random() * maxDelayMs;
      if ('coordinator' in target) {
        this.answers.push({ at, fencing: target.coordinator, message });
      } else if ('rank' in target) {
        this.processes[target.rank]?.at(-1)?.inbox.push({ at, message });
      } else {
        for (const [rank, list] of this.processes.entries()) {
          if (rank !== from) list.at(-1)?.inbox.push({ at, message });
        }
      }
    }
  }

  private injectFaults(now: number): void {
    if (this.random() < 0.004) {
      const list = this.pickRank();
      list.pop();
      this.replace(list, now + REPLACEMENT_DELAY_MS);
    }
    if (this.random() < 0.01) {
      const process = this.pickRank().at(-1);
      if (process !== undefined) process.pause.until = now + 50 + this.random() * 1_500;
    }
    if (this.random() < 0.01) this.changeCoordinator();
  }

  private pickRank(): RankProcess[] {
    return this.processes[Math.floor(this.random() * this.ranks)] ?? [];
  }

  private replace(list: RankProcess[], startsAt: number): void {
    const rank = this.processes.indexOf(list);
    const process = this.createProcess(rank, startsAt);
    process.pause.until = startsAt;
    list.push(process);
    this.group.clearWaiting(rank);
    // A new process does not know the fencing tokens and versions that its predecessor issued.
    if (rank < MANAGERS && startsAt > this.now) this.managers[rank] = this.createManager(rank);
  }

  /** Adds a coordinator; with probability 0.5 the old ones stay active, as after a pause. */
  private changeCoordinator(): void {
    if (this.random() < 0.5) this.retired.push(...this.coordinators.splice(0));
    this.addCoordinator();
  }

  private addCoordinator(): void {
    const { numbers } = this.managers[this.random() < 0.5 ? 0 : 1] ?? this.createManager(0);
    for (const token of this.listPromisedTokens()) numbers.observe(token);
    for (const { options } of this.coordinators) numbers.observe(options.fencing);
    this.coordinators.push(
      new MapCoordinator({
        ranks: this.ranks,
        incarnation: this.incarnation,
        fencing: numbers.issue(this.now),
        prepareTimeoutMs: 700,
        startedAt: this.now,
        send: (target, message) => {
          this.send(target, message, this.now, -1);
        },
      }),
    );
  }

  private runProcesses(now: number): void {
    this.now = now;
    const due = this.lateCommands.filter(({ at }) => at <= now);
    this.lateCommands.splice(0, Infinity, ...this.lateCommands.filter(({ at }) => at > now));
    for (const { run } of due) run();
    for (const [rank, list] of this.processes.entries()) {
      for (const process of [...list]) {
        if (process.pause.until <= now) this.runProcess(process, list.at(-1) === process, now);
      }
      const current = list.at(-1);
      const stalled = current !== undefined && current.pause.until - now > REPLACEMENT_DELAY_MS;
      if (current?.participant.stopReason !== undefined) this.replace(list, now);
      else if (stalled && current.participant.incarnation > 0)
        this.replace(list, now + REPLACEMENT_DELAY_MS);
      if (current?.participant.stopReason !== undefined) this.group.clearWaiting(rank);
    }
  }

  private runProcess(process: RankProcess, isCurrent: boolean, now: number): void {
    const { participant, inbox, rank } = process;
    const due = inbox.filter(({ at }) => at <= now).sort((left, right) => left.at - right.at);
    inbox.splice(0, inbox.length, ...inbox.filter(({ at }) => at > now));
    for (const { message } of due) participant.handle(message, now);
    if (now % RESEND_INTERVAL_MS === 0) participant.update(now);
    if (isCurrent) this.group.open(rank, participant, participant.incarnation, now);
  }

  private runCoordinators(now: number): void {
    const due = this.answers.filter(({ at }) => at <= now);
    this.answers.splice(0, this.answers.length, ...this.answers.filter(({ at }) => at > now));
    for (const { fencing, message } of due) {
      const coordinator = this.coordinators.find((each) => each.options.fencing === fencing);
      coordinator?.handle(message, now);
    }
    if (now % RESEND_INTERVAL_MS !== 0) return;
    this.updateIncarnation();
    const promised = this.listPromisedTokens();
    const superseded = this.coordinators.every((each) => each.isSuperseded(promised, now));
    if (this.incarnation > 0 && superseded) this.addCoordinator();
    for (const coordinator of this.coordinators) {
      if (coordinator.isReady) {
        this.version += 1;
        this.changes += 1;
        const step = (this.group.steps.at(-1)?.step ?? 0) + 5 + Math.floor(this.random() * 30);
        coordinator.start(this.version, step, now);
      } else coordinator.update(now);
    }
  }

  private listPromisedTokens(): number[] {
    return this.processes.map((list) => {
      const participant = list.at(-1)?.participant;
      return participant instanceof RankParticipant ? participant.fencing : 0;
    });
  }

  /** Runs the managers whose process is not paused; some entries of their views are stale. */
  private updateIncarnation(): void {
    for (const [rank, { manager, numbers, views }] of this.managers.entries()) {
      const { until } = this.processes[rank]?.at(-1)?.pause ?? { until: 0 };
      if (until > this.now || (rank > 0 && (!this.faults || this.random() < 0.5))) continue;
      for (const [index, list] of this.processes.entries()) {
        const current = list.at(-1);
        if (current === undefined || (this.faults && this.random() < STALE_VIEW_PROBABILITY))
          continue;
        views[index] = { process: current.name, incarnation: current.participant.incarnation };
      }
      const complete = manager.update(views, () => this.issueVersion(numbers), this.now);
      if (complete === undefined || complete <= this.incarnation) continue;
      this.incarnation = complete;
      if (this.random() < 0.5) this.retired.push(...this.coordinators.splice(0));
      this.addCoordinator();
    }
  }

  private issueVersion(numbers: NumberSource): number {
    numbers.observe(this.version);
    this.version = numbers.issue(this.now);
    return this.version;
  }
}
