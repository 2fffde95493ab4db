import type { EngineModel } from '../../version/routing/types.js';

/** Weight of a sample above the current value; a stream is late after one long pause, so a rise counts at once. */
const RISE_WEIGHT = 0.2;
const FALL_WEIGHT = 0.05;
/** Weight that remains of a sample at low load when the factor falls, so that a group that was slow recovers. */
const MIN_FALL_SHARE = 0.5;
/** Factor of the initial expert map under skewed demand, without faults. */
const INITIAL_FACTOR = 2;
const INITIAL_DEVIATION = 0.3;
const MAX_FACTOR = 12;
/** Requests that the ranks with most work hold more than the mean, and the prompts read beside them. */
const UNEVEN_REQUESTS = 1;
/** Streams whose gaps make a full sample; a single stream may pause for a reason of its own. */
const FULL_SAMPLE_GAPS = 3;
/** Gaps below this part of the shortest possible pass come from a gateway that catches up after a delay. */
const MIN_PASS_SHARE = 0.5;

/** Requests and ranks of a group during one pass. */
export interface PassLoad {
  readonly running: number;
  readonly ranks: number;
}

/** A completed pass. */
export interface ObservedPass {
  readonly passMs: number;
  readonly forecastMs: number;
}

/**
 * Forecasts how long the next passes of a group take.
 *
 * Handles demand above the capacity of a group under its current expert map, demand that shifts to other experts, and
 * ranks that become slow.
 */
export class PassForecast {
  private factor = INITIAL_FACTOR;
  private deviation = INITIAL_DEVIATION;
  private gaps: number[] = [];
  private lastGapAt = -Infinity;
  private previousSample = 0;
  private lastLoad: PassLoad = { running: 0, ranks: 1 };

  /** Observed over modelled time of the work for requests; 1 is as fast as the model. */
  get currentFactor(): number {
    return this.factor;
  }

  /** Factor that few of the next passes exceed. */
  get cautiousFactor(): number {
    return this.factor + this.deviation;
  }

  /** Time of the last complete pass, 0 before the first. */
  lastPassMs = 0;

  /**
   * Records the time between two events of one stream. All streams of a group see the same passes, so the gaps of one
   * pass make one sample.
   *
   * @param gapMs - Milliseconds between the events
   * @param load - Requests in the group
   * @param engine - Speed of a rank
   * @param now - Current time in milliseconds
   * @returns The previous pass, once the first gap of the next one arrives
   */
  recordGap(
    gapMs: number,
    load: PassLoad,
    engine: EngineModel,
    now: number,
  ): ObservedPass | undefined {
    if (gapMs < engine.stepsPerPass * engine.stepMs * MIN_PASS_SHARE) return undefined;
    const belongsToNextPass = now - gapMs / 2 > this.lastGapAt;
    const observed = belongsToNextPass && this.gaps.length > 0 ? this.closePass(engine) : undefined;
    this.gaps.push(gapMs);
    this.lastGapAt = now;
    this.lastLoad = load;
    return observed;
  }

  /**
   * Forecasts the time of a pass that few of the next passes exceed.
   *
   * @param load - Requests in the group
   * @param engine - Speed of a rank
   * @returns Milliseconds
   */
  forecastPassMs(load: PassLoad, engine: EngineModel): number {
    return engine.stepsPerPass * engine.stepMs + this.cautiousFactor * computeWorkMs(load, engine);
  }

  /** Forgets what was observed, as for a group that re-forms with its initial map. */
  reset(): void {
    this.factor = Math.max(this.factor, INITIAL_FACTOR);
    this.deviation = Math.max(this.deviation, INITIAL_DEVIATION);
    this.gaps = [];
  }

  private closePass(engine: EngineModel): ObservedPass {
    const gaps = this.gaps.sort((left, right) => left - right);
    this.gaps = [];
    const passMs = gaps[Math.floor(gaps.length / 2)] ?? 0;
    const load = this.lastLoad;
    const forecastMs = this.forecastPassMs(load, engine);
    const workMs = computeWorkMs(load, engine);
    const sample = (passMs - engine.stepsPerPass * engine.stepMs) / workMs;
    const fullLoad = { running: engine.slots * load.ranks, ranks: load.ranks };
    const gapsShare = Math.min(1, gaps.length / Math.min(FULL_SAMPLE_GAPS, load.ranks));
    this.addSample(
      Math.min(Math.max(sample, 0), MAX_FACTOR),
      workMs / computeWorkMs(fullLoad, engine),
      gapsShare,
    );
    this.lastPassMs = passMs;
    return { passMs, forecastMs };
  }

  /** A sample at low load says little about high load, as errors of the pass time are large beside the work. */
  private addSample(sample: number, loadShare: number, gapsShare: number): void {
    // One long pass, as at a change of the map, is not the pace of the next ones.
    const confirmed = sample > this.factor ? Math.min(sample, this.previousSample) : sample;
    this.previousSample = sample;
    const difference = confirmed - this.factor;
    const fallWeight = FALL_WEIGHT * Math.max(loadShare, MIN_FALL_SHARE) * gapsShare;
    const riseWeight = RISE_WEIGHT * Math.min(loadShare, 1) * gapsShare;
    const deviationChange = Math.abs(difference) - this.deviation;
    this.deviation += (deviationChange > 0 ? riseWeight : fallWeight) * deviationChange;
    this.factor += (difference > 0 ? riseWeight : fallWeight) * difference;
  }
}

/**
 * Computes the modelled time that a group spends on requests in one pass, in addition to its steps.
 *
 * @param load - Requests in the group
 * @param engine - Speed of a rank
 * @returns Milliseconds
 */
export function computeWorkMs({ running, ranks }: PassLoad, engine: EngineModel): number {
  return engine.stepsPerPass * engine.stepMsPerRequest * (running / ranks + UNEVEN_REQUESTS);
}

/**
 * Computes how many requests a group may run with a time for each pass.
 *
 * @param passMs - Longest time of a pass
 * @param factor - Observed over modelled time of the work for requests
 * @param ranks - Ranks of the group
 * @param engine - Speed of a rank
 * @returns Requests, also fractional or negative
 */
export function computeRequests(
  passMs: number,
  factor: number,
  ranks: number,
  engine: EngineModel,
): number {
  const workMs = (passMs - engine.stepsPerPass * engine.stepMs) / factor;
  const perRank = workMs / (engine.stepsPerPass * engine.stepMsPerRequest) - UNEVEN_REQUESTS;
  return perRank * ranks;
}
