import type { ServiceId } from '../../ids.js';

/** Number of requests of a service whose durations are kept. */
const SAMPLES = 64;
/** Share of the requests of a service that take no longer than the expected duration. */
const EXPECTED_SHARE = 0.95;

/** Recent durations of completed requests, by service. */
export class RequestDurations {
  private readonly samples = new Map<ServiceId, { readonly values: number[]; next: number }>();

  /**
   * Records a completed request.
   *
   * @param service - Service that was called
   * @param durationMs - From its arrival to the end of its response, in milliseconds
   */
  record(service: ServiceId, durationMs: number): void {
    let kept = this.samples.get(service);
    if (kept === undefined) {
      kept = { values: [], next: 0 };
      this.samples.set(service, kept);
    }
    kept.values[kept.next] = durationMs;
    kept.next = (kept.next + 1) % SAMPLES;
  }

  /**
   * Estimates the time within which nearly all requests of a service are completed.
   *
   * @param service - Service that was called
   * @returns Milliseconds, undefined without a completed request
   */
  estimate(service: ServiceId): number | undefined {
    const sorted = [...(this.samples.get(service)?.values ?? [])].sort((a, b) => a - b);
    return sorted[Math.ceil(sorted.length * EXPECTED_SHARE) - 1];
  }
}
