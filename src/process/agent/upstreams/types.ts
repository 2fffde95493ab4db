import type { ErrorCode } from '../../../errors.js';

/** One exchange with the upstream. */
export interface Exchange {
  readonly id: string;
  /** Caller's request body. */
  readonly body: Uint8Array;
  /** Tokens that exist already; the engine continues after them. */
  readonly resumeAfter: number;
  readonly resumeText: string;
  /** Higher runs first. */
  readonly priority: number;
  /** Used when the body names no limit. */
  readonly maxOutputTokens: number;
  /** Asked right before the first byte is sent; work that expired while the process was paused is not sent. */
  readonly isExpired?: () => boolean;
  /** Aborting ends the exchange at the upstream too. */
  readonly signal: AbortSignal;
  readonly onTokens: (tokens: string[]) => void;
}

export type ExchangeResult =
  | {
      readonly kind: 'done';
      readonly status: number;
      readonly body: Uint8Array<ArrayBuffer>;
      readonly finishReason: string;
      readonly promptTokens: number;
    }
  | {
      readonly kind: 'failed';
      readonly code: ErrorCode;
      readonly message: string;
      /** False when nothing reached the upstream. */
      readonly started: boolean;
      /** The connection broke in a way that a crash of the upstream explains. */
      readonly possibleCrash: boolean;
      readonly unreachable: boolean;
    };

/** Work counters of the upstream; `steps` grows while work progresses. */
export interface UpstreamLoad {
  readonly running: number;
  readonly steps: number;
}

/** How the agent talks to one kind of service. */
export interface UpstreamAdapter {
  /** Work can be stopped and continued without loss. */
  readonly preemptible: boolean;
  /** Runs one exchange; never rejects. */
  run(exchange: Exchange): Promise<ExchangeResult>;
  /** Reads counters; undefined when the upstream does not answer in time. */
  readLoad(timeoutMs: number): Promise<UpstreamLoad | undefined>;
  /** Proves by real work that the upstream makes progress. */
  prove(timeoutMs: number): Promise<boolean>;
  close(): Promise<void>;
}
