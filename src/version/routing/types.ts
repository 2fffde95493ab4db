import type { AvailabilityZoneId, ServiceId, UpstreamId, WorkspaceId } from '../../ids.js';

/** What may be done again with a request after a failure. */
export type RouteKind = 'repeatable' | 'once' | 'stream';

export interface ServiceShare {
  readonly service: ServiceId;
  /** Part of the traffic, relative to the other shares of the route. */
  readonly weight: number;
}

/** One rule that sends the requests of a host and path prefix to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time until the final answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event of a stream, that earns full credit. */
  readonly latencyTargetMs: number;
  /** Longest pause between two events of a stream that is still on time. */
  readonly gapTargetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Upstreams that one request may be sent to. */
  readonly maxAttempts: number;
  /** Requests need no key. */
  readonly isPublic: boolean;
  /** A stream may go on at another upstream after its last delivered event. */
  readonly isResumable: boolean;
}

/** Expert layout of a model that is served by groups of ranks in lock-step. */
export interface ExpertLayout {
  readonly sets: number;
  readonly expertsPerSet: number;
  /** Experts that one rank may hold in one set. */
  readonly placesPerRank: number;
  /** Experts of one set that a rank may load in one change. */
  readonly sparePerChange: number;
  readonly expertMegabytes: number;
  readonly copyMegabitsPerSecond: number;
  /** Part of a pass that depends on the expert map, 0 to 1. */
  readonly expertShare: number;
}

/** Speed of the engines of a service. */
export interface EngineModel {
  readonly slots: number;
  readonly memoryTokens: number;
  /** Token steps in one pass with writers. */
  readonly stepsPerPass: number;
  readonly stepMs: number;
  /** Added to a step for each writing request. */
  readonly stepMsPerRequest: number;
  readonly prefillTokensPerMs: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  readonly experts?: ExpertLayout | undefined;
}

export interface ServiceDefinition {
  readonly id: ServiceId;
  /** Connections that one upstream accepts from all callers together. */
  readonly maxConnections: number;
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
  /** Goes before the priority of the route; 0 is the most urgent. */
  readonly priority?: number | undefined;
}

/** One whole version of what the operator configured. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, ServiceDefinition>;
  readonly limits: CallerLimits;
  /** Undefined when requests carry no keys at all. */
  readonly workspaceByKey?: ReadonlyMap<string, Workspace> | undefined;
}

/** One announced upstream. */
export interface UpstreamEntry {
  readonly id: UpstreamId;
  readonly service: ServiceId;
  /** `ip:port` */
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Start of the process in Unix milliseconds; tells a restart under the same id. */
  readonly startedAt?: number | undefined;
}
