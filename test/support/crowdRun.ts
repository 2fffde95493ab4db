import type { Crowd, CrowdKind, CrowdTarget } from './callerCrowds.js';
import { startCrowd } from './callerCrowds.js';
import { countDescriptors, readPeakMemory } from './processMemory.js';
import { waitMs, waitUntil } from './waiting.js';

/** Memory of the smallest host on which a gateway runs. */
export const MAX_MEMORY_BYTES = 250 * 1024 * 1024;
/** Descriptors of the host in these tests. */
export const MAX_DESCRIPTORS = 400;
/** Heap limit of the deployment. */
export const HEAP_MB = 128;

/** Time in which a crowd sends what the process takes. */
const SENDING_MS = 4_000;
/** Not a bound on the process: a test has to end when connections stay open for good. */
const CLOSE_TIMEOUT_MS = 20_000;

/** Process that a crowd calls. */
export interface CrowdedProcess {
  readonly pid: number;
  isRunning(): boolean;
  readonly target: CrowdTarget;
  /** Sends one request within all limits as a workspace that is not in the crowd, and returns its status. */
  callOrdinary(): Promise<number>;
}

/** What a crowd has led to, with its connections still open at the callers. */
export interface CrowdOutcome {
  readonly isRunning: boolean;
  readonly isMemoryBounded: boolean;
  readonly areDescriptorsBounded: boolean;
  /** Whether the connections that have to be closed are closed. */
  readonly areClosed: boolean;
  /** Status of one ordinary request after the crowd has sent. */
  readonly ordinaryStatus: number | string;
}

/** Outcome that every crowd must have. */
export const boundedOutcome: CrowdOutcome = {
  isRunning: true,
  isMemoryBounded: true,
  areDescriptorsBounded: true,
  areClosed: true,
  ordinaryStatus: 200,
};

/**
 * Lets crowds call a process, and sends an ordinary request while their connections are still open.
 *
 * @param kinds - Crowds that call at the same time
 * @param called - Process that they call
 * @param report - Receives the measured values
 * @returns Whether the process has kept its bounds
 */
export async function runCrowds(
  kinds: readonly CrowdKind[],
  called: CrowdedProcess,
  report: (text: string) => void,
): Promise<CrowdOutcome> {
  const crowds = kinds.map((kind) => startCrowd(kind, called.target));
  try {
    await waitMs(SENDING_MS);
    const areClosed = await waitUntilClosed(kinds, crowds, called);
    const ordinaryStatus = await callOrdinary(called);
    const isRunning = called.isRunning();
    const memory = isRunning ? readPeakMemory(called.pid) : Infinity;
    const descriptors = isRunning ? countDescriptors(called.pid) : Infinity;
    report(`${Math.round(memory / 1024 / 1024)} MB, ${descriptors} descriptors`);
    return {
      isRunning,
      isMemoryBounded: memory < MAX_MEMORY_BYTES,
      areDescriptorsBounded: descriptors < MAX_DESCRIPTORS,
      areClosed,
      ordinaryStatus,
    };
  } finally {
    for (const crowd of crowds) crowd.close();
  }
}

async function waitUntilClosed(
  kinds: readonly CrowdKind[],
  crowds: readonly Crowd[],
  called: CrowdedProcess,
): Promise<boolean> {
  const isClosed = (): boolean =>
    crowds.every((crowd, index) => kinds[index]?.isClosed !== true || crowd.countOpen() === 0);
  const isOver = (): boolean => !called.isRunning() || isClosed();
  return waitUntil('crowd closed', isOver, { timeoutMs: CLOSE_TIMEOUT_MS }).then(
    isClosed,
    () => false,
  );
}

/** Status of an ordinary request, or why it was not answered. */
async function callOrdinary(called: CrowdedProcess): Promise<number | string> {
  return called.callOrdinary().catch((error: unknown) => String(error));
}
