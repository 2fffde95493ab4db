import type { ServiceId } from '../../ids.js';
import type { RoutingConfiguration } from './types.js';

/**
 * Computes the shortest gap between events that the streams of each service allow.
 *
 * @param configuration - Configuration
 * @returns Milliseconds by service, without services that have no streams
 */
export function computeMaxGaps({ routes }: RoutingConfiguration): Map<ServiceId, number> {
  const gapsMs = new Map<ServiceId, number>();
  for (const { eventGapTargetMs, shares } of routes) {
    if (eventGapTargetMs <= 0) continue;
    for (const { service } of shares) {
      gapsMs.set(service, Math.min(gapsMs.get(service) ?? Infinity, eventGapTargetMs));
    }
  }
  return gapsMs;
}
