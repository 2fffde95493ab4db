import type { EngineModel } from '../../version/routing/types.js';

/** Share of the allowed gap available to a pass; the rest covers transit to the caller and variation between passes. */
const PASS_TIME_SHARE = 0.85;
/** Weight of one observation in the moving average; about ten passes replace the previous value. */
const SMOOTHING_FACTOR = 0.12;
/** Keeps some requests in flight at every engine, so that its pace continues to be observed. */
const MIN_CONCURRENCY = 2;
/** Pace assumed before the first observation: that of expert map 0 under skewed demand, without faults. */
const INITIAL_PACE = 2;
const MAX_PACE = 12;

/**
 * Estimates how much slower than its model an engine completes passes, and derives the number of concurrent requests
 * that keeps the gaps between events within their limit.
 *
 * Handles demand above the capacity of a group under its current expert map, and engines that become slow.
 */
export class PaceEstimator {
  private pace = INITIAL_PACE;

  /**
   * Records the time between two events of one stream.
   *
   * @param gapMs - Milliseconds between the events
   * @param running - Requests in flight at the engine during the gap
   * @param engine - Speed of the engine
   */
  recordPass(gapMs: number, running: number, engine: EngineModel): void {
    const ratio = Math.min(gapMs / computePassMs(running, engine), MAX_PACE);
    this.pace += SMOOTHING_FACTOR * (ratio - this.pace);
  }

  /** Moving average of observed over modelled pass time; 1 is as fast as the model. */
  get currentPace(): number {
    return this.pace;
  }

  /**
   * Computes how many requests the engine may run concurrently.
   *
   * @param maxGapMs - Longest allowed gap between events
   * @param engine - Speed of the engine
   * @returns At least 2, at most the engine's slots
   */
  computeConcurrencyLimit(maxGapMs: number, engine: EngineModel): number {
    const passMs = (maxGapMs * PASS_TIME_SHARE) / this.pace;
    const concurrency = (passMs / engine.stepsPerPass - engine.stepMs) / engine.stepMsPerRequest;
    return Math.max(MIN_CONCURRENCY, Math.min(engine.slots, Math.floor(concurrency)));
  }
}

/**
 * Computes the modelled time of one pass with perfectly balanced experts.
 *
 * @param running - Requests that generate tokens
 * @param engine - Speed of the engine
 * @returns Milliseconds
 */
export function computePassMs(running: number, engine: EngineModel): number {
  return engine.stepsPerPass * (engine.stepMs + engine.stepMsPerRequest * Math.max(running, 1));
}

/**
 * Computes how long a typical request takes at an engine whose passes take as long as the gaps of streams allow.
 *
 * @param maxGapMs - Longest allowed gap between events; `Infinity` if none is stated
 * @param engine - Speed of the engine
 * @returns Milliseconds
 */
export function computeTypicalRunMs(maxGapMs: number, engine: EngineModel): number {
  const passes = Math.ceil(engine.typicalOutputTokens / engine.stepsPerPass);
  const fullPassMs = computePassMs(engine.slots, engine) * INITIAL_PACE;
  return passes * Math.min(maxGapMs, fullPassMs);
}
