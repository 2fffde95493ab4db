import { writeFileSync } from 'node:fs';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { readPeakMemory } from './processMemory.js';
import type { UpstreamClientName } from './upstreamClients.js';
import { upstreamClients } from './upstreamClients.js';

/** What the parent asks for. */
export interface ClientRun {
  readonly client: UpstreamClientName;
  readonly calls: number;
  readonly address: string;
}

/** What a run showed. */
export interface ClientMeasurement {
  /** Calls that took the response as an answer. */
  readonly answered: number;
  readonly slowestMs: number;
  /** Growth of the memory at its peak, resident or in use; freed memory stays resident, where a later run may use it. */
  readonly memoryBytes: number;
  /** Longest delay of the event loop. */
  readonly maxDelayMs: number;
  /** Connections that are open some time after the last call. */
  readonly openConnections: number;
}

/** A call that fails may be followed by one that cancels its work, whose time limit is 1 s. */
const MAX_CLOSING_MS = 1_300;
const CLOSING_CHECK_MS = 20;
const NS_PER_MS = 1e6;
const SAMPLE_INTERVAL_MS = 5;

// Runs clients of upstreams in a process of their own, whose memory shows what they hold.
process.on('message', (run: ClientRun) => {
  void measure(run).then((measurement) => process.send?.(measurement));
});
process.on('disconnect', () => process.exit());
process.send?.('ready');

async function measure({ client, calls, address }: ClientRun): Promise<ClientMeasurement> {
  (globalThis as { gc?: () => void }).gc?.();
  // Linux takes the peak of the resident memory anew.
  writeFileSync('/proc/self/clear_refs', '5');
  const memoryBefore = readPeakMemory(process.pid);
  const usedBefore = readUsedMemory();
  let usedBytes = 0;
  const sample = (): void => {
    usedBytes = Math.max(usedBytes, readUsedMemory() - usedBefore);
  };
  const sampler = setInterval(sample, SAMPLE_INTERVAL_MS);
  const delay = monitorEventLoopDelay({ resolution: 5 });
  delay.enable();
  const closes: (() => Promise<void> | void)[] = [];
  const startedAt = performance.now();
  const ends = await Promise.all(
    Array.from({ length: calls }, async () => {
      const isAnswered = await upstreamClients[client].call(address, (close) => closes.push(close));
      return { isAnswered, tookMs: performance.now() - startedAt };
    }),
  );
  sample();
  const closesAt = performance.now() + MAX_CLOSING_MS;
  while (countConnections() > 0 && performance.now() < closesAt) await sleep(CLOSING_CHECK_MS);
  clearInterval(sampler);
  delay.disable();
  const openConnections = countConnections();
  for (const close of closes) await close();
  return {
    answered: ends.filter(({ isAnswered }) => isAnswered).length,
    slowestMs: Math.round(Math.max(...ends.map(({ tookMs }) => tookMs))),
    memoryBytes: Math.max(usedBytes, readPeakMemory(process.pid) - memoryBefore),
    maxDelayMs: Math.round(delay.max / NS_PER_MS),
    openConnections,
  };
}

function readUsedMemory(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

function countConnections(): number {
  return process.getActiveResourcesInfo().filter((name) => name.startsWith('TCPSocket')).length;
}
