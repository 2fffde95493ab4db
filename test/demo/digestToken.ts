import { createHash } from 'node:crypto';

/**
 * Computes the digest of a bearer token that is stored in the configuration of a workspace.
 *
 * @param token - Bearer token
 * @returns SHA-256, lower-case hex
 */
export function digestToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}
