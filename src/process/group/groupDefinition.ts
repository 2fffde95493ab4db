import { toId } from '../../ids.js';
import type { ConfigurationView } from '../../version/configuration/types.js';
import type { Service } from '../../version/ticket/types.js';

/** A complete group as defined by the configuration. */
export interface GroupDefinition {
  readonly id: string;
  readonly rank: number;
  /** Upstream and link address by rank. */
  readonly ranks: readonly { readonly upstream: string; readonly address: string }[];
  readonly experts: NonNullable<Service['experts']>;
  readonly service: Service;
}

/**
 * Finds the definition of the group of an upstream.
 *
 * @param configuration - Active configuration
 * @param serviceId - Service of the upstream
 * @param upstreamId - The upstream
 * @returns The definition; undefined when the upstream has no group, or ranks or experts are not configured
 */
export function findGroupDefinition(
  configuration: ConfigurationView,
  serviceId: string,
  upstreamId: string,
): GroupDefinition | undefined {
  const service = configuration.getService(toId(serviceId));
  const membership = configuration.getUpstream(toId(upstreamId))?.group;
  if (service?.experts === undefined || membership === undefined) return undefined;
  const ranks: { upstream: string; address: string }[] = [];
  let count = 0;
  for (const { id, state } of configuration.listUpstreams(toId(serviceId))) {
    if (state.group?.id !== membership.id) continue;
    count += 1;
    ranks[state.group.rank] = { upstream: id, address: state.address };
  }
  // A missing or duplicate rank makes the group incomplete.
  if (ranks.length !== count || Object.keys(ranks).length !== count) return undefined;
  return { id: membership.id, rank: membership.rank, ranks, experts: service.experts, service };
}
