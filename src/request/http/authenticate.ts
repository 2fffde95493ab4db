import { createHash } from 'node:crypto';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { defaults } from '../../defaults.js';
import type { RequestError } from '../../errors.js';
import { createError } from '../../errors.js';
import type { ServiceId, WorkspaceId } from '../../ids.js';
import type { ConfigurationView } from '../../version/configuration/types.js';
import type { Service } from '../../version/ticket/types.js';

const BEARER = /^Bearer +(\S+)$/i;

/**
 * Authenticates a caller by bearer token.
 *
 * @param header - `Authorization` header
 * @param configuration - Current configuration
 * @returns The workspace, or `unauthenticated`
 */
export function authenticate(
  header: string | undefined,
  configuration: ConfigurationView,
): Result<WorkspaceId, RequestError> {
  const token = BEARER.exec(header ?? '')?.[1];
  if (token === undefined) return Err(createError('unauthenticated', 'bearer token is missing'));
  const hash = createHash('sha256').update(token).digest('hex');
  const workspace = configuration.findWorkspaceByTokenHash(hash);
  if (workspace !== undefined) return Ok(workspace);
  return Err(createError('unauthenticated', 'bearer token is unknown'));
}

/**
 * Checks that a service exists and that the workspace holds a share of it.
 *
 * @param configuration - Current configuration
 * @param workspace - Caller
 * @param id - Service id from the request
 * @returns The service, or `not_found` or `forbidden`
 */
export function checkAccess(
  configuration: ConfigurationView,
  workspace: WorkspaceId,
  id: ServiceId,
): Result<Service, RequestError> {
  const service = configuration.getService(id);
  if (service === undefined) return Err(createError('not_found', `unknown service ${id}`));
  const shares = configuration.getWorkspace(workspace)?.shares ?? {};
  if (Object.hasOwn(shares, id) && (shares[id] ?? 0) > 0) return Ok(service);
  return Err(createError('forbidden', `workspace has no share of service ${id}`));
}

/**
 * Computes the deadline of a request.
 *
 * @param header - `X-Deadline-Ms`: remaining time in milliseconds
 * @param defaultMs - Remaining time without the header
 * @param now - Current time in milliseconds
 * @returns Time of the deadline in milliseconds, or `bad_request`
 */
export function computeDeadline(
  header: string | string[] | undefined,
  defaultMs: number,
  now: number,
): Result<number, RequestError> {
  if (header === undefined) return Ok(now + Math.min(defaultMs, defaults.maxDeadlineMs));
  const remainingMs = typeof header === 'string' && header !== '' ? Number(header) : Number.NaN;
  if (!Number.isFinite(remainingMs) || remainingMs < 0)
    return Err(createError('bad_request', 'X-Deadline-Ms is not a number of milliseconds'));
  return Ok(now + Math.min(remainingMs, defaults.maxDeadlineMs));
}
