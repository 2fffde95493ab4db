import type { Hello } from '../../connection/peerLink.js';
import { defaults } from '../../defaults.js';
import type { AgentOptions } from '../types.js';
import type { OrderMemory } from './orderMemory.js';
import type { OrderRunner } from './orderRunner.js';

/** A drain waits this long without order messages for bodies of issued slots. */
const SLOT_GRACE_MS = 500;

/**
 * Creates the agent's introduction on a new link.
 *
 * @param options - Settings
 * @param incarnation - Drawn at the start of the process
 * @returns The first message
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
 * Checks whether a drain has to wait for orders.
 *
 * @param orders - Runner of the orders
 * @param memory - Memory of the slots
 * @param drainStartedAt - Start of the drain, milliseconds
 * @param now - Milliseconds
 * @returns True while orders run, or bodies of issued slots may still come
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
