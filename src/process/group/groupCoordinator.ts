import { IncarnationManager } from '../../version/expertMap/incarnationManager.js';
import type { NumberSource } from '../../version/expertMap/numberSource.js';
import { PlacementDriver } from '../../version/expertMap/placementDriver.js';
import type { Plan, PlanStore } from '../../version/expertMap/planStore.js';
import type { MapMessage, SendMapMessage } from '../../version/expertMap/types.js';
import { createPlacement } from '../../version/placement/groupPlacement.js';
import { placementPolicies } from '../../version/placement/registry.js';
import type { GroupLoad } from '../../version/placement/types.js';
import type { GroupDefinition } from './groupDefinition.js';
import type { GroupBodyOf, GroupStatus } from './types.js';

const INCARNATION_TIMEOUT_MS = 1_000;
const PREPARE_TIMEOUT_MS = 2_000;
/** More than the steps that ranks permit while a prepare message is in flight. */
const STEP_MARGIN = 192;

export interface GroupCoordinatorOptions {
  readonly definition: GroupDefinition;
  readonly numbers: NumberSource;
  readonly plans: PlanStore;
  readonly send: SendMapMessage;
  /** Sends a plan to all ranks. */
  readonly sendPlan: (plan: Plan) => void;
  readonly addPlan: (plan: Plan) => void;
}

/** Tracks the status of all ranks and drives map changes while the local rank is the coordinator. */
export class GroupCoordinator {
  private readonly manager: IncarnationManager;
  private readonly driver: PlacementDriver;
  /** Last status by rank; kept when its link closes. */
  private readonly statuses: (GroupStatus | undefined)[];

  constructor(private readonly options: GroupCoordinatorOptions) {
    const { numbers, send, sendPlan, definition } = options;
    const { experts, service } = definition;
    this.statuses = definition.ranks.map(() => undefined);
    this.manager = new IncarnationManager({
      numbers,
      send,
      completionTimeoutMs: INCARNATION_TIMEOUT_MS,
    });
    this.driver = new PlacementDriver({
      numbers,
      send,
      sendPlan,
      decide: placementPolicies.weighed,
      intervalMs: experts.intervalMs,
      prepareTimeoutMs: PREPARE_TIMEOUT_MS,
      stepMargin: STEP_MARGIN,
      limits: {
        ranks: definition.ranks.length,
        slotsPerRank: experts.slotsPerRank,
        bytesPerExpert: experts.bytesPerExpert,
        storeBytesPerSecond: experts.weightBytesPerSecond,
        horizonMs: experts.horizonMs,
        skewWeight: service.skewWeight,
        moveWeight: service.moveWeight,
      },
    });
  }

  /**
   * Chooses an incarnation or advances a placement change, whichever is due.
   *
   * @param currentVersion - Map version of the local rank
   * @param now - Current time in milliseconds
   */
  update(currentVersion: number, now: number): void {
    const { statuses } = this;
    const complete = this.manager.update(statuses, () => this.chooseInitialVersion(now), now);
    if (complete === undefined) {
      this.driver.stop();
      return;
    }
    const knownStatuses = statuses.filter((status) => status !== undefined);
    this.driver.update(complete, this.options.plans.get(currentVersion), knownStatuses, now);
  }

  /** Stops coordinating, because another rank is the coordinator. */
  stop(): void {
    this.driver.stop();
  }

  /**
   * Handles a reply from a rank.
   *
   * @param message - Message of the protocol
   * @param now - Current time in milliseconds
   */
  handle(message: MapMessage, now: number): void {
    this.driver.handle(message, now);
  }

  recordStatus(status: GroupStatus): void {
    this.statuses[status.rank] = status;
  }

  recordIncarnationStart({ rank, process, incarnation }: GroupBodyOf<'begun'>): void {
    const status = this.statuses[rank];
    if (status?.process !== process || incarnation < status.incarnation) return;
    this.statuses[rank] = { ...status, incarnation };
  }

  /**
   * Records the load of a rank; ignored when its dimensions differ from those of the configured model.
   *
   * @param rank - Rank number
   * @param load - Load by layer and expert
   */
  recordLoad(rank: number, load: GroupLoad): void {
    const { layers, expertsPerLayer } = this.options.definition.experts;
    if (load.length !== layers || load.some(({ length }) => length !== expertsPerLayer)) return;
    this.driver.recordLoad(rank, load);
  }

  /**
   * Checks whether a rank has reported that the weights of a map are loaded.
   *
   * @param rank - Rank number
   * @param version - Map version
   * @returns True when it has
   */
  hasLoaded(rank: number, version: number): boolean {
    return this.statuses[rank]?.loaded.includes(version) === true;
  }

  /**
   * Describes the state that only the coordinator has, for the dump.
   *
   * @param plan - Map in use
   * @returns Last change, skew and incarnation by rank
   */
  describe(plan: Plan | undefined): Readonly<Record<string, unknown>> {
    return {
      lastChange: this.driver.lastChange,
      skew: plan === undefined ? undefined : this.driver.measureSkew(plan),
      joined: this.statuses.map((status) => status?.incarnation ?? 0),
    };
  }

  /** Finds the map of the latest incarnation, or creates the first map when the group has none. */
  private chooseInitialVersion(now: number): number | undefined {
    const { plans, definition, numbers, addPlan } = this.options;
    const knownStatuses = this.statuses
      .filter((status) => status !== undefined)
      .filter((status) => status.version > 0)
      .sort((left, right) => right.incarnation - left.incarnation);
    const found = knownStatuses.find((status) => plans.get(status.version) !== undefined);
    if (found !== undefined) return found.version;
    // A rank that has a map sends its content when the link opens.
    if (knownStatuses.length > 0) return undefined;
    const { experts, ranks } = definition;
    const placement = createPlacement(experts.layers, experts.expertsPerLayer, ranks.length);
    const version = numbers.issue(now);
    addPlan({ version, placement });
    return version;
  }
}
