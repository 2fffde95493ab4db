import type { Result } from 'ts-results-es';
import type { UpstreamId, WorkspaceId } from '../../ids.js';
import type { RoutingConfiguration, UpstreamEntry } from '../../version/routing/types.js';

/** Why a read of the configuration store gave nothing. */
export interface ReadError {
  readonly code: 'unreachable' | 'timeout' | 'refused' | 'malformed' | 'not_found';
  readonly message: string;
}

/** Reads what the operator and the upstreams publish. */
export interface ConfigurationSource {
  /**
   * Reads the newest configuration; a read that shows `knownRevision` again is not decoded.
   */
  readConfiguration(
    knownRevision: number | undefined,
  ): Promise<Result<ConfigurationRead, ReadError>>;
  readUpstreams(): Promise<Result<UpstreamListing, ReadError>>;
  /** Decodes a configuration that a peer has read. */
  decodeDocument(document: string): Result<RoutingConfiguration, ReadError>;
  close(): void;
}

export interface ConfigurationRead {
  readonly revision: number;
  /** Undefined when the revision is the known one. */
  readonly configuration?: RoutingConfiguration | undefined;
  /** Text of the configuration as published, for peers that cannot reach the store. */
  readonly document?: string | undefined;
}

export interface UpstreamListing {
  readonly upstreams: readonly UpstreamEntry[];
  /** Entries that name no usable upstream. */
  readonly unreadable: number;
}

export interface UpstreamGroup {
  readonly name: string;
  /** False while the group has lost a rank or forms anew. */
  readonly isOpen: boolean;
}

/** Asks an upstream about itself. */
export interface UpstreamProbe {
  /**
   * Reads the group that an engine belongs to.
   *
   * @returns The group, undefined for an engine that works alone
   */
  readGroup(address: string): Promise<Result<UpstreamGroup | undefined, ReadError>>;
}

/** What a caller states about its request. */
export interface RequestMetadata {
  readonly requestId?: string | undefined;
  /** How long the caller waits, in milliseconds from the arrival of the request. */
  readonly deadlineMs?: number | undefined;
  readonly key?: string | undefined;
  /** Id of the last event that the caller has; undefined at the start of a stream. */
  readonly lastEventId?: number | undefined;
  readonly promptTokens?: number | undefined;
  readonly maxOutputTokens?: number | undefined;
  /** Id of the last shared part of the prompt, which names its session or subject. */
  readonly prefixHash?: string | undefined;
}

/** What the gateway states to the upstream. */
export interface UpstreamRequestMetadata {
  readonly upstream: UpstreamId;
  readonly remainingMs: number;
  readonly workspace?: WorkspaceId | undefined;
  readonly lastEventId?: number | undefined;
  /** 0 is admitted first, 9 last. */
  readonly priority?: number | undefined;
}

/** What the head of an upstream's answer says. */
export interface ResponseHead {
  readonly status: number;
  /** Headers for the caller, without those of the connection. */
  readonly headers: [string, string][];
  readonly requestId?: string | undefined;
  /** The upstream signed its answer. */
  readonly isSigned: boolean;
  /** The upstream states that the request has not run and will not. */
  readonly isNotExecuted: boolean;
  /** Another process has the address. */
  readonly isInstanceMismatch: boolean;
  /** Address of the upstream at fault, which may be the one that answers. */
  readonly faultyAddress?: string | undefined;
  /** The body was changed on the way. */
  readonly isEncoded: boolean;
  /** The body has a stated length or ends with a mark. */
  readonly isFramed: boolean;
}

/** Translates the heads of requests and answers. */
export interface HeaderCodec {
  decodeRequest(rawHeaders: readonly string[]): RequestMetadata;
  /** Headers for the upstream as alternating names and values. */
  encodeRequest(rawHeaders: readonly string[], metadata: UpstreamRequestMetadata): string[];
  decodeResponse(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): ResponseHead;
  /** Headers that tell the caller when to come back. */
  encodeRetryAfter(delayMs: number): [string, string];
  /** Header that repeats the caller's id on answers of the gateway itself. */
  encodeRequestId(requestId: string): [string, string];
}
