const SMOOTHING = 0.2;
const MAX_MEASUREMENT_AGE_MS = 10_000;
/**
 * Fraction of the estimated run time that must fit into the deadline. Below 1, because estimates from other requests
 * are coarse.
 */
const REQUIRED_RUN_TIME_FRACTION = 0.8;

interface Measurement {
  unitsPerMs: number;
  measuredAt: number;
}

/** Measures the throughput of single requests by workspace, because workspaces differ in their mix of prompts. */
export class RequestThroughput {
  private readonly measurements = new Map<string, Measurement>();

  /**
   * Records a completed request.
   *
   * @param workspace - Workspace
   * @param work - Work units done
   * @param durationMs - Time at the upstream
   * @param now - Milliseconds
   */
  record(workspace: string, work: number, durationMs: number, now: number): void {
    const measured = work / Math.max(durationMs, 1);
    const known = this.findCurrent(workspace, now) ?? measured;
    const unitsPerMs = known + SMOOTHING * (measured - known);
    this.measurements.set(workspace, { unitsPerMs, measuredAt: now });
  }

  /**
   * Estimates the minimum run time of a request at the upstream.
   *
   * @param workspace - Workspace
   * @param work - Work units
   * @param now - Milliseconds
   * @returns Milliseconds; 0 without a recent measurement
   */
  estimateMs(workspace: string, work: number, now: number): number {
    const throughput = this.findCurrent(workspace, now);
    return throughput === undefined ? 0 : (REQUIRED_RUN_TIME_FRACTION * work) / throughput;
  }

  private findCurrent(workspace: string, now: number): number | undefined {
    const measurement = this.measurements.get(workspace);
    if (measurement === undefined) return undefined;
    if (now - measurement.measuredAt < MAX_MEASUREMENT_AGE_MS) return measurement.unitsPerMs;
    this.measurements.delete(workspace);
    return undefined;
  }
}
