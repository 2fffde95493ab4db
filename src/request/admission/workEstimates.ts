import type { ExpectedWork } from './callerTime.js';
import { MovingEstimate } from './movingEstimate.js';
import type { ReservationRequest } from './types.js';

/** Weight of a new value; about twenty requests replace the previous average. */
const SMOOTHING_FACTOR = 0.05;
/** Fewer requests, which may have been sent together, say little about the durations of others. */
const MIN_SAMPLES = 8;
/** Routes come and go with the configuration; the one that was recorded first is forgotten beyond this number. */
const MAX_ROUTES = 256;

interface RouteWork {
  readonly run: MovingEstimate;
  readonly firstEvent: MovingEstimate;
}

/** Measured durations of the requests of a service, from the time at which they are sent. */
export class WorkEstimates {
  /** Duration by the model of the engines, which stands in until requests have been measured. */
  modelledRunMs: number | undefined;
  private readonly all = new MovingEstimate(SMOOTHING_FACTOR);
  private readonly routes = new Map<string, RouteWork>();

  /** Whether enough durations have been measured, or follow from a model. */
  get isKnown(): boolean {
    return this.all.samples >= MIN_SAMPLES || this.modelledRunMs !== undefined;
  }

  /**
   * Records a completed request.
   *
   * @param route - Name of its route
   * @param runMs - Milliseconds from sending it to the end of its response
   */
  recordRun(route: string, runMs: number): void {
    this.all.record(runMs);
    this.getRoute(route).run.record(runMs);
  }

  /**
   * Records the first event of a stream.
   *
   * @param route - Name of its route
   * @param firstEventMs - Milliseconds from sending the request to the event
   */
  recordFirstEvent(route: string, firstEventMs: number): void {
    this.getRoute(route).firstEvent.record(firstEventMs);
  }

  /**
   * Estimates the work that is left of a request. Until one of its route has been measured, it counts as an average
   * request of the service, as a typical one by the model of the engines, or as one that takes the time that the operator
   * states as the target of the route.
   *
   * @param request - Reservation request
   * @returns Times within which nearly all such requests end and have their first event
   */
  estimate(request: ReservationRequest): ExpectedWork {
    const measured = this.routes.get(request.route);
    return limitToRest(request, {
      runMs: measured?.run.upperBound ?? this.all.upperBound ?? this.estimateMeanRun(request),
      firstEventMs: measured?.firstEvent.upperBound ?? request.latencyTargetMs,
    });
  }

  /**
   * Estimates the least work that may be left, in the same way.
   *
   * @param request - Reservation request
   * @returns Times that nearly no such request falls below
   */
  estimateLeast(request: ReservationRequest): ExpectedWork {
    const measured = this.routes.get(request.route);
    return limitToRest(request, {
      runMs: measured?.run.lowerBound ?? 0,
      firstEventMs: measured?.firstEvent.lowerBound ?? 0,
    });
  }

  /**
   * Estimates the mean duration of the requests of the service.
   *
   * @param request - Request whose target stands in until one has been measured
   * @returns Milliseconds
   */
  estimateMeanRun({ latencyTargetMs }: Pick<ReservationRequest, 'latencyTargetMs'>): number {
    return Math.max(1, this.all.mean ?? this.modelledRunMs ?? latencyTargetMs);
  }

  /**
   * Estimates the least duration of the requests of the service.
   *
   * @param request - Request whose target stands in until one has been measured
   * @returns Milliseconds that nearly no request falls below
   */
  estimateLeastRun(request: Pick<ReservationRequest, 'latencyTargetMs'>): number {
    return this.all.lowerBound ?? this.estimateMeanRun(request);
  }

  private getRoute(name: string): RouteWork {
    let work = this.routes.get(name);
    if (work === undefined) {
      work = {
        run: new MovingEstimate(SMOOTHING_FACTOR),
        firstEvent: new MovingEstimate(SMOOTHING_FACTOR),
      };
      this.routes.set(name, work);
      const [oldest] = this.routes.keys();
      if (this.routes.size > MAX_ROUTES && oldest !== undefined) this.routes.delete(oldest);
    }
    return work;
  }
}

/** The rest of a stream that broke off may be as short as one event. */
function limitToRest({ isResumed }: ReservationRequest, work: ExpectedWork): ExpectedWork {
  return isResumed === true ? { ...work, runMs: work.firstEventMs } : work;
}
