import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Request and the response to it. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

type CloseListener = () => void;

/** Listeners of the responses that have not ended, by their connection. A connection has one listener for all of them. */
const openResponses = new WeakMap<Socket, Map<ServerResponse, CloseListener[]>>();

/**
 * Observes the end of a response: all of it was handed to the operating system, or its connection was closed.
 *
 * Node emits `close` only on the response that is being written, not on those that wait for it on the same connection. On
 * the former it does so from within the `close` of the connection.
 *
 * @param exchange - Request and response
 * @param listener - Called once
 */
export function observeClose(exchange: Exchange, listener: CloseListener): void {
  const { response } = exchange;
  const { socket } = exchange.request;
  if (socket.closed) {
    listener();
    return;
  }
  const open = openResponses.get(socket) ?? observeConnection(socket);
  const listeners = open.get(response);
  if (listeners !== undefined) {
    listeners.push(listener);
    return;
  }
  open.set(response, [listener]);
  response.once('close', () => {
    finishResponse(open, response);
  });
}

function observeConnection(socket: Socket): Map<ServerResponse, CloseListener[]> {
  const open = new Map<ServerResponse, CloseListener[]>();
  openResponses.set(socket, open);
  socket.once('close', () => {
    for (const response of open.keys()) finishResponse(open, response);
  });
  return open;
}

/** Calls the listeners of a response, unless its end has been observed already. */
function finishResponse(
  open: Map<ServerResponse, CloseListener[]>,
  response: ServerResponse,
): void {
  const listeners = open.get(response);
  if (listeners === undefined) return;
  open.delete(response);
  for (const listener of listeners) listener();
}

/**
 * Observes that the caller leaves before the response has been handed to the operating system.
 *
 * The end of its connection shows this a few turns of the event loop before its close. The connection is not half open
 * in between, since the server ends it as well.
 *
 * @param exchange - Request and response
 * @param listener - Called at most once
 */
export function observeDisconnect(exchange: Exchange, listener: () => void): void {
  const { request, response } = exchange;
  const { socket } = request;
  let hasFinished = false;
  const finish = (): void => {
    if (hasFinished) return;
    hasFinished = true;
    socket.off('end', finish);
    if (!response.writableFinished) listener();
  };
  if (socket.readableEnded) {
    finish();
    return;
  }
  socket.once('end', finish);
  observeClose(exchange, finish);
}
