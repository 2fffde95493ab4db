import type { IncomingMessage } from 'node:http';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { BodyBuffer } from './bodyBuffer.js';
import type { CallerMemory, MemoryHold } from './callerMemory.js';
import { RESERVED_BYTES } from './callerMemory.js';
import type { RequestReader } from './requestReader.js';

/** A body counts anew, and as moving, each time it has grown by this much. */
const REPORT_BYTES = 16 * 1024;

/**
 * Why a body was not received: it is too large, its connection was closed, the signal was aborted, or its memory was needed
 * for others.
 */
export type BodyFailure = 'too_large' | 'closed' | 'aborted' | 'evicted';

export interface BodyOptions {
  readonly maxBytes: number;
  readonly memory: CallerMemory;
  /** Callers of one group get memory after those of groups that hold less. */
  readonly group: string;
  readonly reader: Pick<RequestReader, 'suspend' | 'resume'>;
  /** Current time in milliseconds. */
  readonly readClock: () => number;
}

/** A complete body, whose memory counts until it is released. */
export interface ReceivedBody {
  /** Undefined for a request without a body. */
  readonly bytes: Buffer<ArrayBuffer> | undefined;
  /** Undefined for a body that is too small to count. */
  readonly release: (() => void) | undefined;
}

type Outcome = Result<ReceivedBody, BodyFailure>;

/** Receives the body of a request. What comes after a failure is left to the caller of `receive`. */
export class BodyReceiver {
  private readonly body: BodyBuffer;
  private readonly contentLength: number;
  private hold: MemoryHold | undefined;
  private nextReportAt = RESERVED_BYTES;
  private settle: ((outcome: Outcome) => void) | undefined;

  /**
   * @param request - Request whose body has not been read
   * @param options - Bounds, and the memory in which the body counts
   */
  constructor(
    private readonly request: IncomingMessage,
    private readonly options: BodyOptions,
  ) {
    this.contentLength = Number(request.headers['content-length'] ?? Number.NaN);
    this.body = new BodyBuffer(this.contentLength);
  }

  /**
   * Receives the body.
   *
   * @returns The body, or why it was not received
   */
  receive(): Promise<Outcome> {
    const { request } = this;
    if (this.contentLength > this.options.maxBytes) return Promise.resolve(Err('too_large'));
    if (request.readableEnded) return Promise.resolve(this.finish());
    if (request.destroyed) return Promise.resolve(Err('closed'));
    return new Promise((resolve) => {
      const end = (): void => {
        this.settle?.(this.finish());
      };
      // Without an end before it, the connection closed within the body.
      const close = (): void => {
        this.fail('closed');
      };
      const add = (part: Buffer): void => {
        this.add(part);
      };
      this.settle = (outcome) => {
        this.settle = undefined;
        request.off('data', add).off('end', end).off('close', close);
        if (outcome.isErr()) this.hold?.release();
        if (this.hold !== undefined) this.options.reader.resume();
        resolve(outcome);
      };
      request.on('data', add).on('end', end).on('close', close).on('error', ignoreError);
    });
  }

  /** Ends the wait for the body. */
  abort(): void {
    this.fail('aborted');
  }

  private add(part: Buffer): void {
    const { body, options } = this;
    body.add(part);
    if (body.size > options.maxBytes) {
      this.fail('too_large');
    } else if (body.size > this.nextReportAt) {
      this.nextReportAt = body.size + REPORT_BYTES;
      this.hold ??= this.openHold();
      this.hold.resize(body.capacity, options.readClock());
    }
  }

  private finish(): Outcome {
    const { body, hold, request } = this;
    if (hold !== undefined) hold.isEvictable = false;
    const hasBody = body.size > 0 || hasBodyHeaders(request);
    const release = (): void => {
      hold?.release();
    };
    return Ok({
      bytes: hasBody ? body.take() : undefined,
      release: hold === undefined ? undefined : release,
    });
  }

  private fail(failure: BodyFailure): void {
    this.settle?.(Err(failure));
  }

  private openHold(): MemoryHold {
    const { memory, group, reader, readClock } = this.options;
    return memory.open(
      {
        kind: 'body',
        group,
        request: this.request,
        evict: () => {
          this.fail('evicted');
        },
        suspend: () => {
          reader.suspend();
        },
        resume: () => {
          reader.resume();
        },
      },
      readClock(),
    );
  }
}

function ignoreError(): void {
  // The close of the connection follows.
}

function hasBodyHeaders({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
