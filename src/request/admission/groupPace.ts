import type { EngineModel } from '../../version/routing/types.js';

/** Share of the allowed pause that a pass may take; the rest covers the way to the caller and uneven passes. */
const GAP_USE = 0.85;
/** Weight of one observed pass; about ten passes replace the average. */
const SMOOTHING = 0.12;
/** A service is never closed entirely: with one request an engine still proves its speed. */
const MIN_PLACES = 2;
/** Pace before any pass was seen: map 0 of a skewed demand, as measured on calm days. */
const FIRST_PACE = 2;
const MAX_PACE = 12;

/**
 * How much slower than its model an engine makes passes, and how many requests it may hold so that the pauses between
 * events stay within their limit.
 *
 * Answers load that grows beyond what a group carries under its present expert map, and engines that turn slow.
 */
export class GroupPace {
  private pace = FIRST_PACE;

  /**
   * Notes the time between two events of one stream.
   *
   * @param gapMs - Milliseconds between the events
   * @param running - Requests that the engine held meanwhile
   * @param engine - Speed of the engine
   */
  notePass(gapMs: number, running: number, engine: EngineModel): void {
    const ratio = Math.min(gapMs / computePassMs(running, engine), MAX_PACE);
    this.pace += SMOOTHING * (ratio - this.pace);
  }

  /** Observed pass time over modelled pass time; 1 is as fast as the model. */
  get currentPace(): number {
    return this.pace;
  }

  /**
   * Computes how many requests the engine may hold.
   *
   * @param maxGapMs - Longest pause between events that is on time
   * @param engine - Speed of the engine
   * @returns At least 2, at most the engine's slots
   */
  computePlaces(maxGapMs: number, engine: EngineModel): number {
    const passMs = (maxGapMs * GAP_USE) / this.pace;
    const places = (passMs / engine.stepsPerPass - engine.stepMs) / engine.stepMsPerRequest;
    return Math.max(MIN_PLACES, Math.min(engine.slots, Math.floor(places)));
  }
}

/**
 * Computes the time of one pass with perfectly balanced experts.
 *
 * @param running - Requests that write
 * @param engine - Speed of the engine
 * @returns Milliseconds
 */
export function computePassMs(running: number, engine: EngineModel): number {
  return engine.stepsPerPass * (engine.stepMs + engine.stepMsPerRequest * Math.max(running, 1));
}
