import type { EngineModel } from '../../version/routing/types.js';
import type { PassLoad } from './passForecast.js';

/** Passes after which a prompt is taken as read: it waits for one and is read in the next. */
const PASSES_UNTIL_READ = 2;

interface SentPrompt {
  readonly sentAt: number;
  readonly tokens: number;
}

/** Prompts that this gateway has recently sent to a group. */
export class UnreadPrompts {
  private sent: SentPrompt[] = [];

  /**
   * Records a prompt.
   *
   * @param tokens - Length of the prompt
   * @param now - Current time in milliseconds
   */
  add(tokens: number, now: number): void {
    if (tokens > 0) this.sent.push({ sentAt: now, tokens });
  }

  /**
   * Sums the prompts that the group has not read yet.
   *
   * @param passMs - Time of a pass
   * @param now - Current time in milliseconds
   * @returns Tokens
   */
  sumTokens(passMs: number, now: number): number {
    const since = now - PASSES_UNTIL_READ * passMs;
    this.sent = this.sent.filter(({ sentAt }) => sentAt > since);
    let tokens = 0;
    for (const prompt of this.sent) tokens += prompt.tokens;
    return tokens;
  }
}

/**
 * Computes how much longer a pass takes for prompts beyond those that are read in every pass.
 *
 * @param tokens - Tokens to read
 * @param load - Requests in the group
 * @param factor - Observed over modelled time of the work for requests
 * @param engine - Speed of a rank
 * @returns Milliseconds
 */
export function computeReadMs(
  tokens: number,
  load: PassLoad,
  factor: number,
  engine: EngineModel,
): number {
  const passesPerRequest = Math.max(engine.typicalOutputTokens / engine.stepsPerPass, 1);
  const usualTokens =
    (PASSES_UNTIL_READ * load.running * engine.typicalPromptTokens) / passesPerRequest;
  const excess = Math.max(0, tokens - usualTokens);
  // Each of the passes until they are read takes an equal part.
  const perRank = excess / PASSES_UNTIL_READ / load.ranks;
  return (factor * perRank) / engine.prefillTokensPerMs;
}
