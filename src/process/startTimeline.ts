import type { Logger } from './logging.js';
import type { Metrics } from './metrics.js';

/** Steps from the start of a process to its service, in the usual order. */
export const startSteps = [
  'listening',
  'configuration',
  'upstreams',
  'first_peer',
  'groups',
  'first_response',
] as const;

export type StartStep = (typeof startSteps)[number];

/** Time that a process has used since its start. */
export interface ProcessTime {
  readonly wallMs: number;
  readonly processorMs: number;
}

/** Records when a process first reached each step of its start, and logs all of them once it serves. */
export class StartTimeline {
  private readonly reached = new Map<StartStep, ProcessTime>();
  private hasCompleted = false;

  /**
   * @param metrics - Receive `start_STEP_ms` and `start_STEP_processor_ms`
   * @param logger - Receives one line with all steps
   */
  constructor(
    private readonly metrics: Metrics,
    private readonly logger: Logger,
  ) {}

  /** Whether all steps have been logged. */
  get isComplete(): boolean {
    return this.hasCompleted;
  }

  /**
   * Records the steps that have been reached, with the time at which this was first seen.
   *
   * @param steps - Whether each step is reached; left out if it is not due yet
   * @param readTime - Time since the start of the process; read only if there is a new step
   */
  observe(
    steps: Readonly<Partial<Record<StartStep, boolean>>>,
    readTime: () => ProcessTime = readProcessTime,
  ): void {
    if (this.hasCompleted) return;
    for (const step of startSteps) {
      if (steps[step] !== true || this.reached.has(step)) continue;
      const { wallMs, processorMs } = readTime();
      const time = { wallMs: Math.round(wallMs), processorMs: Math.round(processorMs) };
      this.reached.set(step, time);
      this.metrics.addCount(`start_${step}_ms`, time.wallMs);
      this.metrics.addCount(`start_${step}_processor_ms`, time.processorMs);
    }
    // A gateway without others has no peer, so that step is not waited for.
    const isServing = startSteps.every((step) => step === 'first_peer' || this.reached.has(step));
    if (!isServing) return;
    this.hasCompleted = true;
    this.logger.info({ steps: JSON.stringify(this.describe()) }, 'start complete');
  }

  /** @returns The steps that have been reached */
  describe(): Partial<Record<StartStep, ProcessTime>> {
    return Object.fromEntries(this.reached);
  }
}

function readProcessTime(): ProcessTime {
  const { user, system } = process.cpuUsage();
  return { wallMs: performance.now(), processorMs: (user + system) / 1000 };
}
