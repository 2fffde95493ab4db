import seedrandom from 'seedrandom';
import type { FaultyWorkers } from '../standins/faultyWorkers.js';
import type { SentRequest } from './mixCheck.js';
import { checkMix } from './mixCheck.js';
import { formatRequest, RawCaller } from './rawCaller.js';
import { parseResponses } from './responseParser.js';
import { waitMs, waitUntil } from './waiting.js';

export interface MixResult {
  /** Findings with request and faults of its runs. */
  readonly findings: string[];
  /** Counts by status and end of the response. */
  readonly counts: Record<string, number>;
}

const paths = ['/pay/a', '/lookup/a', '/chat/a'] as const;
const MAX_ROUND_REQUESTS = 3;
const MAX_STAY_MS = 60;
const RESPONSE_TIMEOUT_MS = 3_500;

/** How a caller uses its connection in a round, and its share of the rounds. */
const manners = ['kept', 'kept', 'pipelined', 'new', 'leaving', 'halfClosed'] as const;

/**
 * Runs one caller that sends rounds of requests and checks all responses.
 *
 * @param options - Gateway, seed and number of rounds
 * @param result - Findings and counts, added to by all callers
 */
export async function runMixCaller(
  options: { url: string; seed: string; name: string; rounds: number; workers: FaultyWorkers },
  result: MixResult,
): Promise<void> {
  const random = seedrandom(`${options.seed}/${options.name}`);
  let caller = new RawCaller(options.url);
  let sent: SentRequest[] = [];
  const finishConnection = (): void => {
    checkConnection(caller, sent, options.workers, result);
    caller.close();
    caller = new RawCaller(options.url);
    sent = [];
  };
  for (let round = 0; round < options.rounds; round += 1) {
    const manner = manners[Math.floor(random() * manners.length)] ?? 'kept';
    if (manner === 'new' || caller.end !== 'open') finishConnection();
    const count = manner === 'pipelined' ? 2 + Math.floor(random() * (MAX_ROUND_REQUESTS - 1)) : 1;
    for (let index = 0; index < count; index += 1) {
      const path = paths[Math.floor(random() * paths.length)] ?? '/pay/a';
      const requestId = `r-${options.seed}-${options.name}-${round}-${index}`;
      sent.push({ requestId, path });
      caller.send(
        formatRequest(path, requestId, path === '/lookup/a' ? undefined : `ask ${requestId}`),
      );
    }
    if (manner === 'halfClosed') caller.closeSending();
    if (manner === 'leaving') {
      await waitMs(Math.floor(random() * MAX_STAY_MS));
      finishConnection();
      continue;
    }
    await waitUntil('responses', () => isAnswered(caller, sent.length), {
      timeoutMs: RESPONSE_TIMEOUT_MS,
      intervalMs: 5,
    }).catch(() => undefined);
  }
  finishConnection();
  caller.close();
}

function isAnswered(caller: RawCaller, count: number): boolean {
  if (caller.end !== 'open') return true;
  const { responses } = parseResponses(caller.received, false);
  return responses.filter(({ end }) => end === 'complete').length >= count;
}

function checkConnection(
  caller: RawCaller,
  sent: readonly SentRequest[],
  { runs }: FaultyWorkers,
  { findings, counts }: MixResult,
): void {
  const { responses, surplus } = parseResponses(caller.received, caller.end === 'closed');
  if (surplus !== '') findings.push(`bytes that are no response: ${surplus.slice(0, 80)}`);
  if (responses.length > sent.length) findings.push('a response that no request is waiting for');
  for (const [index, response] of responses.entries()) {
    const request = sent[index];
    if (request === undefined) break;
    const runsOfRequest = runs.get(request.requestId) ?? [];
    const finding = checkMix(request, response, runsOfRequest);
    const faults = runsOfRequest.map(({ fault }) => fault).join(', ');
    if (finding !== undefined) findings.push(`${request.path} ${finding} (${faults})`);
    const key = `${response.status} ${response.end}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  const lost = sent.length - responses.length;
  if (lost > 0) counts.none = (counts.none ?? 0) + lost;
}
