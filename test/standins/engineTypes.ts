import type { ServerResponse } from 'node:http';
import type { StandIn } from './httpServer.js';

export interface EngineControl {
  /** Factor applied to step durations. */
  slowFactor?: number;
  stalled?: boolean;
  /** Respond with 503 to new requests. */
  refusing?: boolean;
  /** Total throughput that large batches approach. */
  tokensPerSecond?: number;
}

export interface EngineOptions extends EngineControl {
  port?: number;
  maxBatch?: number;
  /** Fixed part of the duration of a step, milliseconds. */
  baseStepMs?: number;
  /** Prefill throughput, prompt tokens per millisecond. */
  prefillPerMs?: number;
  cacheBlocks?: number;
  loadLagMs?: number;
  cacheEventDelayMs?: number;
  /** Fraction of cache events that are lost. */
  cacheEventLoss?: number;
  checksFencing?: boolean;
  seed?: string | number;
  /** Called instead of the in-process restart when a prompt contains the crash marker. */
  onCrash?: () => void;
}

export interface Engine extends StandIn {
  readonly counters: { generated: number; accepted: number; cancelled: number; crashes: number };
  control(change: EngineControl): void;
}

export interface GenerateRequest {
  request_id: string;
  prompt: string;
  max_tokens: number;
  priority?: number;
  resume_after?: number;
  resume_text?: string;
}

export interface GenerationStream {
  readonly id: string;
  readonly seed: number;
  readonly prompt: string;
  readonly tokens: readonly string[];
  readonly limit: number;
  readonly priority: number;
  readonly response: ServerResponse;
  next: number;
}

/** Request received by an engine. */
export interface EngineStart {
  readonly id: string;
  readonly prompt: string;
  /** Number of tokens delivered by earlier attempts. */
  readonly resumeAfter: number;
  /** Milliseconds since the epoch. */
  readonly time: number;
}
