import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { ClosedLoopResult } from './loadGenerator.js';
import type { LoadPlan } from './loadWorker.js';

const SCRIPT = fileURLToPath(new URL('./loadWorker.ts', import.meta.url));

/** Totals of all load processes, and the growth of a gauge during the measurement. */
export interface LoadResult {
  readonly completed: number;
  readonly failed: number;
  readonly work: number;
  /** Sum of the throughputs of the processes. */
  readonly workPerSecond: number;
  readonly completedPerSecond: number;
  /** Growth of the gauge from the first start to the last end of the measurement. */
  readonly gaugeDelta: number;
  readonly seconds: number;
}

/**
 * Runs a plan in several processes concurrently, so that load generation is not the bottleneck.
 *
 * @param plan - Load of each process
 * @param processes - Number of processes
 * @param readGauge - Read at the start and end of the measurement, for example CPU time
 * @returns Totals of all processes
 */
export async function runLoadProcesses(
  plan: LoadPlan,
  processes: number,
  readGauge: () => number,
): Promise<LoadResult> {
  let before: number | undefined;
  let startedAt = 0;
  const recordStart = (): void => {
    if (before !== undefined) return;
    before = readGauge();
    startedAt = performance.now();
  };
  const results = await Promise.all(
    Array.from({ length: processes }, () => runLoadProcess(plan, recordStart)),
  );
  const sum = (pick: (result: ClosedLoopResult) => number): number =>
    results.reduce((total, result) => total + pick(result), 0);
  return {
    completed: sum(({ completed }) => completed),
    failed: sum(({ failed }) => failed),
    work: sum(({ work }) => work),
    workPerSecond: sum(({ work, seconds }) => work / seconds),
    completedPerSecond: sum(({ completed, seconds }) => completed / seconds),
    gaugeDelta: readGauge() - (before ?? 0),
    seconds: (performance.now() - startedAt) / 1000,
  };
}

function runLoadProcess(plan: LoadPlan, onMeasuring: () => void): Promise<ClosedLoopResult> {
  return new Promise((resolve, reject) => {
    const child = fork(SCRIPT, { execArgv: ['--import', 'tsx'] });
    let result: ClosedLoopResult | undefined;
    child.on('message', (message: { measuring?: true; result?: ClosedLoopResult }) => {
      if (message.measuring === true) onMeasuring();
      result = message.result ?? result;
    });
    child.once('error', reject);
    child.once('exit', (code) => {
      if (result === undefined) reject(new Error(`load process exited with ${code ?? 'a signal'}`));
      else resolve(result);
    });
    child.send(plan);
  });
}
