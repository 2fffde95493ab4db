import type { Fingerprint, UpstreamId } from '../../ids.js';
import type { RequestMetadata } from '../../process/gateway/types.js';
import type { AdmittedRequest } from './admitRequest.js';
import type { CallerReply, OwnAnswerCode } from './callerReply.js';
import type { AttemptOutcome, CallerExchange, ForwardingContext } from './types.js';

/** A gateway without a configuration or proof reads the store within this time when the store answers. */
export const STALE_RETRY_MS = 400;

/** One request on its way through the gateway. */
export interface Forwarding {
  readonly context: ForwardingContext;
  readonly exchange: CallerExchange;
  readonly reply: CallerReply;
  readonly statement: RequestMetadata;
  readonly admitted: AdmittedRequest;
  readonly body: Buffer | undefined;
  readonly fingerprint: Fingerprint;
  readonly arrivedAt: number;
  /** Final answer due, on the suspend-aware clock. */
  readonly endsAt: number;
  readonly signal: AbortSignal;
  readonly tried: Set<UpstreamId>;
  sends: number;
  /** An upstream may have begun to run the request. */
  mayHaveRun: boolean;
  lastEventId: number;
  lastEventAt: number | undefined;
  /** A whole failure of an upstream, passed on when no other attempt helps. */
  failure: Extract<AttemptOutcome, { kind: 'answered' }> | undefined;
  waitedMs: number;
  steps: string;
}

/** How a request ended for its caller. */
export type FinalOutcome = OwnAnswerCode | 'answered' | 'streamed' | 'caller_gone';
