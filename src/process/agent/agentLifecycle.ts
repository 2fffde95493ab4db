import type { Hello } from '../../connection/peerLink.js';
import { defaults } from '../../defaults.js';
import type { AgentOptions } from '../types.js';
import type { OrderMemory } from './orderMemory.js';
import type { OrderRunner } from './orderRunner.js';

/**
 * Minimum time for which a draining agent keeps its links. A message that was sent before the announcement of the drain
 * arrived takes up to a round trip, longer if a process is busy. Without a refusal its entry must assume that it ran.
 */
const LINK_GRACE_MS = 500;
/** While issued slots are open, a drain waits until no order body has arrived for this long. */
const SLOT_GRACE_MS = 500;

/**
 * Creates the `hello` message that the agent sends first on a new link.
 *
 * @param options - Settings
 * @param incarnation - Unique id of this process start
 * @returns The `hello` message
 */
export function createHello(options: AgentOptions, incarnation: string): Hello {
  const { processId, host, availabilityZone, upstream, service } = options;
  return {
    type: 'hello',
    version: defaults.protocolVersion,
    role: 'agent',
    processId,
    incarnation,
    host,
    availabilityZone,
    upstreams: [{ upstream, service }],
  };
}

/**
 * Checks whether a drain must wait for orders.
 *
 * @param orders - Order runner, if started
 * @param memory - Order memory, if created
 * @param now - Current time in milliseconds
 * @returns True while orders are queued or running, or bodies of issued slots may still arrive
 */
export function isOrderPending(
  orders: OrderRunner | undefined,
  memory: OrderMemory | undefined,
  now: number,
): boolean {
  if ((orders?.pending ?? 0) > 0) return true;
  const open = memory?.countStates().open ?? 0;
  if (open === 0) return false;
  return now - (orders?.lastPutAt ?? 0) < SLOT_GRACE_MS;
}

/**
 * Computes until when a draining agent keeps its links although it has no work.
 *
 * @param drainStartedAt - Start of the drain, in milliseconds
 * @param latestAt - Latest time that leaves the drain time to end within its limit, in milliseconds
 * @returns Time in milliseconds
 */
export function computeLinkGraceEnd(drainStartedAt: number, latestAt: number): number {
  return Math.min(drainStartedAt + LINK_GRACE_MS, latestAt);
}
