import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { connect as connectTls } from 'node:tls';
import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';
import { defaults } from '../defaults.js';
import { isAddress } from './address.js';
import type { HandshakeError } from './handshake.js';
import { performHandshake } from './handshake.js';
import type { CloseReason, Hello, PeerLink, PeerLinkOptions } from './peerLink.js';
import type { TlsMaterial } from './tlsOptions.js';

export interface LinkClientOptions extends PeerLinkOptions {
  /** Peer address as `ip:port`. */
  readonly address: string;
  readonly self: () => Hello;
  readonly tls?: TlsMaterial | undefined;
}

export interface MaintainLinkOptions extends LinkClientOptions {
  readonly onLink: (link: PeerLink) => void;
  readonly onDown: (reason: CloseReason | HandshakeError['code']) => void;
  /** Stops the reconnect loop and closes the link. */
  readonly signal: AbortSignal;
}

/**
 * Splits an address into host and port.
 *
 * @param address - `ip:port`; IPv6 addresses are enclosed in brackets
 * @returns Host and port
 */
export function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}

/**
 * Opens one link.
 *
 * @param options - Address, identity and handlers
 * @returns The open link, or why it could not be opened
 */
export async function openLink(
  options: LinkClientOptions,
): Promise<Result<PeerLink, HandshakeError>> {
  if (!isAddress(options.address)) {
    return Err({
      code: 'invalid_address',
      message: `no connection to ${options.address} possible`,
    });
  }
  const { host, port } = parseAddress(options.address);
  const socket: Socket =
    options.tls === undefined
      ? connect({ host, port, noDelay: true })
      : connectTls({ ...options.tls, host, port, checkServerIdentity: () => undefined });
  const event = options.tls === undefined ? 'connect' : 'secureConnect';
  const connected = await waitForConnect(socket, event);
  if (connected !== undefined) {
    socket.destroy();
    return Err(connected);
  }
  return performHandshake(socket, options.self(), options);
}

/**
 * Maintains a link to one peer and reconnects it until aborted; runs once per peer.
 *
 * @param options - Address, identity, handlers and listeners
 */
export async function maintainLink(options: MaintainLinkOptions): Promise<void> {
  let failures = 0;
  while (!options.signal.aborted) {
    const opened = await openLink(options);
    if (opened.isErr()) {
      failures += 1;
      options.onDown(opened.error.code);
    } else {
      failures = 0;
      const link = opened.value;
      const abort = (): void => {
        link.close();
      };
      options.signal.addEventListener('abort', abort, { once: true });
      options.onLink(link);
      const reason = await new Promise<CloseReason>((resolve) => {
        link.onClose(resolve);
      });
      options.signal.removeEventListener('abort', abort);
      options.onDown(reason);
    }
    const delayMs = computeReconnectDelay(failures, Math.random());
    await sleep(delayMs, undefined, { signal: options.signal }).catch(() => undefined);
  }
}

/**
 * Computes an exponential backoff with full jitter, so that the peers of a restarted host do not reconnect all at once.
 *
 * @param failures - Consecutive failed attempts
 * @param random - Uniform value in [0, 1)
 * @returns Delay in milliseconds
 */
export function computeReconnectDelay(failures: number, random: number): number {
  const ceiling = Math.min(
    defaults.reconnectMaxMs,
    defaults.reconnectMinMs * 2 ** Math.min(failures, 16),
  );
  return defaults.reconnectMinMs / 2 + random * ceiling;
}

function waitForConnect(
  socket: Socket,
  event: 'connect' | 'secureConnect',
): Promise<HandshakeError | undefined> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      resolve({ code: 'hello_timeout', message: 'connection attempt timed out' });
    }, defaults.helloTimeoutMs);
    socket.once(event, () => {
      clearTimeout(timer);
      socket.removeAllListeners('error');
      resolve(undefined);
    });
    socket.once('error', (error) => {
      clearTimeout(timer);
      socket.on('error', () => undefined);
      resolve({ code: 'closed', message: error.message });
    });
  });
}
