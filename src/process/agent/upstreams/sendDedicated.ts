import { BoundedClient } from '../../../connection/boundedClient.js';
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
 * @throws Error if the connection fails or is reset, the response exceeds a bound, or the signal is aborted
 */
export async function sendDedicated(post: DedicatedRequest): Promise<CompleteResponse> {
  const { status, body } = await new BoundedClient().send(post.url, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: post.body,
    maxBytes: defaults.maxCallResponseBytes,
    signal: post.signal,
    hasPaused: () => post.hasPaused(),
  });
  return { status, body: new Uint8Array(body) };
}
