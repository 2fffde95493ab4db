import type { Socket } from 'node:net';
import { connect } from 'node:net';
import type { ConnectionOptions } from 'node:tls';
import { connect as connectTls } from 'node:tls';

/** Bytes received by a peer that sends raw bytes. */
export interface RawResponse {
  readonly received: Buffer;
  /** The remote side closed the connection before the time-out. */
  readonly closed: boolean;
}

/**
 * Sends bytes and collects the received bytes until the remote side closes the connection or the time-out elapses.
 *
 * @param port - Loopback port
 * @param bytes - Bytes to send after connecting
 * @param options - TLS options, absent for plain TCP, and the time-out in milliseconds
 * @returns Received bytes, also when the connection fails
 */
export function sendRaw(
  port: number,
  bytes: Uint8Array | string,
  options: { tls?: ConnectionOptions; timeoutMs?: number } = {},
): Promise<RawResponse> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    const address = { host: '127.0.0.1', port };
    const socket: Socket =
      options.tls === undefined
        ? connect(address)
        : connectTls({ ...options.tls, ...address, checkServerIdentity: () => undefined });
    const finish = (closed: boolean): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve({ received: Buffer.concat(parts), closed });
    };
    const timer = setTimeout(() => {
      finish(false);
    }, options.timeoutMs ?? 1_000);
    socket.on('data', (part: Buffer) => parts.push(part));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      finish(true);
    });
    socket.write(bytes);
  });
}
