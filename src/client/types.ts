/** State of an order as reported to a caller. */
export type OrderState = 'open' | 'running' | 'done' | 'not-run' | 'unknown';

export interface OrderOutcome {
  readonly order: string;
  readonly state: OrderState;
  /** Human-readable reason for the state. */
  readonly reason: string;
  /** HTTP status of the upstream's response when `done`. */
  readonly status: number;
  /** Body of the upstream's response when `done`; empty otherwise. */
  readonly answer: string;
  /** True for an `unknown` that further requests will not change. */
  readonly final: boolean;
}

/** Why a request has no complete response. */
export interface CallerError {
  /** Error code of the server, or `connection_failed` or `answer_cut` set by this client. */
  readonly code: string;
  readonly message: string;
  /** HTTP status; 0 if there was none. */
  readonly status: number;
  readonly retryAfterMs?: number;
}

export interface ChatRequest {
  readonly model: string;
  readonly messages: readonly { readonly role: string; readonly content: string }[];
  readonly max_tokens?: number;
}

export interface ChatAnswer {
  readonly text: string;
  readonly finishReason: string;
}

export interface CallerClientOptions {
  /** Base URLs of the entries, at least one. */
  readonly entries: readonly string[];
  /** Bearer token of the workspace. */
  readonly token: string;
  /** Number of order slots kept in reserve per service; 0 requests a slot for each order. */
  readonly readySlots?: number;
  /** Maximum time for retrying and polling an order, in milliseconds. */
  readonly settleLimitMs?: number;
  readonly retryMinMs?: number;
  readonly retryMaxMs?: number;
  /** Time-out of one HTTP response, in milliseconds. */
  readonly answerTimeoutMs?: number;
  /** Source of jitter, 0 to 1. */
  readonly random?: () => number;
}
