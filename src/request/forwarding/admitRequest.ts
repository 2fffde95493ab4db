import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { CachedConfiguration } from '../../process/gateway/configurationCache.js';
import type { RequestMetadata } from '../../process/gateway/types.js';
import type { ServiceId } from '../../ids.js';
import type { Route, ServiceShare, Workspace } from '../../version/routing/types.js';
import type { OwnAnswerCode } from './callerReply.js';
import type { ForwardingContext } from './types.js';

/** Without a fresh configuration a missing route or key may only be unknown here. */
const MAX_DENIAL_AGE_MS = 1_800;

/** A request that the configuration allows. */
export interface AdmittedRequest {
  readonly held: CachedConfiguration;
  readonly route: Route;
  readonly service: ServiceId;
  readonly workspace: Workspace | undefined;
}

/**
 * Decides whether the configuration allows a request.
 *
 * @param context - Shared state of the gateway
 * @param host - `Host` header
 * @param url - Request target
 * @param statement - What the caller states
 * @param now - Suspend-aware clock
 * @returns Route, service and workspace, or the answer that refuses the request
 */
export function admitRequest(
  context: Pick<ForwardingContext, 'holder'>,
  host: string,
  url: string,
  statement: RequestMetadata,
  now: number,
): Result<AdmittedRequest, OwnAnswerCode> {
  const { holder } = context;
  const held = holder.current;
  if (held === undefined) return Err('not_ready');
  const mayDeny = holder.computeAge(now) < MAX_DENIAL_AGE_MS;
  const route = held.table.findRoute(host, url);
  if (route === undefined) return Err(mayDeny ? 'no_route' : 'stale');
  const service = pickService(route.shares, Math.random());
  if (route.isPublic || held.configuration.workspaceByKey === undefined) {
    return Ok({ held, route, service, workspace: undefined });
  }
  if (!holder.isFresh(now)) return Err('stale');
  const workspace = holder.findWorkspace(statement.key);
  if (workspace === undefined) return Err(mayDeny ? 'unknown_key' : 'stale');
  return Ok({ held, route, service, workspace });
}

/**
 * Picks a service by weight.
 *
 * @param shares - Services of a route
 * @param random - Uniform value in [0, 1)
 * @returns The service
 */
export function pickService(shares: readonly ServiceShare[], random: number): ServiceId {
  let total = 0;
  for (const { weight } of shares) total += weight;
  let rest = random * total;
  let last: ServiceId | undefined;
  for (const { service, weight } of shares) {
    if (weight <= 0) continue;
    last = service;
    rest -= weight;
    if (rest < 0) return service;
  }
  if (last === undefined) throw new Error('a route has no service with a weight');
  return last;
}
