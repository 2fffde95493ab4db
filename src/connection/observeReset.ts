import type { Socket } from 'node:net';

/**
 * Observes the reset of a connection. undici takes a reset after a body without a length for the end of the body, so the
 * listeners must be added before its own.
 *
 * @param socket - Connection that undici does not use yet
 * @param onReset - Called before undici ends the response; possibly more than once
 */
export function observeReset(socket: Socket, onReset: () => void): void {
  socket.prependListener('error', onReset);
  // Node reports a reset that it reads together with earlier bytes as an orderly end; only then the peer is unknown.
  socket.prependListener('end', () => {
    if (socket.remoteAddress === undefined) onReset();
  });
}
