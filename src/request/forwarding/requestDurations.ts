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
  /** In milliseconds. */
  readonly longestMs: number;
  /** Number of recent requests. */
  readonly samples: number;
}

/** Recent durations of completed requests, by route. */
export class RequestDurations {
  private readonly routes = new Map<string, { readonly values: number[]; next: number }>();

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
   * @returns Undefined without a completed request
   */
  estimate(route: string): DurationEstimate | undefined {
    const sorted = [...(this.routes.get(route)?.values ?? [])].sort((a, b) => a - b);
    const expectedMs = sorted[Math.ceil(sorted.length * EXPECTED_SHARE) - 1];
    const longestMs = sorted.at(-1);
    if (expectedMs === undefined || longestMs === undefined) return undefined;
    return { expectedMs, longestMs, samples: sorted.length };
  }
}
