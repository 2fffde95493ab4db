import type { Hello } from '../../connection/peerLink.js';
import { defaults } from '../../defaults.js';
import type { AgentOptions } from '../types.js';
import type { OrderMemory } from './orderMemory.js';
import type { OrderRunner } from './orderRunner.js';

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
 * @param drainStartedAt - Start of the drain, in milliseconds
 * @param now - Current time in milliseconds
 * @returns True while orders are queued or running, or bodies of issued slots may still arrive
 */
export function isOrderPending(
  orders: OrderRunner | undefined,
  memory: OrderMemory | undefined,
  drainStartedAt: number,
  now: number,
): boolean {
  if ((orders?.pending ?? 0) > 0) return true;
  const open = memory?.countStates().open ?? 0;
  if (open === 0) return false;
  return now - Math.max(orders?.lastPutAt ?? 0, drainStartedAt) < SLOT_GRACE_MS;
}
