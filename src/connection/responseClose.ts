import type { IncomingMessage, ServerResponse } from 'node:http';

/** Request and the response to it. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/**
 * Observes the end of a response: all of it was handed to the operating system, or its connection was closed.
 *
 * Node emits `close` only on the response that is being written, not on those that wait for it on the same connection. On
 * the former it does so from within the `close` of the connection, whose listeners that were removed meanwhile still run.
 *
 * @param exchange - Request and response
 * @param listener - Called once
 */
export function observeClose(exchange: Exchange, listener: () => void): void {
  const { response } = exchange;
  const { socket } = exchange.request;
  let hasFinished = false;
  const finish = (): void => {
    if (hasFinished) return;
    hasFinished = true;
    response.off('close', finish);
    socket.off('close', finish);
    listener();
  };
  if (socket.closed) {
    listener();
    return;
  }
  response.once('close', finish);
  socket.once('close', finish);
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
