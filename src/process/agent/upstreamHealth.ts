import { setTimeout as sleep } from 'node:timers/promises';
import type { ProgressMonitor } from './progressMonitor.js';
import type { UpstreamAdapter } from './upstreams/types.js';

const POLL_MS = 250;
const LOAD_READ_TIMEOUT_MS = 700;
const PROBE_TIMEOUT_MS = 1_000;

export interface HealthCheckOptions {
  readonly monitor: ProgressMonitor;
  readonly getAdapter: () => UpstreamAdapter | undefined;
  readonly readClock: () => number;
  readonly onAcceptingChange: () => void;
  readonly signal: AbortSignal;
}

/**
 * Polls the load counters of the upstream, and probes it while it does not accept work, until the signal is aborted.
 *
 * @param options - Monitor, adapter, listener and signal
 */
export async function runHealthChecks(options: HealthCheckOptions): Promise<void> {
  const { signal } = options;
  while (!signal.aborted) {
    const adapter = options.getAdapter();
    if (adapter !== undefined) await checkUpstreamHealth(adapter, options);
    await sleep(POLL_MS, undefined, { signal }).catch(() => undefined);
  }
}

/**
 * Reads the load counters once, and probes the upstream if it does not accept work.
 *
 * @param adapter - Adapter of the upstream
 * @param options - Monitor and listener
 */
export async function checkUpstreamHealth(
  adapter: UpstreamAdapter,
  options: Omit<HealthCheckOptions, 'signal'>,
): Promise<void> {
  const { monitor, readClock, onAcceptingChange } = options;
  const wasAccepting = monitor.accepting;
  const load = await adapter.readLoad(LOAD_READ_TIMEOUT_MS);
  if (load === undefined) monitor.recordUnavailable(readClock());
  else monitor.recordLoad(load, readClock());
  if (monitor.accepting !== wasAccepting) onAcceptingChange();
  if (load === undefined || monitor.accepting) return;
  const probeSucceeded = await adapter.prove(PROBE_TIMEOUT_MS);
  if (!probeSucceeded) return;
  monitor.recordProgress(readClock());
  onAcceptingChange();
}
