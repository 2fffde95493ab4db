import { Client, errors } from 'undici';
import { createWitness } from '../../../connection/processWitness.js';
import type { ProcessWitness } from '../../../connection/processWitness.js';
import { createObservedConnector } from '../../../connection/observedConnector.js';
import { MIN_FINAL_STATUS } from '../../../connection/responseFraming.js';
import { defaults } from '../../../defaults.js';

export interface DedicatedRequest {
  readonly url: string;
  readonly body: Uint8Array;
  /** Closes the connection. */
  readonly signal: AbortSignal;
  /** Whether this process was paused shortly before. */
  hasPaused(): boolean;
}

export interface CompleteResponse {
  readonly status: number;
  readonly body: Uint8Array<ArrayBuffer>;
}

/**
 * Posts JSON on a connection of its own. A late second response to an earlier request cannot arrive on it, and a body
 * without a length that a reset or the end of the upstream cuts is told from a complete one.
 *
 * @param post - Upstream and body
 * @returns Complete response
 * @throws Error if the connection fails or is reset, or the signal is aborted
 */
export async function sendDedicated(post: DedicatedRequest): Promise<CompleteResponse> {
  let hasReset = false;
  let witness: ProcessWitness | undefined;
  const { origin, pathname, search } = new URL(post.url);
  const client = new Client(origin, {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: defaults.maxCallResponseBytes,
    connect: createObservedConnector(() => {
      hasReset = true;
    }),
  });
  const close = (): void => {
    client.destroy().catch(() => undefined);
  };
  post.signal.addEventListener('abort', close, { once: true });
  try {
    return await new Promise<CompleteResponse>((resolve, reject) => {
      let status = 0;
      const parts: Buffer[] = [];
      if (post.signal.aborted) close();
      client.dispatch(
        {
          path: `${pathname}${search}`,
          method: 'POST',
          reset: true,
          headers: { 'content-type': 'application/json' },
          body: Buffer.from(post.body),
        },
        {
          onRequestStart: () => undefined,
          onResponseStart: (_controller, statusCode, headers) => {
            if (statusCode < MIN_FINAL_STATUS) return;
            status = statusCode;
            witness = createWitness(post, statusCode, headers);
          },
          onResponseData: (_controller, data) => {
            parts.push(data);
          },
          onResponseEnd: () => {
            if (hasReset) {
              reject(new errors.SocketError('connection was reset within the response'));
              return;
            }
            const settle = (isComplete: boolean): void => {
              if (isComplete) resolve({ status, body: new Uint8Array(Buffer.concat(parts)) });
              else reject(new errors.SocketError('response ended with its upstream'));
            };
            if (witness === undefined) settle(true);
            else void witness.confirm().then(settle);
          },
          onResponseError: (_controller, error) => {
            reject(error);
          },
        },
      );
    });
  } finally {
    post.signal.removeEventListener('abort', close);
    witness?.close();
    close();
  }
}
