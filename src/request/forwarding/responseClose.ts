import type { CallerExchange } from './types.js';

/**
 * Observes the end of a response: all of it was handed to the operating system, or its connection was closed.
 *
 * Node emits `close` only on the response that is being written, not on those that wait for it on the same connection.
 *
 * @param exchange - Request and response
 * @param listener - Called once
 */
export function observeClose(exchange: CallerExchange, listener: () => void): void {
  const { response } = exchange;
  const { socket } = exchange.request;
  const finish = (): void => {
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
