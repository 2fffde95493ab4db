import { connect } from 'node:net';
import { request } from 'undici';
import { CallerClient } from '../../src/client/callerClient.js';
import { parseOrderId } from '../../src/protocol/orderId.js';
import { getExampleToken } from '../../test/support/deployment.js';
import { waitMs } from '../../test/support/waiting.js';
import type { FaultPlan } from './orderFaults.js';
import type { OrderFleet } from './orderFleet.js';
import { ORDER_SERVICE } from './orderFleet.js';
import type { ReportedState } from './orderVerifier.js';

const WORKSPACE = 'branch-ikeja';
/** Longer than the longest pause of an agent plus the reconnection. */
const SETTLE_TIMEOUT_MS = 12_000;
export const RESPONSE_TIMEOUT_MS = 1_200;
const BASELINE_MAX_ATTEMPTS = 3;
const CONCURRENT_REPEATS = 6;

/** State of an order as reported to its caller, and the host of the agent in the order id. */
export interface Placement {
  readonly reportedState: ReportedState;
  readonly host?: string | undefined;
  /** Why the order stayed `unknown`. */
  readonly reason?: string | undefined;
}

/** Places one order and determines its outcome; `intent` identifies it in the service's record. */
export type PlaceOrder = (
  intent: string,
  plan: FaultPlan,
  random: () => number,
) => Promise<Placement>;

/** Callers of one kind that use all entries of a fleet. */
export interface OrderCallers {
  readonly place: PlaceOrder;
  close(): Promise<void>;
}

interface Delivery {
  readonly url: string;
  readonly token: string;
  readonly body: string;
}

/** Initial PUTs whose response the caller does not receive. */
const interruptedPuts: Readonly<
  Record<string, (delivery: Delivery, random: () => number) => Promise<void>>
> = {
  aborts: putAndAbort,
  disconnectsInBody: putAndDisconnect,
};

/**
 * Creates callers that use `CallerClient`.
 *
 * @param fleet - Running fleet
 * @returns The callers
 */
export function createCallers(fleet: OrderFleet): OrderCallers {
  const entries = fleet.cluster.entries.map((entry) => entry.httpUrl);
  const token = getExampleToken(WORKSPACE);
  const client = new CallerClient({
    entries,
    token,
    settleLimitMs: SETTLE_TIMEOUT_MS,
    answerTimeoutMs: RESPONSE_TIMEOUT_MS,
  });
  const place: PlaceOrder = async (intent, plan, random) => {
    const slot = await client.takeSlot(ORDER_SERVICE);
    if (slot.isErr()) return { reportedState: 'not-run' };
    const order = slot.value;
    const host = parseOrderId(order).unwrapOr(undefined)?.host;
    const body = { intent };
    if (plan.maxPutDelayMs !== undefined) await waitMs(plan.maxPutDelayMs * random());
    const entry = entries[Math.floor(random() * entries.length)] ?? '';
    const url = `${entry}/v1/services/${ORDER_SERVICE}/orders/${order}`;
    await interruptedPuts[plan.caller ?? '']?.({ url, token, body: JSON.stringify(body) }, random);
    const repeats = plan.caller === 'repeats' ? CONCURRENT_REPEATS : 1;
    const outcomes = await Promise.all(
      Array.from({ length: repeats }, () => client.deliverOrder(ORDER_SERVICE, order, body)),
    );
    const states = outcomes.map((outcome) => (outcome.isErr() ? 'not-run' : outcome.value.state));
    if (states.includes('done')) return { reportedState: 'done', host };
    if (states.every((state) => state === 'not-run')) return { reportedState: 'not-run', host };
    const reason = outcomes.map((outcome) => (outcome.isOk() ? outcome.value.reason : ''))[0];
    return { reportedState: 'unknown', host, reason };
  };
  return { place, close: () => client.close() };
}

/**
 * Creates callers that treat every missing response as a failed order and place it again under a new id.
 *
 * @param fleet - Running fleet
 * @returns The callers
 */
export function createBaselineCallers(fleet: OrderFleet): OrderCallers {
  const entries = fleet.cluster.entries.map((entry) => entry.httpUrl);
  const token = getExampleToken(WORKSPACE);
  const headers = { authorization: `Bearer ${token}`, 'content-type': 'application/json' };
  const limits = { headersTimeout: RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS };
  const place: PlaceOrder = async (intent, plan, random) => {
    const body = JSON.stringify({ intent });
    for (let attempt = 0; attempt < BASELINE_MAX_ATTEMPTS; attempt += 1) {
      const base = `${entries[attempt % entries.length] ?? ''}/v1/services/${ORDER_SERVICE}/orders`;
      try {
        const issued = await request(base, { method: 'POST', headers, body: '{}', ...limits });
        const { ids } = (await issued.body.json()) as { ids?: string[] };
        const id = ids?.[0];
        if (id === undefined) continue;
        const interruptedPut = attempt === 0 ? interruptedPuts[plan.caller ?? ''] : undefined;
        if (interruptedPut !== undefined) {
          await interruptedPut({ url: `${base}/${id}`, token, body }, random);
          continue;
        }
        const reply = await request(`${base}/${id}`, { method: 'PUT', headers, body, ...limits });
        const { state } = (await reply.body.json()) as { state?: string };
        if (state === 'done') return { reportedState: 'done' };
      } catch {
        // Treated as a failed order.
      }
    }
    return { reportedState: 'not-run' };
  };
  return { place, close: () => Promise.resolve() };
}

/** Aborts the PUT after 5 to 65 ms, an integer because `AbortSignal.timeout` throws on a fraction. */
async function putAndAbort({ url, token, body }: Delivery, random: () => number): Promise<void> {
  try {
    const reply = await request(url, {
      method: 'PUT',
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body,
      signal: AbortSignal.timeout(Math.ceil(5 + 60 * random())),
    });
    await reply.body.dump();
  } catch {
    // The response is deliberately discarded.
  }
}

/** Closes the connection at a random byte of the body, or right after the last one. */
function putAndDisconnect({ url, token, body }: Delivery, random: () => number): Promise<void> {
  const { hostname, port, pathname } = new URL(url);
  const head = [
    `PUT ${pathname} HTTP/1.1`,
    `host: ${hostname}:${port}`,
    `authorization: Bearer ${token}`,
    'content-type: application/json',
    `content-length: ${body.length}`,
  ];
  const sent = body.slice(0, Math.ceil(body.length * random()));
  return new Promise((resolve) => {
    const socket = connect(Number(port), hostname, () => {
      socket.write(`${head.join('\r\n')}\r\n\r\n${sent}`, () => {
        socket.destroy();
      });
    });
    socket.on('error', () => undefined);
    socket.once('close', () => {
      resolve();
    });
  });
}
