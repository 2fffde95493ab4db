import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

/** When and on which connection a request was sent. */
export interface SentRequest {
  readonly sentAt: number;
  readonly connectedAt: number;
  /** Number of requests that were sent on the connection before. */
  readonly earlierRequests: number;
}

interface Connection {
  readonly connectedAt: number;
  requests: number;
}

const REQUEST_ID_HEADER = /^x-request-id: (\S+)/im;

const connections = new WeakMap<Socket, Connection>();
const sent = new Map<string, SentRequest>();
let count = 0;
let isObserving = false;

/**
 * Creates an id for the header `x-request-id` of a request that undici sends, so that it can be looked up later.
 *
 * @returns The id
 */
export function createRequestId(): string {
  startObserving();
  count += 1;
  return `sent-${process.pid}-${count}`;
}

/**
 * Looks up when a request was sent, and forgets it.
 *
 * @param requestId - Id of the request
 * @returns What is known, or undefined if it was not written to a connection
 */
export function takeSentRequest(requestId: string): SentRequest | undefined {
  const found = sent.get(requestId);
  sent.delete(requestId);
  return found;
}

function startObserving(): void {
  if (isObserving) return;
  isObserving = true;
  subscribe('undici:client:connected', (message) => {
    const { socket } = message as { socket: Socket };
    connections.set(socket, { connectedAt: Date.now(), requests: 0 });
  });
  subscribe('undici:client:sendHeaders', (message) => {
    const { headers, socket } = message as { headers: string; socket: Socket };
    const connection = connections.get(socket);
    const requestId = REQUEST_ID_HEADER.exec(headers)?.[1];
    if (connection === undefined || requestId === undefined) return;
    const { connectedAt, requests } = connection;
    sent.set(requestId, { sentAt: Date.now(), connectedAt, earlierRequests: requests });
    connection.requests += 1;
  });
}
