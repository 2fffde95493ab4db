import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { GroupBody, RankControlError } from './types.js';
import { groupBody } from './types.js';

/**
 * Parses the body of a `rankControl` message.
 *
 * @param body - Body as received
 * @param ranks - Ranks of the group
 * @returns The body, or the first wrong field
 */
export function parseBody(body: unknown, ranks: number): Result<GroupBody, RankControlError> {
  const parsed = groupBody.safeParse(body);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const path = issue?.path.map(String).join('.') ?? '';
    return Err({ code: 'invalid_rank_control', path, message: issue?.message ?? 'invalid' });
  }
  if ('rank' in parsed.data && parsed.data.rank >= ranks) {
    const message = `expected a rank below ${ranks}`;
    return Err({ code: 'unknown_rank', path: 'rank', message });
  }
  return Ok(parsed.data);
}
