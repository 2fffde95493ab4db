import type { IntervalHistogram } from 'node:perf_hooks';
import { monitorEventLoopDelay } from 'node:perf_hooks';

const RESOLUTION_MS = 20;
const NANOSECONDS_PER_MS = 1e6;

/** Memory of a process, and how late its event loop is. */
export class ProcessUsage {
  private readonly delay: IntervalHistogram = monitorEventLoopDelay({ resolution: RESOLUTION_MS });

  constructor() {
    this.delay.enable();
  }

  /** Describes the use: bytes, and the delay of the event loop since the start of the process in milliseconds. */
  describe(): Readonly<Record<string, number>> {
    const { rss, heapUsed, external, arrayBuffers } = process.memoryUsage();
    const toMs = (nanoseconds: number): number => Math.round(nanoseconds / NANOSECONDS_PER_MS);
    return {
      rss,
      heapUsed,
      external,
      arrayBuffers,
      eventLoopP50Ms: toMs(this.delay.percentile(50)),
      eventLoopP99Ms: toMs(this.delay.percentile(99)),
      eventLoopMaxMs: toMs(this.delay.max),
    };
  }

  /** Ends the measurement. */
  close(): void {
    this.delay.disable();
  }
}
