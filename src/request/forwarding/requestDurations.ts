/** Number of requests of a route whose durations are kept. */
const MAX_SAMPLES = 64;
/** Share of the requests of a route that take no longer than the expected duration. */
const EXPECTED_SHARE = 0.95;
/** Routes come and go with the configuration; the one that was recorded first is forgotten beyond this number. */
const MAX_ROUTES = 256;

/** What recent requests of a route have taken. */
export interface DurationEstimate {
  /** Time within which nearly all were completed, in milliseconds. */
  readonly expectedMs: number;
  /** Time that the longest took, or that one in progress has taken so far, in milliseconds. */
  readonly longestMs: number;
  /** Number of recent requests that were completed. */
  readonly samples: number;
}

interface RunningRequest {
  readonly route: string;
  readonly arrivedAt: number;
}

/**
 * Recent durations of completed requests, by route, and requests in progress. Short requests are completed first, so a
 * process that has started recently knows the long ones only while they run.
 */
export class RequestDurations {
  private readonly routes = new Map<string, { readonly values: number[]; next: number }>();
  private readonly running = new Set<RunningRequest>();

  /**
   * Registers a request in progress.
   *
   * @param route - Name of its route
   * @param arrivedAt - When it arrived, in milliseconds
   * @returns Removes it
   */
  begin(route: string, arrivedAt: number): () => void {
    const request = { route, arrivedAt };
    this.running.add(request);
    return () => {
      this.running.delete(request);
    };
  }

  /**
   * Records a completed request.
   *
   * @param route - Name of its route
   * @param durationMs - From its arrival to the end of its response, in milliseconds
   */
  record(route: string, durationMs: number): void {
    let kept = this.routes.get(route);
    if (kept === undefined) {
      kept = { values: [], next: 0 };
      this.routes.set(route, kept);
      const [oldest] = this.routes.keys();
      if (this.routes.size > MAX_ROUTES && oldest !== undefined) this.routes.delete(oldest);
    }
    kept.values[kept.next] = durationMs;
    kept.next = (kept.next + 1) % MAX_SAMPLES;
  }

  /**
   * Summarizes the recent requests of a route.
   *
   * @param route - Name of the route
   * @param now - Current time in milliseconds
   * @returns Undefined without a completed request
   */
  estimate(route: string, now: number): DurationEstimate | undefined {
    const sorted = [...(this.routes.get(route)?.values ?? [])].sort((a, b) => a - b);
    const expectedMs = sorted[Math.ceil(sorted.length * EXPECTED_SHARE) - 1];
    let longestMs = sorted.at(-1);
    if (expectedMs === undefined || longestMs === undefined) return undefined;
    for (const running of this.running)
      if (running.route === route) longestMs = Math.max(longestMs, now - running.arrivedAt);
    return { expectedMs, longestMs, samples: sorted.length };
  }
}
