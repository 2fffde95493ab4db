import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';

const SIGNIFICANT_DIGITS = 2;
const MAX_LATENCY_MS = 3_600_000;
const MICROSECONDS_PER_MS = 1000;

export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Counters and latency histograms of one process, by name. */
export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly histograms = new Map<string, Histogram>();

  /**
   * Increments a counter.
   *
   * @param name - Counter name
   * @param amount - Increment, 1 by default
   */
  addCount(name: string, amount = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + amount);
  }

  /**
   * Returns the value of a counter.
   *
   * @param name - Counter name
   * @returns Current value, 0 for an unknown counter
   */
  getCount(name: string): number {
    return this.counters.get(name) ?? 0;
  }

  /**
   * Records a latency in a histogram.
   *
   * @param name - Histogram name
   * @param durationMs - Latency in milliseconds, stored in microseconds
   */
  recordLatency(name: string, durationMs: number): void {
    let histogram = this.histograms.get(name);
    if (histogram === undefined) {
      histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_LATENCY_MS * MICROSECONDS_PER_MS,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      });
      this.histograms.set(name, histogram);
    }
    const micros = Math.round(
      Math.min(Math.max(durationMs, 0), MAX_LATENCY_MS) * MICROSECONDS_PER_MS,
    );
    histogram.recordValue(micros);
  }

  /**
   * Summarizes all counters and histograms.
   *
   * @returns Counters and latency percentiles in milliseconds
   */
  summarize(): { counters: Record<string, number>; latencies: Record<string, LatencySummary> } {
    const latencies: Record<string, LatencySummary> = {};
    for (const [name, histogram] of this.histograms) {
      const percentile = (value: number): number =>
        histogram.getValueAtPercentile(value) / MICROSECONDS_PER_MS;
      latencies[name] = {
        count: histogram.totalCount,
        p50Ms: percentile(50),
        p95Ms: percentile(95),
        p99Ms: percentile(99),
        maxMs: histogram.maxValue / MICROSECONDS_PER_MS,
      };
    }
    return { counters: Object.fromEntries(this.counters), latencies };
  }
}
