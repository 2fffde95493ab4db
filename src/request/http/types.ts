import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'ts-results-es';
import type { RequestError } from '../../errors.js';
import type { WorkspaceId } from '../../ids.js';
import type { RequestRunner } from '../../process/entry/requestRunner.js';
import type { Logger } from '../../process/logging.js';
import type { Metrics } from '../../process/metrics.js';
import type { ConfigurationView } from '../../version/configuration/types.js';
import type { BodyLimits } from './readBody.js';
import type { OrderDispatcher } from '../orders/orderDispatcher.js';

/** Bounds on what the callers of an entry may make it hold. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  /** Open connections; beyond them, those that serve their callers least are closed. */
  readonly maxConnections: number;
  /** Requests in progress on one connection. */
  readonly maxRequestsPerConnection: number;
  /** Requests in progress on all connections, above which a connection with one is read no further. */
  readonly maxPipelinedRequests: number;
  /** Bytes of all request bodies and unread responses, beyond 16 KB each. */
  readonly maxHeldBytes: number;
}

/** Components of the entry that the routes use. */
export interface HttpContext {
  readonly configuration: ConfigurationView;
  readonly runner: RequestRunner;
  readonly orders: OrderDispatcher;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly limits: CallerLimits;
  isDraining(): boolean;
  isReady(): boolean;
  /** Time at which a drain cancels the unfinished requests, in milliseconds; infinite without a drain. */
  getDrainEnd(): number;
}

/** One HTTP request of an authenticated workspace. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly params: Readonly<Record<string, string>>;
  readonly requestId: string;
  readonly workspace: WorkspaceId;
  /** Earliest possible time of arrival, wall clock in milliseconds. */
  readonly arrivedAt: number;
  /** Aborted when the caller closes the connection before the response is complete. */
  readonly signal: AbortSignal;
  /** Limits on the request body. */
  readonly bodyLimits: BodyLimits;
}

/** Responds to an exchange, or returns the error to respond with. */
export type RouteHandler = (
  exchange: Exchange,
  context: HttpContext,
) => Promise<Result<void, RequestError>>;

export interface Route {
  readonly method: 'get' | 'post' | 'put' | 'delete';
  readonly path: string;
  readonly handle: RouteHandler;
  /** Additional fields of each error response of the route. */
  readonly errorFields?: Readonly<Record<string, string>>;
}
