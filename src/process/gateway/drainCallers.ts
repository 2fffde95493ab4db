import { setTimeout as sleep } from 'node:timers/promises';
import { acceptPending, pollSocketsOnce } from '../../connection/acceptPending.js';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';
import type { CallerConnections } from './callerConnections.js';
import type { GracefulStop } from './gracefulStop.js';

const POLL_INTERVAL_MS = 25;
/** Time for the final responses to reach the operating system. */
const FLUSH_MS = 200;
/** Time for callers to close their side. */
const CLOSE_MS = 100;

export interface DrainOptions {
  readonly callers: CallerConnections;
  readonly stop: GracefulStop;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly readClock: () => number;
}

/**
 * Closes the listener when the load balancer no longer opens connections, waits until all responses are handed to the
 * operating system and all connections are closed, and at the limit ends what is left: a request that has not run is
 * refused, one that may have run gets a time-out, and a stream that has begun is cut.
 *
 * @param options - Connections, and times of the stop that has begun
 * @returns Number of requests that were unfinished at the limit
 */
export async function drainCallers(options: DrainOptions): Promise<number> {
  const { callers, stop, metrics } = options;
  for (;;) {
    callers.endLate(options.readClock());
    const listeningMs = stop.computeListeningMs(performance.now());
    if (listeningMs === 0) break;
    await sleep(Math.min(POLL_INTERVAL_MS, listeningMs));
  }
  await acceptPending(() => callers.acceptedCount);
  callers.closeListener();
  let isOver: boolean;
  do {
    // When the process was busy or paused, timers run before sockets are read. The same holds for the limit: responses
    // that came before it are delivered during the last interval.
    isOver = stop.isOver(performance.now());
    await pollSocketsOnce();
    const now = options.readClock();
    callers.endLate(now);
    metrics.addCount('stop_connections_closed', callers.closeIdle(now));
    await sleep(POLL_INTERVAL_MS);
  } while (callers.size > 0 && !isOver);
  const unfinished = callers.countUnfinished();
  logUnfinished(options);
  callers.endAll();
  await pollUntil(() => callers.countUnfinished() === 0, FLUSH_MS);
  callers.closeAll();
  await pollUntil(() => callers.size === 0, CLOSE_MS);
  return unfinished;
}

function logUnfinished({ callers, stop, logger, metrics, readClock }: DrainOptions): void {
  const now = readClock();
  for (const { requestId, arrivedAt, phase } of callers.listUnfinished()) {
    metrics.addCount(`stop_unfinished_${phase}`);
    const afterStopMs = Math.round(stop.computeElapsedMs(arrivedAt) ?? 0);
    const fields = { requestId, phase, afterStopMs, ageMs: Math.round(now - arrivedAt) };
    logger.warn(fields, 'request unfinished at the stop');
  }
}

async function pollUntil(isDone: () => boolean, timeoutMs: number): Promise<void> {
  const until = performance.now() + timeoutMs;
  while (!isDone() && performance.now() < until) await sleep(POLL_INTERVAL_MS);
}
