import type { UpstreamId } from '../../ids.js';
import type { RequestKeys } from '../containment/types.js';
import type { RequestMetadata } from '../../process/gateway/types.js';
import type { AdmittedRequest } from './admitRequest.js';
import type { CallerReply, GatewayErrorCode } from './callerReply.js';
import type { KeptFailure } from './keptFailure.js';
import type { CallerExchange, ForwardingContext } from './types.js';

/** Time within which a gateway without a current configuration has read it, provided that the store responds. */
export const CONFIGURATION_RETRY_AFTER_MS = 400;

/** State of one request while the gateway forwards it. */
export interface Forwarding {
  readonly context: ForwardingContext;
  readonly exchange: CallerExchange;
  readonly reply: CallerReply;
  readonly metadata: RequestMetadata;
  readonly admitted: AdmittedRequest;
  readonly body: Buffer | undefined;
  readonly keys: RequestKeys;
  readonly arrivedAt: number;
  /** Deadline of the final response, on the suspend-aware clock. */
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
  readonly tried: Set<UpstreamId>;
  attemptCount: number;
  /** Whether an upstream may have started to run the request. */
  mayHaveRun: boolean;
  lastEventId: number;
  /** Last event of the current attempt. */
  lastEventAt: number | undefined;
  /** Last event of any attempt, which the caller has received. */
  deliveredAt: number | undefined;
  /** Events of the current attempt. */
  attemptEvents: number;
  /** Complete error response of an upstream, forwarded when no further attempt succeeds. */
  readonly failure: KeptFailure;
  waitedMs: number;
  steps: string;
}

/** Outcome of a request for its caller. */
export type FinalOutcome = GatewayErrorCode | 'answered' | 'streamed' | 'caller_gone';
