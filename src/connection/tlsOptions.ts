import { readFileSync } from 'node:fs';
import type { TLSSocket } from 'node:tls';

/** Paths of PEM files for mutual TLS on internal links and the operator port. */
export interface TlsPaths {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/** Certificates and key for mutual TLS; without them, plain TCP is used, which is allowed on loopback only. */
export interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer;
}

/**
 * Reads the PEM files.
 *
 * @param paths - File paths
 * @returns File contents
 * @throws Error if a file cannot be read
 */
export function readTlsMaterial(paths: TlsPaths): TlsMaterial {
  return {
    cert: readFileSync(paths.cert),
    key: readFileSync(paths.key),
    ca: readFileSync(paths.ca),
  };
}

/**
 * Checks whether the peer's certificate was signed by the configured certificate authority.
 *
 * @param socket - Connected TLS socket
 * @returns True for an authorized peer
 */
export function isAuthorizedPeer(socket: TLSSocket): boolean {
  return socket.authorized;
}
