import type { UpstreamId } from '../../ids.js';
import { sortByRendezvousHash } from '../../request/routing/rendezvous.js';
import type { Upstream } from '../../version/ticket/types.js';

export interface ConfiguredUpstream {
  readonly id: UpstreamId;
  readonly state: Upstream;
}

/**
 * Selects the upstreams of one service that this entry links to. Takes them from the availability
 * zones in turn, so that links remain when one zone is lost.
 *
 * @param processId - Id of this entry, the rendezvous key; each entry selects a different subset
 * @param upstreams - All upstreams of the service
 * @param limit - Maximum number of upstreams
 * @returns The selected upstreams
 */
export function selectSubset(
  processId: string,
  upstreams: readonly ConfiguredUpstream[],
  limit: number,
): ConfiguredUpstream[] {
  const zones = new Map<string, ConfiguredUpstream[]>();
  for (const upstream of upstreams) {
    const zone = zones.get(upstream.state.availabilityZone) ?? [];
    zone.push(upstream);
    zones.set(upstream.state.availabilityZone, zone);
  }
  const queues = [...zones.keys()]
    .sort()
    .map((zone) => sortByRendezvousHash(processId, zones.get(zone) ?? [], ({ id }) => id));
  const selected: ConfiguredUpstream[] = [];
  const longest = Math.max(0, ...queues.map((queue) => queue.length));
  for (let rank = 0; rank < longest; rank += 1) {
    for (const queue of queues) {
      const upstream = queue[rank];
      if (upstream === undefined) continue;
      if (selected.length >= limit) return selected;
      selected.push(upstream);
    }
  }
  return selected;
}
