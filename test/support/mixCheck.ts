import type { FaultyRun } from '../standins/faultyWorkers.js';
import { eventsPerStream, formatEvent } from '../standins/platformWorker.js';
import type { ParsedResponse } from './responseParser.js';

const completeStream = Array.from({ length: eventsPerStream }, (_, index) =>
  formatEvent(index + 1),
).join('');
const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** A request as its caller sent it. */
export interface SentRequest {
  readonly requestId: string;
  readonly path: string;
}

/**
 * Checks a response against what the workers have answered.
 *
 * @param sent - The request that the response is due to
 * @param response - Response as received
 * @param runs - Runs of the request
 * @returns What is wrong with the response, or undefined
 */
export function checkMix(
  sent: SentRequest,
  response: ParsedResponse,
  runs: readonly FaultyRun[],
): string | undefined {
  const { status, requestId, seal, body, end } = response;
  if (requestId !== sent.requestId) return `id of another request: ${requestId ?? 'none'}`;
  if (seal === undefined) return isSuccess(status) ? 'success without signature' : undefined;
  const candidates = runs.filter((run) => run.status === status);
  if (candidates.length === 0) return `signed status ${status} that no worker gave`;
  if (isSuccess(status) && seal !== `seal.${sent.requestId}`) return 'signature of another request';
  const isStream = isSuccess(status) && sent.path.startsWith('/chat/');
  const bodies = isStream ? [completeStream] : candidates.map((run) => run.body);
  if (!bodies.some((whole) => whole.startsWith(body))) return 'body that no worker gave';
  const isWhole = bodies.includes(body);
  if (isWhole || end === 'cut') return undefined;
  if (runs.some(({ cutBody }) => isCutBody(body, cutBody, isStream))) return undefined;
  return `${end} response with ${body.length} bytes of ${bodies[0]?.length ?? 0}`;
}

/** Whether a body is exactly what a worker ended early and in order; a stream may have begun at other workers. */
function isCutBody(body: string, cutBody: string | undefined, isStream: boolean): boolean {
  if (cutBody === undefined) return false;
  return isStream ? body.endsWith(cutBody) : body === cutBody;
}
