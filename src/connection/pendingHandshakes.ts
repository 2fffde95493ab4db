import type { Server, Socket } from 'node:net';

/** Connections whose TLS handshake is not complete; beyond them the oldest is closed. */
const MAX_PENDING = 64;

/** Option of a TLS server: time in which a handshake has to be complete. */
export const HANDSHAKE_TIMEOUT_MS = 5_000;

/**
 * Limits the connections on which nobody has proved to hold a certificate, which are no connections of the server yet.
 *
 * @param server - TLS server
 */
export function limitHandshakes(server: Server): void {
  /** Connections by the address of the peer, which is all that a connection and its TLS socket have in common. */
  const pending = new Map<string, Socket>();
  server.on('connection', (socket: Socket) => {
    const peer = formatPeer(socket);
    pending.set(peer, socket);
    socket.once('close', () => {
      if (pending.get(peer) === socket) pending.delete(peer);
    });
    const [oldest] = pending;
    if (oldest === undefined || pending.size <= MAX_PENDING) return;
    pending.delete(oldest[0]);
    oldest[1].destroy();
  });
  // Node reports a handshake that fails or takes too long, and leaves its connection open.
  server.on('tlsClientError', (_error: Error, socket: Socket) => {
    socket.destroy();
  });
  server.on('secureConnection', (socket: Socket) => {
    pending.delete(formatPeer(socket));
  });
}

function formatPeer({ remoteAddress, remotePort }: Socket): string {
  return `${remoteAddress ?? ''} ${remotePort ?? ''}`;
}
