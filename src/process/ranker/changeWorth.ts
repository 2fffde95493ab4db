/** A change that saves a smaller share of the pass time is not worth its orders and the next change that it delays. */
const MIN_SAVED_SHARE = 0.03;
/** Share that a change has to save in addition while passes take no part of the allowed gap. */
const SAVED_SHARE_AT_REST = 0.1;
/** Part of the allowed gap that is left to passes; the rest covers their variation and transit to the caller. */
const PASS_TIME_SHARE = 0.85;

/** What a planned change saves, and how long passes take at present. */
export interface ChangeBenefit {
  /** Pass time saved until the demand shifts, in milliseconds. */
  readonly savedMs: number;
  /** Time for which the demand stays similar. */
  readonly persistenceMs: number;
  /** Mean time of a pass; undefined until measured. */
  readonly passMs: number | undefined;
  /** Longest gap between events that callers allow; undefined if none states one. */
  readonly maxGapMs: number | undefined;
}

/**
 * Decides whether a change is worth its costs to callers.
 *
 * Handles small shifts of demand under low load: shorter passes serve callers better only as far as passes come near the
 * gap that callers allow, while the copies of each change lengthen passes and load the links.
 *
 * @param benefit - Expected saving and present passes
 * @returns True if the change should be made
 */
export function isChangeWorthwhile(benefit: ChangeBenefit): boolean {
  const { savedMs, persistenceMs, passMs, maxGapMs } = benefit;
  const used =
    passMs === undefined || maxGapMs === undefined ? 1 : passMs / (maxGapMs * PASS_TIME_SHARE);
  const slack = Math.max(0, 1 - used);
  return savedMs >= persistenceMs * (MIN_SAVED_SHARE + SAVED_SHARE_AT_REST * slack);
}
