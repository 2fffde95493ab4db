import type { AvailabilityZoneId, ServiceId, UpstreamId, WorkspaceId } from '../../ids.js';

/** Retry policy for requests of a route. */
export type RouteKind = 'repeatable' | 'once' | 'stream';

export interface ServiceShare {
  readonly service: ServiceId;
  /** Traffic weight relative to the other shares of the route. */
  readonly weight: number;
}

/** Rule that routes requests by host and path prefix to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Path prefix with a leading and a trailing slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Time limit for the complete response. */
  readonly timeoutMs: number;
  /** Time within which the operator wants the response, or the first event of a stream. */
  readonly latencyTargetMs: number;
  /** Target maximum time between two events of a stream. */
  readonly eventGapTargetMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Maximum number of upstreams to which one request is sent. */
  readonly maxAttempts: number;
  /** Requests need no API key. */
  readonly isPublic: boolean;
  /** A stream can resume on another upstream after its last delivered event. */
  readonly isResumable: boolean;
}

/** Configured experts of a mixture-of-experts model that is served by groups of ranks in lockstep. */
export interface ExpertParameters {
  /** Number of layer sets; all layers of a set share one expert layout. */
  readonly sets: number;
  readonly expertsPerSet: number;
  /** Experts of one set that a rank can hold. */
  readonly slotsPerRank: number;
  /** Experts of one set that a rank can load in one expert map change. */
  readonly maxLoadsPerLayer: number;
  readonly expertMegabytes: number;
  readonly transferMegabitsPerSecond: number;
  /** Fraction of the pass time that depends on the expert map, 0 to 1. */
  readonly expertShare: number;
}

/** Performance model of the engines of a service. */
export interface EngineModel {
  readonly slots: number;
  readonly kvCacheTokens: number;
  /** Decode steps in one pass that has decoding requests. */
  readonly stepsPerPass: number;
  readonly stepMs: number;
  /** Additional step time per decoding request. */
  readonly stepMsPerRequest: number;
  readonly prefillTokensPerMs: number;
  readonly typicalPromptTokens: number;
  readonly typicalOutputTokens: number;
  readonly experts?: ExpertParameters | undefined;
}

export interface ServiceDefinition {
  readonly id: ServiceId;
  /** Maximum number of connections that one upstream accepts from all clients in total. */
  readonly maxConnections: number;
  /** Time after its start for which an upstream is cold; 0 or undefined if upstreams are never cold. */
  readonly coldStartMs?: number | undefined;
  /** Requests per second that a cold upstream takes from all gateways together; 0 or undefined for no limit. */
  readonly coldRequestsPerSecond?: number | undefined;
  readonly engine?: EngineModel | undefined;
}

export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface Workspace {
  readonly id: WorkspaceId;
  /** Takes precedence over the priority of the route; 0 is the highest priority. */
  readonly priority?: number | undefined;
}

/** Complete routing configuration of one version. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, ServiceDefinition>;
  readonly limits: CallerLimits;
  /** Workspaces by API key; undefined when the configuration uses no API keys. */
  readonly workspaceByKey?: ReadonlyMap<string, Workspace> | undefined;
}

/** Upstream announced by the platform. */
export interface UpstreamEntry {
  readonly id: UpstreamId;
  readonly service: ServiceId;
  /** `ip:port` */
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Process start time in Unix milliseconds; detects restarts under the same id. */
  readonly startedAt?: number | undefined;
  /** Number of registrations since the start; rises each time that the upstream writes its entry. */
  readonly heartbeat?: number | undefined;
  /** Time for which the upstream stays cold, from when it wrote the entry, in milliseconds; undefined for a warm one. */
  readonly coldRemainingMs?: number | undefined;
}
