import type { Result } from 'ts-results-es';
import type { AvailabilityZoneId, PromptPartId, UpstreamId, WorkspaceId } from '../../ids.js';
import type { RateLimitStatement } from '../../request/rateLimit/types.js';
import type { RoutingConfiguration, UpstreamEntry } from '../../version/routing/types.js';

/** Why a read of the configuration store or of an upstream failed. */
export interface ReadError {
  readonly code:
    'unreachable' | 'timeout' | 'refused' | 'malformed' | 'not_found' | 'outdated' | 'truncated';
  readonly message: string;
}

/** Reads the configuration that the operator publishes and the entries that upstreams register. */
export interface ConfigurationSource {
  /** Reads the newest configuration; it is not decoded again while its era and revision are those of `known`. */
  readConfiguration(
    known: ConfigurationPosition | undefined,
  ): Promise<Result<ConfigurationRead, ReadError>>;
  readUpstreams(): Promise<Result<UpstreamListing, ReadError>>;
  /** Decodes the text of a configuration that a peer has read from the store. */
  decodeDocument(document: string): Result<RoutingConfiguration, ReadError>;
  close(): void;
}

/** Identifies a stored value. A restored store assigns revisions again, so a revision is unique only within an era. */
export interface ConfigurationPosition {
  /** Rises each time the store is restored from an older copy; 0 if the store does not report it. */
  readonly era: number;
  readonly revision: number;
}

export interface ConfigurationRead extends ConfigurationPosition {
  /** Availability zones that the operator has taken out of service. */
  readonly evacuated: readonly AvailabilityZoneId[];
  /** Number of entries that name no usable availability zone. */
  readonly unreadableEvacuations: number;
  /** Why the stored configuration cannot be used; the evacuated zones count all the same. */
  readonly configurationError?: ReadError | undefined;
  /** Undefined when era and revision equal those of `known`, or when it cannot be used. */
  readonly configuration?: RoutingConfiguration | undefined;
  /** Configuration text as published, to relay to peers that cannot reach the store. */
  readonly document?: string | undefined;
}

export interface UpstreamListing {
  /** Rises each time the store is restored from an older copy; 0 if the store does not report it. */
  readonly era: number;
  readonly upstreams: readonly UpstreamEntry[];
  /** Number of entries that could not be decoded into a usable upstream. */
  readonly unreadable: number;
}

export interface UpstreamGroup {
  readonly name: string;
  /** Whether the rank that reports states that it leaves. */
  readonly isLeaving?: boolean | undefined;
  /** Start of that rank in Unix milliseconds; another process may have its address. */
  readonly startedAt?: number | undefined;
  /** False while the group has lost a rank or is re-forming. */
  readonly isOpen: boolean;
}

/** Queries an upstream for its state. */
export interface UpstreamProbe {
  /**
   * Reads the group that an engine belongs to.
   *
   * @param address - Address of the engine, `ip:port`
   * @returns The group, or undefined when the engine belongs to none
   */
  readGroup(address: string): Promise<Result<UpstreamGroup | undefined, ReadError>>;
}

/** Request headers of the platform, as sent by the caller. */
export interface RequestMetadata {
  readonly requestId?: string | undefined;
  /** Time limit of the caller in milliseconds, counted from the arrival of the request. */
  readonly deadlineMs?: number | undefined;
  readonly key?: string | undefined;
  /** Whether it asks for one version of the upstream, so that others refuse it. */
  readonly hasVersion?: boolean;
  /** Id of the last event that the caller has received; undefined for a new stream. */
  readonly lastEventId?: number | undefined;
  readonly promptTokens?: number | undefined;
  readonly maxOutputTokens?: number | undefined;
  /** Parts of the prompt that other requests may share, in order, without the last part of the prompt. */
  readonly promptParts: readonly PromptPartId[];
}

/** Request headers of the platform that the gateway sets for the upstream. */
export interface UpstreamRequestMetadata {
  readonly upstream: UpstreamId;
  readonly remainingMs: number;
  readonly workspace?: WorkspaceId | undefined;
  readonly lastEventId?: number | undefined;
  /** From 0, admitted first, to 9, admitted last. */
  readonly priority?: number | undefined;
}

/** Retry-after header of a refusal. */
export type RetryAfterStatement =
  | { readonly kind: 'none' }
  | { readonly kind: 'stated'; readonly delayMs: number }
  | { readonly kind: 'invalid'; readonly text: string };

/** Status and decoded headers of an upstream's response. */
export interface ResponseHead {
  readonly status: number;
  /** Headers to pass on to the caller, without hop-by-hop headers. */
  readonly headers: [string, string][];
  readonly requestId?: string | undefined;
  /** The response carries the signature header of the upstream. */
  readonly isSigned: boolean;
  /** The upstream states that the request has not been executed and will not be. */
  readonly isNotExecuted: boolean;
  /** The address belongs to another upstream instance than the expected one. */
  readonly isInstanceMismatch: boolean;
  /** Address of the upstream that caused the failure, which may be the responding one. */
  readonly faultyAddress?: string | undefined;
  /** Rate at which the upstream takes requests from all gateways together. */
  readonly rateLimit: RateLimitStatement;
  /** Whether the upstream states that it leaves and wants no further request. */
  readonly leaving: 'stated' | 'none' | 'invalid';
  /** Time for which an upstream that refuses wants no request from this gateway. */
  readonly retryAfter: RetryAfterStatement;
  /** The body has a content encoding, which means that an intermediary has changed it. */
  readonly isEncoded: boolean;
  /** The body has a content length or a transfer encoding, so that truncation can be detected. */
  readonly isFramed: boolean;
  /** Stated length of the body, in bytes. */
  readonly contentLength?: number | undefined;
}

/** Encodes and decodes the headers of requests and responses. */
export interface HeaderCodec {
  decodeRequest(rawHeaders: readonly string[]): RequestMetadata;
  /** @returns Headers for the upstream as alternating names and values. */
  encodeRequest(rawHeaders: readonly string[], metadata: UpstreamRequestMetadata): string[];
  decodeResponse(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): ResponseHead;
  /** Encodes the header that tells the caller when to retry. */
  encodeRetryAfter(delayMs: number): [string, string];
  /** Encodes the header that echoes the caller's request id on responses of the gateway itself. */
  encodeRequestId(requestId: string): [string, string];
}
