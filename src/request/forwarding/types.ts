import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Logger } from '../../process/logging.js';
import type { Metrics } from '../../process/metrics.js';
import type { ConfigurationCache } from '../../process/gateway/configurationCache.js';
import type { UpstreamDirectory } from '../../process/gateway/upstreamDirectory.js';
import type { ResponseHead, HeaderCodec } from '../../process/gateway/types.js';
import type { Fingerprint, ServiceId } from '../../ids.js';
import type { PlaceBoard } from '../admission/placeBoard.js';
import type { WaitingLine } from '../admission/waitingLine.js';
import type { SuspectTable } from '../admission/suspectTable.js';
import type { WindowBudget } from '../retry/windowBudget.js';

/** What all requests of a gateway share. */
export interface ForwardingContext {
  readonly holder: ConfigurationCache;
  readonly directory: UpstreamDirectory;
  readonly board: PlaceBoard;
  readonly suspects: SuspectTable;
  readonly codec: HeaderCodec;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Steady clock that counts suspends, in milliseconds. */
  readNow(): number;
  /** Waits, after the start, for the first configuration and upstream list. */
  waitUntilKnown(limitMs: number): Promise<void>;
  getLine(service: ServiceId): WaitingLine;
  getBudget(service: ServiceId): WindowBudget;
  /** Tells the other gateways that a request has ended an upstream. */
  shareCrash(fingerprint: Fingerprint): void;
  /** True once the process has been told to stop. */
  isDraining(): boolean;
}

/** One caller's request and the response to it. */
export interface CallerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** How one attempt at an upstream ended. */
export type AttemptOutcome =
  /** A whole answer that is not a stream of events. */
  | { readonly kind: 'answered'; readonly head: ResponseHead; readonly body: Buffer }
  /** The stream ended as its framing says; all events were passed on. */
  | { readonly kind: 'streamed' }
  /** No byte of the request left this process. */
  | { readonly kind: 'not_sent'; readonly reason: string }
  /** The upstream stated that the request has not run. */
  | { readonly kind: 'not_run'; readonly head: ResponseHead; readonly reason: string }
  /** The request may have run and gave no whole answer. */
  | { readonly kind: 'broken'; readonly reason: string }
  /** The caller left or the time limit was reached; the attempt was aborted. */
  | { readonly kind: 'aborted'; readonly reason: 'caller_gone' | 'time_limit' };
