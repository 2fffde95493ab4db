import type { Hello, MessageHandlers } from '../../connection/peerLink.js';
import type { TlsMaterial } from '../../connection/tlsOptions.js';
import { getIssuingRank, NumberSource } from '../../version/expertMap/numberSource.js';
import type { Plan } from '../../version/expertMap/planStore.js';
import { PlanStore } from '../../version/expertMap/planStore.js';
import { RankParticipant } from '../../version/expertMap/rankParticipant.js';
import type { MapMessage, Target } from '../../version/expertMap/types.js';
import type { Logger } from '../logging.js';
import { EngineClient } from './engineClient.js';
import { GroupCoordinator } from './groupCoordinator.js';
import { GroupLinks } from './groupLinks.js';
import type { GroupDefinition } from './groupDefinition.js';
import { PlanSender } from './planSender.js';
import { LocalEngine } from './localEngine.js';
import type { BodyReceivers } from './registry.js';
import { handleBody } from './registry.js';
import type { GroupBody, GroupBodyOf, GroupStatus } from './types.js';

/** Interval of protocol resends and engine reads; each read costs an HTTP call. */
const UPDATE_INTERVAL_MS = 100;
/**
 * Interval at which an unchanged status is sent. With 32 ranks and 10 messages a second, statuses alone
 * would take several times the 21 KB/s that an agent may send and receive.
 */
const STATUS_INTERVAL_MS = 2_000;
/** Longer than scheduling delays of a busy host, shorter than the start of a replacement. */
const MAX_PAUSE_MS = 500;
const LOAD_READS_PER_INTERVAL = 2;

export interface GroupSessionOptions {
  readonly definition: GroupDefinition;
  readonly upstreamUrl: string;
  readonly self: () => Hello;
  readonly tls?: TlsMaterial | undefined;
  readonly handlers: MessageHandlers;
  readonly logger: Logger;
  readonly readClock: () => number;
  /** Distinguishes sessions of one process. */
  readonly session: number;
  /** Highest number seen by an earlier session of this process. */
  readonly highestNumber: number;
}

/** Participation of this process in one group, for as long as the group definition is unchanged. */
export class GroupSession implements BodyReceivers {
  readonly links: GroupLinks;
  readonly numbers: NumberSource;
  private readonly plans = new PlanStore();
  private readonly engine: LocalEngine;
  private readonly coordinator: GroupCoordinator;
  private readonly planSender: PlanSender;
  private participant: RankParticipant;
  private participantRestarts = 0;
  /** Map version of the previous participant of this process. */
  private previousVersion = 0;
  private lastStop: { reason: string; at: number } | undefined;
  private versionSince: { version: number; at: number } | undefined;
  private lastSentStatus = { text: '', at: 0 };
  private timers: NodeJS.Timeout[] = [];

  constructor(private readonly options: GroupSessionOptions) {
    const { definition } = options;
    this.numbers = new NumberSource(definition.ranks.length, definition.rank);
    this.numbers.observe(options.highestNumber);
    this.links = new GroupLinks({
      ...options,
      onLink: (rank) => {
        this.sendCurrentState(rank);
      },
    });
    this.planSender = new PlanSender((rank, body) => {
      this.links.send(rank, body);
    });
    const client = new EngineClient(options.upstreamUrl, definition.service.fencing);
    this.engine = new LocalEngine(client, definition.rank, this.plans);
    this.coordinator = new GroupCoordinator({
      definition,
      numbers: this.numbers,
      plans: this.plans,
      send: this.send.bind(this),
      sendPlan: (plan) => {
        this.distribute(plan);
      },
      addPlan: (plan) => {
        this.addPlan(plan);
      },
    });
    this.participant = this.createParticipant();
  }

  get definition(): GroupDefinition {
    return this.options.definition;
  }

  start(): void {
    this.links.start();
    const loadMs = this.options.definition.experts.intervalMs / LOAD_READS_PER_INTERVAL;
    this.timers = [
      setInterval(() => {
        this.update(this.options.readClock());
      }, UPDATE_INTERVAL_MS),
      setInterval(() => {
        void this.reportLoad();
      }, loadMs),
    ];
  }

  async stop(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    this.links.stop();
    await this.engine.client.close();
  }

  /**
   * Handles a parsed body.
   *
   * @param body - Body from a peer or from the local rank
   */
  handle(body: GroupBody): void {
    if ('fencing' in body) this.numbers.observe(body.fencing);
    if ('incarnation' in body) this.numbers.observe(body.incarnation);
    if ('version' in body) this.numbers.observe(body.version);
    handleBody(this, body);
  }

  handleAsRank(message: MapMessage): void {
    this.participant.handle(message, this.options.readClock());
  }

  handleAsCoordinator(message: MapMessage): void {
    this.coordinator.handle(message, this.options.readClock());
  }

  recordStatus(status: GroupStatus): void {
    this.coordinator.recordStatus(status);
  }

  recordIncarnationStart(message: GroupBodyOf<'begun'>): void {
    this.coordinator.recordIncarnationStart(message);
  }

  acceptPlan({ version, placement }: GroupBodyOf<'plan'>): void {
    const plan = { version, placement };
    this.addPlan(plan);
    const { incarnation, fencing } = this.participant;
    // Without an incarnation the engine would refuse the command; `begin` provides one.
    if (incarnation > 0) void this.engine.load(plan, { incarnation, fencing });
  }

  loadInitialMap({ process, version, incarnation, fencing }: GroupBodyOf<'begin'>): void {
    const plan = this.plans.get(version);
    if (process !== this.processName || plan === undefined) return;
    void this.engine.load(plan, { incarnation, fencing });
  }

  recordLoad({ rank, load }: GroupBodyOf<'expertLoad'>): void {
    this.coordinator.recordLoad(rank, load);
  }

  describe(): unknown {
    const { participant, engine, options } = this;
    const { definition } = options;
    const plan = this.plans.get(this.currentVersion);
    return {
      id: definition.id,
      rank: definition.rank,
      ranks: definition.ranks.length,
      coordinator: this.coordinatorRank,
      connected: this.links.connected,
      incarnation: participant.incarnation,
      fencing: participant.fencing,
      version: this.currentVersion,
      map: plan?.placement.map((layer) => layer[definition.rank]),
      preparedVersion: participant.preparedVersion,
      permittedStep: participant.step,
      engineStep: engine.client.step,
      loaded: engine.loadedVersions,
      versionSince: this.versionSince,
      lastStop: this.lastStop,
      engineFailure: engine.client.lastFailure,
      ...this.coordinator.describe(plan),
    };
  }

  private get processName(): string {
    const { host, incarnation } = this.options.self();
    return `${host}/${incarnation}/${this.options.session}.${this.participantRestarts}`;
  }

  private get currentVersion(): number {
    return this.participant.targetVersion === 0
      ? this.previousVersion
      : this.participant.targetVersion;
  }

  /** Lowest of the local rank and the linked ranks. */
  private get coordinatorRank(): number {
    return Math.min(this.options.definition.rank, ...this.links.connected);
  }

  private createParticipant(): RankParticipant {
    const { definition, readClock } = this.options;
    return new RankParticipant(
      {
        rank: definition.rank,
        process: this.processName,
        engine: this.engine.client,
        send: this.send.bind(this),
        maxPauseMs: MAX_PAUSE_MS,
        isLoaded: (version) => this.engine.isLoaded(version),
      },
      readClock(),
    );
  }

  private update(now: number): void {
    this.participant.update(now);
    if (this.participant.stopReason !== undefined)
      this.restartParticipant(this.participant.stopReason, now);
    this.engine.permitSteps(this.participant, now);
    void this.engine.client.readState();
    const version = this.currentVersion;
    if (version !== (this.versionSince?.version ?? 0)) this.versionSince = { version, at: now };
    const status = this.createStatus();
    this.recordStatus(status);
    this.publishStatus(status, now);
    if (this.coordinatorRank === this.options.definition.rank)
      this.coordinator.update(this.currentVersion, now);
    else this.coordinator.stop();
  }

  /** Replaces a stopped participant by one with a new process name, which joins a new incarnation. */
  private restartParticipant(reason: string, now: number): void {
    this.previousVersion = this.currentVersion;
    this.lastStop = { reason, at: now };
    this.participantRestarts += 1;
    this.engine.reset();
    this.participant = this.createParticipant();
    this.options.logger.warn(
      { group: this.options.definition.id, reason },
      'participant stopped; rejoining in a new incarnation',
    );
  }

  private createStatus(): GroupStatus {
    const { participant, numbers } = this;
    return {
      type: 'status',
      rank: this.options.definition.rank,
      process: this.processName,
      incarnation: participant.incarnation,
      fencing: numbers.highest,
      promised: participant.fencing,
      version: this.currentVersion,
      step: participant.step,
      loaded: this.engine.loadedVersions,
    };
  }

  /** Sends a changed status immediately; steps do not count as a change, because all ranks advance together. */
  private publishStatus(status: GroupStatus, now: number): void {
    const text = JSON.stringify({ ...status, step: 0, fencing: 0 });
    if (text === this.lastSentStatus.text && now - this.lastSentStatus.at < STATUS_INTERVAL_MS)
      return;
    this.lastSentStatus = { text, at: now };
    for (const rank of this.links.connected) this.links.send(rank, status);
  }

  private sendCurrentState(rank: number): void {
    this.planSender.resetRank(rank);
    const plan = this.plans.get(this.currentVersion);
    if (plan !== undefined) this.planSender.send(rank, plan, this.options.readClock());
    this.links.send(rank, this.createStatus());
  }

  private distribute(plan: Plan): void {
    this.acceptPlan({ type: 'plan', ...plan });
    for (const rank of this.links.connected) {
      if (this.coordinator.hasLoaded(rank, plan.version)) continue;
      this.planSender.send(rank, plan, this.options.readClock());
    }
  }

  private addPlan(plan: Plan): void {
    const { currentVersion, participant } = this;
    this.plans.add(plan, [currentVersion, participant.preparedVersion ?? 0]);
  }

  private async reportLoad(): Promise<void> {
    const load = await this.engine.client.readExpertLoad();
    if (load === undefined) return;
    const { rank } = this.options.definition;
    const body = { type: 'expertLoad' as const, rank, load };
    this.sendTo(this.coordinatorRank, body);
  }

  private send(target: Target, message: MapMessage): void {
    const { ranks, rank: localRank } = this.options.definition;
    if ('coordinator' in target) {
      this.sendTo(getIssuingRank(target.coordinator, ranks.length), message);
    } else if ('rank' in target) {
      const plan = message.type === 'begin' ? this.plans.get(message.version) : undefined;
      if (plan !== undefined && target.rank !== localRank) {
        this.planSender.send(target.rank, plan, this.options.readClock());
      }
      this.sendTo(target.rank, message);
    } else {
      for (const rank of this.links.connected) this.links.send(rank, message);
    }
  }

  /** Bodies to the local rank are handled in a later turn of the event loop, like those of peers. */
  private sendTo(rank: number, body: GroupBody): void {
    if (rank !== this.options.definition.rank) this.links.send(rank, body);
    else
      setImmediate(() => {
        this.handle(body);
      });
  }
}
