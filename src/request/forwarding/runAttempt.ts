import type { ResponseHead, HeaderCodec } from '../../process/gateway/types.js';
import { EventSplitter } from './eventSplitter.js';
import type { AttemptOutcome } from './types.js';
import type { ExchangeRequest } from './upstreamExchange.js';
import { UpstreamExchange } from './upstreamExchange.js';

const OK_STATUS = 200;
const STREAM_TYPE = /^text\/event-stream/i;

export interface AttemptOptions {
  readonly request: ExchangeRequest;
  readonly codec: HeaderCodec;
  readonly requestId: string | undefined;
  /** Id of the last event that the caller has received; events up to it are skipped. */
  readonly lastEventId: number;
  /** Aborted, with the reason, when the caller disconnects or the time limit is reached. */
  readonly signal: AbortSignal;
  /** Called with status and headers of the response, before they are validated. */
  onHead(head: ResponseHead): void;
  /**
   * Called for each event of a stream, in order and without gaps.
   *
   * @param head - Status and headers of the response that contains the event
   */
  onEvent(head: ResponseHead, id: number, bytes: Buffer): void;
}

/**
 * Sends a request to one upstream and reads the response to its end.
 *
 * @param options - Request, values to verify and event listener
 * @returns Outcome of the attempt
 */
export function runAttempt(options: AttemptOptions): Promise<AttemptOutcome> {
  return new Promise((resolve) => {
    const reader = new ResponseReader(options);
    const settle = (outcome: AttemptOutcome): void => {
      options.signal.removeEventListener('abort', abort);
      exchange.abort();
      resolve(outcome);
    };
    const abort = (): void => {
      settle({ kind: 'aborted', reason: options.signal.reason as 'caller_gone' | 'time_limit' });
    };
    const exchange = new UpstreamExchange(options.request, {
      onHead: (status, headers) => {
        const head = options.codec.decodeResponse(status, headers);
        options.onHead(head);
        const fault = reader.acceptHead(head);
        if (fault !== undefined) settle(fault);
      },
      onData: (data) => {
        const fault = reader.acceptData(data);
        if (fault !== undefined) settle(fault);
      },
      onEnd: (isComplete, error) => {
        if (!exchange.mayHaveSent) {
          settle({ kind: 'not_sent', reason: error?.message ?? 'connection failed' });
        } else {
          settle(reader.finish(isComplete, error));
        }
      },
    });
    if (options.signal.aborted) {
      abort();
      return;
    }
    options.signal.addEventListener('abort', abort);
    exchange.start();
  });
}

/** Reads and validates one response as it arrives. */
class ResponseReader {
  private head: ResponseHead | undefined;
  private readonly chunks: Buffer[] = [];
  private readonly splitter = new EventSplitter();
  private isStream = false;
  private lastEventId: number;

  constructor(private readonly options: AttemptOptions) {
    this.lastEventId = options.lastEventId;
  }

  acceptHead(head: ResponseHead): AttemptOutcome | undefined {
    this.head = head;
    if (head.isNotExecuted) return { kind: 'not_run', head, reason: describeRefusal(head) };
    if (head.requestId !== this.options.requestId) {
      return { kind: 'broken', reason: 'response has the id of another request' };
    }
    const isSuccess = head.status >= OK_STATUS && head.status < 300;
    if (head.isEncoded) return { kind: 'broken', reason: 'response has a content encoding' };
    if (isSuccess && !head.isSigned)
      return { kind: 'broken', reason: 'successful response without signature' };
    const type = head.headers.find(([name]) => name.toLowerCase() === 'content-type');
    this.isStream = head.status === OK_STATUS && STREAM_TYPE.test(type?.[1] ?? '');
    return undefined;
  }

  acceptData(data: Buffer): AttemptOutcome | undefined {
    if (this.head === undefined) return undefined;
    if (!this.isStream) {
      this.chunks.push(data);
      return undefined;
    }
    for (const event of this.splitter.readEvents(data)) {
      if (event.id === undefined) return { kind: 'broken', reason: 'event without an id' };
      if (event.id <= this.lastEventId) continue;
      if (event.id !== this.lastEventId + 1) {
        return {
          kind: 'broken',
          reason: `event ${event.id} received after event ${this.lastEventId}`,
        };
      }
      this.lastEventId = event.id;
      this.options.onEvent(this.head, event.id, event.bytes);
    }
    return undefined;
  }

  finish(isComplete: boolean, error: Error | undefined): AttemptOutcome {
    if (this.head === undefined) {
      return { kind: 'broken', reason: error?.message ?? 'connection closed before a response' };
    }
    if (!isComplete) return { kind: 'broken', reason: error?.message ?? 'response was truncated' };
    if (!this.isStream) {
      return { kind: 'answered', head: this.head, body: Buffer.concat(this.chunks) };
    }
    if (this.splitter.hasPartialEvent)
      return { kind: 'broken', reason: 'stream ended within an event' };
    return { kind: 'streamed', head: this.head };
  }
}

/** Formats the status and, where given, the address that the refusal reports as faulty. */
function describeRefusal({ status, faultyAddress }: ResponseHead): string {
  return faultyAddress === undefined ? String(status) : `${status}, ${faultyAddress} at fault`;
}
