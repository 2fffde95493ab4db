import { request } from 'undici';
import type { OrderCallers, PlaceOrder } from './orderCallers.js';
import { RESPONSE_TIMEOUT_MS } from './orderCallers.js';
import type { OrderFleet } from './orderFleet.js';

const HTTP_OK = 200;

/**
 * Creates a baseline agent, which sends orders to the upstreams under a new id for each attempt and treats a
 * timeout or a connection reset as an order that did not run.
 *
 * @param fleet - Fleet whose plain services receive the orders
 * @param resends - Whether a failed order is sent to the next upstream; otherwise it is reported as `not-run`
 * @returns Callers that reach the upstreams through this agent
 */
export function createBaselineAgent(fleet: OrderFleet, resends: boolean): OrderCallers {
  const urls = fleet.agents.map(({ upstreamUrl }) => `${upstreamUrl}/orders`);
  const maxAttempts = resends ? urls.length : 1;
  const limits = { headersTimeout: RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS };
  const place: PlaceOrder = async (intent, _plan, random) => {
    const first = Math.floor(random() * urls.length);
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      try {
        const reply = await request(urls[(first + attempt) % urls.length] ?? '', {
          method: 'POST',
          headers: { 'content-type': 'application/json', 'x-order-id': `${intent}-${attempt}` },
          body: JSON.stringify({ intent }),
          ...limits,
        });
        await reply.body.dump();
        if (reply.statusCode === HTTP_OK) return { reportedState: 'done' };
      } catch {
        // Treated as an order that did not run.
      }
    }
    return { reportedState: 'not-run' };
  };
  return { place, close: () => Promise.resolve() };
}
