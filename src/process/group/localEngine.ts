import type { Plan, PlanStore } from '../../version/expertMap/planStore.js';
import type { RankParticipant } from '../../version/expertMap/rankParticipant.js';
import type { FencingToken } from '../../version/expertMap/types.js';
import type { EngineClient } from './engineClient.js';

/** Steps that the engine may run ahead of the last read; covers the interval between two reads. */
const STEP_WINDOW = 64;
/** Interval at which an unchanged permission is sent again, because it may have been lost. */
const RESEND_INTERVAL_MS = 500;

/** Loaded weights and permitted steps of the local engine. */
export class LocalEngine {
  private readonly loaded = new Set<number>();
  private readonly loading = new Set<number>();
  private permittedAt = 0;

  constructor(
    readonly client: EngineClient,
    private readonly rank: number,
    private readonly plans: PlanStore,
  ) {}

  /** Map versions whose weights are loaded and whose content is still known. */
  get loadedVersions(): number[] {
    return [...this.loaded].filter((version) => this.plans.get(version) !== undefined);
  }

  isLoaded(version: number): boolean {
    return this.loaded.has(version);
  }

  /**
   * Loads the weights of a map version unless they are loaded or loading.
   *
   * @param plan - Version and content
   * @param token - Fencing token of the command
   */
  async load(plan: Plan, token: FencingToken): Promise<void> {
    const { version, placement } = plan;
    if (this.loaded.has(version) || this.loading.has(version)) return;
    this.loading.add(version);
    const experts = placement.map((layer) => layer[this.rank] ?? []);
    if (await this.client.loadExperts(version, experts, token)) this.loaded.add(version);
    this.loading.delete(version);
  }

  /**
   * Permits the steps that the participant allows, half a window at a time.
   *
   * @param participant - Participant of the local rank
   * @param now - Current time in milliseconds
   */
  permitSteps(participant: RankParticipant, now: number): void {
    const { step } = this.client;
    const before = participant.step;
    if (step !== undefined && before < step + STEP_WINDOW / 2) {
      while (participant.step < step + STEP_WINDOW) {
        if (participant.openStep(now) === undefined) break;
      }
    }
    if (participant.stopReason !== undefined || participant.incarnation === 0) return;
    if (participant.step === before && now - this.permittedAt < RESEND_INTERVAL_MS) return;
    this.permittedAt = now;
    const { incarnation, fencing } = participant;
    this.client.permitSteps(participant.step, { incarnation, fencing });
  }

  /** Clears the loaded versions, because the engine may have been restarted. */
  reset(): void {
    this.loaded.clear();
    this.client.reset();
  }
}
