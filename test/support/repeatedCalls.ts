import { finished } from 'node:stream/promises';
import { Client } from 'undici';
import { waitMs } from './waiting.js';

/** Time limit of all requests. */
export const DEADLINE_MS = 3_000;
/** Time after the limit within which a request must have ended; see the rule of late answers. */
const MAX_LATE_MS = 500;
/** Time after the limit at which a caller gives up. */
const GIVE_UP_MS = 1_500;
/** Pause of a caller before its next request. */
const PAUSE_MS = 20;

/** How the requests of some callers ended. */
export interface CallSummary {
  answered: number;
  /** Requests with another status than 200. */
  failed: number;
  /** Requests whose connection ended before the end of the response. */
  cut: number;
  /** Requests that had not ended `MAX_LATE_MS` after their time limit. */
  late: number;
  slowestMs: number;
  readonly statuses: Record<string, number>;
  /** Ids of the requests in `cut`. */
  readonly cutIds: string[];
}

/**
 * Creates a summary without requests.
 *
 * @returns The summary
 */
export function createSummary(): CallSummary {
  return { answered: 0, failed: 0, cut: 0, late: 0, slowestMs: 0, statuses: {}, cutIds: [] };
}

export interface CallerOptions {
  readonly path: string;
  readonly key: string;
  readonly name: string;
}

/**
 * Sends one request after the other on a kept connection.
 *
 * @param url - Base URL of the gateway
 * @param mayGoOn - Whether to send a further request
 * @param summary - Counts how the requests end
 * @param options - Path, key and name of the caller
 */
export async function callRepeatedly(
  url: string,
  mayGoOn: () => boolean,
  summary: CallSummary,
  { path, key, name }: CallerOptions,
): Promise<void> {
  const client = new Client(url, { pipelining: 1 });
  for (let index = 0; mayGoOn(); index += 1) {
    const startedAt = performance.now();
    const requestId = `${name}-${index}`;
    const status = await call(client, path, {
      host: 'app.example',
      'request-id': requestId,
      'deadline-ms': String(DEADLINE_MS),
      'x-api-key': key,
    });
    const tookMs = performance.now() - startedAt;
    summary.statuses[status] = (summary.statuses[status] ?? 0) + 1;
    if (status === '200') summary.answered += 1;
    else if (/^\d+$/.test(status)) summary.failed += 1;
    else {
      summary.cut += 1;
      summary.cutIds.push(requestId);
    }
    if (tookMs > DEADLINE_MS + MAX_LATE_MS) summary.late += 1;
    summary.slowestMs = Math.max(summary.slowestMs, tookMs);
    await waitMs(PAUSE_MS);
  }
  await client.destroy();
}

/** Status of a complete response, or why there is none. */
async function call(
  client: Client,
  path: string,
  headers: Record<string, string>,
): Promise<string> {
  try {
    const isPost = !path.startsWith('/lookup/') && !path.startsWith('/ordinary/');
    const response = await client.request({
      path,
      method: isPost ? 'POST' : 'GET',
      headers,
      body: isPost ? 'question' : null,
      signal: AbortSignal.timeout(DEADLINE_MS + GIVE_UP_MS),
    });
    // Also a body that is not kept has to end.
    const status = String(response.statusCode);
    return await finished(response.body.resume()).then(() => status);
  } catch (error) {
    return error instanceof Error ? error.name : String(error);
  }
}
