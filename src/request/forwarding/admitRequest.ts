import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { CachedConfiguration } from '../../process/gateway/configurationCache.js';
import type { RequestMetadata } from '../../process/gateway/types.js';
import type { ServiceId } from '../../ids.js';
import type { Route, ServiceShare, Workspace } from '../../version/routing/types.js';
import type { GatewayErrorCode } from './callerReply.js';
import type { ForwardingContext } from './types.js';

/** A route or key missing from an older configuration may have been added since, so the request is not denied. */
const MAX_CONFIGURATION_AGE_FOR_DENIAL_MS = 1_800;

/** A request that the configuration permits, with the configuration that was applied. */
export interface AdmittedRequest {
  readonly held: CachedConfiguration;
  readonly route: Route;
  readonly service: ServiceId;
  readonly workspace: Workspace | undefined;
}

/**
 * Checks a request against the configuration.
 *
 * @param context - Shared state of the gateway
 * @param host - `Host` header
 * @param url - Request target
 * @param metadata - Decoded request headers of the caller
 * @param now - Current time on the suspend-aware clock, in milliseconds
 * @returns Route, service and workspace, or the code of the error response
 */
export function admitRequest(
  context: Pick<ForwardingContext, 'configurationCache'>,
  host: string,
  url: string,
  metadata: RequestMetadata,
  now: number,
): Result<AdmittedRequest, GatewayErrorCode> {
  const { configurationCache } = context;
  const held = configurationCache.current;
  if (held === undefined) return Err('not_ready');
  const mayDeny = configurationCache.computeAge(now) < MAX_CONFIGURATION_AGE_FOR_DENIAL_MS;
  const route = held.table.findRoute(host, url);
  if (route === undefined) return Err(mayDeny ? 'no_route' : 'stale');
  const service = selectServiceByWeight(route.shares, Math.random());
  if (route.isPublic || held.configuration.workspaceByKey === undefined) {
    return checkId({ held, route, service, workspace: undefined }, metadata);
  }
  if (!configurationCache.isFresh(now)) return Err('stale');
  const workspace = configurationCache.findWorkspace(metadata.key);
  if (workspace === undefined) return Err(mayDeny ? 'unknown_key' : 'stale');
  return checkId({ held, route, service, workspace }, metadata);
}

/** Upstreams run no request without an id. */
function checkId(
  admitted: AdmittedRequest,
  { requestId }: RequestMetadata,
): Result<AdmittedRequest, GatewayErrorCode> {
  return requestId === undefined ? Err('no_request_id') : Ok(admitted);
}

/**
 * Selects a service of a route at random, in proportion to the weights.
 *
 * @param shares - Services of a route
 * @param random - Uniform value in [0, 1)
 * @returns The service
 */
export function selectServiceByWeight(shares: readonly ServiceShare[], random: number): ServiceId {
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
  if (last === undefined) throw new Error('route has no service with a positive weight');
  return last;
}
