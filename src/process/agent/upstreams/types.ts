import type { ErrorCode } from '../../../errors.js';

/** One request to the upstream and its response. */
export interface Exchange {
  readonly id: string;
  /** Request body of the caller. */
  readonly body: Uint8Array;
  /** Number of tokens generated before; the engine resumes after them. */
  readonly resumeAfter: number;
  readonly resumeText: string;
  /** Higher runs first. */
  readonly priority: number;
  /** Upper limit, also used when the body sets none. */
  readonly maxOutputTokens: number;
  /** Called right before the first byte is sent, so that work that expired while the process was paused is not sent. */
  readonly isExpired?: () => boolean;
  /** Aborting also ends the exchange at the upstream. */
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
      /** False when the upstream cannot have started the work. */
      readonly started: boolean;
      /** The connection was lost in a way that is consistent with a crash of the upstream. */
      readonly possibleCrash: boolean;
      readonly unreachable: boolean;
    };

/** Load counters of the upstream; `steps` increases while work progresses. */
export interface UpstreamLoad {
  readonly running: number;
  readonly steps: number;
}

/** Protocol adapter for one kind of service. */
export interface UpstreamAdapter {
  /** Whether work can be stopped and resumed without loss. */
  readonly preemptible: boolean;
  /** Runs one exchange; the promise never rejects. */
  run(exchange: Exchange): Promise<ExchangeResult>;
  /** Reads the load counters; undefined when the upstream does not respond in time. */
  readLoad(timeoutMs: number): Promise<UpstreamLoad | undefined>;
  /** Probes whether the upstream makes progress; engines are probed with a request for one token. */
  prove(timeoutMs: number): Promise<boolean>;
  close(): Promise<void>;
}
