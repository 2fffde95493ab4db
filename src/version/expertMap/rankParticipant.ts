import type { EngineCommands, MapMessage, MapMessageOf, Outcome, SendMapMessage } from './types.js';

export interface RankParticipantOptions {
  readonly rank: number;
  /** Unique name of this participant; a replacement uses another. */
  readonly process: string;
  readonly engine: EngineCommands;
  readonly send: SendMapMessage;
  /** A longer gap between two clock checks means that this process was paused. */
  readonly maxPauseMs: number;
  /** Whether the weights of a map are loaded; when omitted, every map counts as loaded. */
  readonly isLoaded?: (version: number) => boolean;
}

type Prepared = NonNullable<MapMessageOf<'promise'>['prepared']>;

/**
 * One rank's part of the map change protocol; runs in the rank's agent.
 *
 * An engine that ignores fencing tokens leaves one race: if the agent is paused after its clock
 * check and before the bytes of the command leave, and is replaced meanwhile, the command still
 * reaches the engine when the agent resumes. The replacement detects the wrong map when it reads it
 * back before the next step, and stops the group, but a step that began earlier may have used it.
 * An operator avoids the race by restarting the engine together with its agent, or by using engines
 * that check the token. A replacement must start later than `maxPauseMs` after the last sign of
 * life of the process that it replaces.
 */
export class RankParticipant {
  /** Why this participant may not act any more; its session replaces it by one with a new process name. */
  stopReason: string | undefined;
  incarnation = 0;
  private promised = 0;
  private version = 0;
  private nextStep = 0;
  private activation: { version: number; step: number } | undefined;
  private prepared: Prepared | undefined;
  private decision: { change: number; outcome: Outcome; fencing: number } | undefined;
  private checkedAt: number;

  constructor(
    private readonly options: RankParticipantOptions,
    now: number,
  ) {
    this.checkedAt = now;
  }

  /** Highest fencing number that this rank has promised. */
  get fencing(): number {
    return this.promised;
  }

  /** First step that this rank has not entered. */
  get step(): number {
    return this.nextStep;
  }

  /** Map in use, or committed for a later step. */
  get targetVersion(): number {
    return this.activation?.version ?? this.version;
  }

  /** Map version of the prepared change whose decision is not known yet. */
  get preparedVersion(): number | undefined {
    return this.prepared?.version;
  }

  /**
   * Handles one message.
   *
   * @param message - Message of the protocol
   * @param now - Current time in milliseconds
   */
  handle(message: MapMessage, now: number): void {
    if (!this.check(now)) return;
    if (message.type === 'begin') {
      this.begin(message, now);
      return;
    }
    if (message.incarnation !== this.incarnation) return;
    if (message.type === 'prepare') this.prepare(message);
    if (message.type === 'decide') this.applyDecision(message, now);
    if (message.type === 'promiseRequest') this.replyToPromiseRequest(message);
    if (message.type === 'query') this.replyToQuery(message);
  }

  /**
   * Detects a pause of this process and queries a missing decision; called more often than `maxPauseMs`.
   *
   * @param now - Current time in milliseconds
   */
  update(now: number): void {
    if (!this.check(now) || this.prepared === undefined) return;
    this.options.send(
      { ranks: 'others' },
      {
        type: 'query',
        ...this.getFencingToken(),
        rank: this.options.rank,
        change: this.prepared.change,
      },
    );
  }

  /**
   * Tries to enter the next step; the step barrier of the ranks compares incarnation and step.
   *
   * @param now - Current time in milliseconds
   * @returns The step, or undefined while the rank has to hold
   */
  openStep(now: number): { incarnation: number; step: number } | undefined {
    if (!this.check(now) || this.incarnation === 0) return undefined;
    const step = this.nextStep;
    if (this.prepared !== undefined && step >= this.prepared.step) return undefined;
    if (this.activation !== undefined && step >= this.activation.step) {
      this.version = this.activation.version;
      this.activation = undefined;
    }
    const read = this.options.engine.readMap();
    if (read === undefined) return undefined;
    if (read !== this.targetVersion) {
      this.stopReason = 'engine map differs';
      return undefined;
    }
    this.nextStep = step + 1;
    return { incarnation: this.incarnation, step };
  }

  private check(now: number): boolean {
    if (this.stopReason !== undefined) return false;
    if (now - this.checkedAt > this.options.maxPauseMs) {
      this.stopReason = 'paused';
      return false;
    }
    this.checkedAt = now;
    return true;
  }

  private begin(message: MapMessageOf<'begin'>, now: number): void {
    if (message.process !== this.options.process) return;
    if (message.incarnation < this.incarnation) return;
    if (message.incarnation > this.incarnation) {
      if (!this.isLoaded(message.version)) return;
      this.incarnation = message.incarnation;
      this.promised = message.fencing;
      this.version = message.version;
      this.nextStep = 0;
      this.activation = undefined;
      this.prepared = undefined;
      this.decision = undefined;
      this.setEngineMap(message.version, 0, now);
    }
    const { rank, process } = this.options;
    this.reply(message.fencing, { type: 'begun', ...this.getFencingToken(), process, rank });
  }

  private prepare(message: MapMessageOf<'prepare'>): void {
    const { change, version, step, fencing } = message;
    if (fencing < this.promised || !this.isLoaded(version)) return;
    if (this.decision !== undefined && change <= this.decision.change) return;
    if (this.prepared !== undefined && this.prepared.change !== change) return;
    // The rank has already entered the activation step, or an earlier map is not in use yet.
    if (step < this.nextStep || this.activation !== undefined) return;
    this.promised = fencing;
    this.prepared = { change, version, step, fencing };
    const rank = this.options.rank;
    this.reply(fencing, { type: 'prepared', ...this.getFencingToken(), rank, change });
  }

  private applyDecision(message: MapMessageOf<'decide'>, now: number): void {
    const { change, outcome, fencing } = message;
    const isDecided = this.decision !== undefined && change <= this.decision.change;
    if (!isDecided) {
      // A later coordinator may have found every rank prepared and committed instead.
      if (outcome === 'abort' && fencing < this.promised) return;
      if (outcome === 'commit' && this.prepared?.change !== change) return;
      const prepared = this.prepared;
      this.decision = { change, outcome, fencing };
      if (prepared?.change === change) this.prepared = undefined;
      if (outcome === 'commit' && prepared !== undefined) {
        this.activation = { version: prepared.version, step: prepared.step };
        this.setEngineMap(prepared.version, prepared.step, now);
      }
      this.options.send({ ranks: 'others' }, message);
    }
    const rank = this.options.rank;
    this.reply(fencing, { type: 'decided', ...this.getFencingToken(), fencing, rank, change });
  }

  private replyToPromiseRequest(message: MapMessageOf<'promiseRequest'>): void {
    if (message.fencing < this.promised) return;
    this.promised = message.fencing;
    const { rank } = this.options;
    const decision =
      this.decision === undefined
        ? null
        : { change: this.decision.change, outcome: this.decision.outcome };
    const prepared = this.prepared ?? null;
    this.reply(message.fencing, {
      type: 'promise',
      ...this.getFencingToken(),
      rank,
      prepared,
      decision,
    });
  }

  private replyToQuery(message: MapMessageOf<'query'>): void {
    if (this.decision?.change !== message.change) return;
    const { change, outcome, fencing } = this.decision;
    const { incarnation } = this;
    this.options.send(
      { rank: message.rank },
      { type: 'decide', incarnation, fencing, change, outcome },
    );
  }

  /** Sends the engine a command; there must be no await between the clock check and the command. */
  private setEngineMap(version: number, step: number, now: number): void {
    if (!this.check(now)) return;
    if (!this.options.engine.setMap(version, step, this.getFencingToken())) {
      this.stopReason = 'engine refused the number';
      return;
    }
    const read = this.options.engine.readMap();
    if (read !== undefined && read !== version) this.stopReason = 'engine map differs';
  }

  private isLoaded(version: number): boolean {
    return this.options.isLoaded?.(version) ?? true;
  }

  private getFencingToken(): { incarnation: number; fencing: number } {
    return { incarnation: this.incarnation, fencing: this.promised };
  }

  private reply(fencing: number, message: MapMessage): void {
    this.options.send({ coordinator: fencing }, message);
  }
}
