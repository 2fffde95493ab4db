import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';
import { defaults } from '../../defaults.js';
import type { RequestError } from '../../errors.js';
import { createError } from '../../errors.js';
import type { ServiceId, WorkspaceId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { OrderIdParts } from '../../protocol/orderId.js';
import { parseOrderId } from '../../protocol/orderId.js';
import { checkAccess, computeDeadline } from '../http/authenticate.js';
import { readBody, readJson } from '../http/readBody.js';
import { sendJson } from '../http/respond.js';
import type { Route, RouteHandler } from '../http/types.js';
import type { OrderCall } from './orderDispatcher.js';

const MAX_SLOTS_PER_REQUEST = 1_000;
const slotSchema = z.object({
  count: z.number().int().min(1).max(MAX_SLOTS_PER_REQUEST).default(1),
});

const handleSlots: RouteHandler = async (exchange, context) => {
  const { workspace, request, arrivedAt, response } = exchange;
  const id = toId<ServiceId>(exchange.params.service ?? '');
  const access = checkAccess(context.configuration, workspace, id);
  if (access.isErr()) return access;
  if (!access.value.orders) return Err(createError('forbidden', `service ${id} takes no orders`));
  const read = await readJson(request, exchange.bodyLimits);
  if (read.isErr()) return read;
  const parsed = slotSchema.safeParse(read.value.value ?? {});
  if (!parsed.success)
    return Err(createError('bad_request', `count: expected 1 to ${MAX_SLOTS_PER_REQUEST}`));
  const header = request.headers['x-deadline-ms'];
  const deadline = computeDeadline(header, access.value.defaultDeadlineMs, arrivedAt);
  if (deadline.isErr()) return deadline;
  const { count } = parsed.data;
  const slots = await context.orders.requestSlots(workspace, id, count, deadline.value);
  if (slots.isErr()) return slots;
  const { ids, expiresInMs } = slots.value;
  sendJson(response, 201, { id: ids[0], ids, expires_in_ms: expiresInMs });
  return Ok(undefined);
};

function createOrderHandler(type: OrderCall['type']): RouteHandler {
  return async (exchange, context) => {
    const { params, workspace, request, arrivedAt, response } = exchange;
    const id = params.id ?? '';
    const parsed = parseWorkspaceOrderId(id, workspace, params.service ?? '');
    if (parsed.isErr()) return parsed;
    const service = context.configuration.getService(toId(parsed.value.service));
    const defaultMs = service?.defaultDeadlineMs ?? defaults.requestDeadlineMs;
    const deadline = computeDeadline(request.headers['x-deadline-ms'], defaultMs, arrivedAt);
    if (deadline.isErr()) return deadline;
    const read = await readBody(request, exchange.bodyLimits);
    if (read.isErr()) return read;
    const remainingMs = deadline.value - Date.now();
    if (remainingMs <= 0)
      return Err(createError('timeout', 'the deadline passed; nothing was sent'));
    // The reply could come after this entry has ended; at another one the caller can repeat the order.
    if (type === 'orderPut' && deadline.value > context.getDrainEnd())
      return Err(createError('draining', 'this entry shuts down; nothing was sent'));
    const call = { type, id, parts: parsed.value, body: read.value, remainingMs };
    const ran = await context.orders.run(call);
    if (ran.isErr()) return ran;
    sendJson(response, 200, ran.value);
    return Ok(undefined);
  };
}

function parseWorkspaceOrderId(
  id: string,
  workspace: WorkspaceId,
  service: string,
): Result<OrderIdParts, RequestError> {
  const parsed = parseOrderId(id);
  if (parsed.isErr()) return Err(createError('bad_request', parsed.error));
  const parts = parsed.value;
  if (parts.workspace === workspace && parts.service === service) return Ok(parts);
  return Err(createError('forbidden', 'the order belongs to another workspace or service'));
}

const SLOTS_PATH = '/v1/services/:service/orders';
const ORDER_PATH = '/v1/services/:service/orders/:id';

/** Order routes; a failed slot request is always `not-run`, because no order id was issued. */
export const orderRoutes: readonly Route[] = [
  {
    method: 'post',
    path: SLOTS_PATH,
    handle: handleSlots,
    errorFields: { outcome: 'not-run' },
  },
  { method: 'put', path: ORDER_PATH, handle: createOrderHandler('orderPut') },
  { method: 'get', path: ORDER_PATH, handle: createOrderHandler('orderGet') },
  { method: 'delete', path: ORDER_PATH, handle: createOrderHandler('orderCancel') },
];
