import { Err, Ok } from 'ts-results-es';
import { createError } from '../../errors.js';
import type { ServiceId } from '../../ids.js';
import { toId } from '../../ids.js';
import { checkAccess, computeDeadline } from './authenticate.js';
import { readJson } from './readBody.js';
import { sendBody, sendJson } from './respond.js';
import type { RouteHandler } from './types.js';

/**
 * Handles `POST /v1/services/:service/calls` and returns the response of the service unchanged.
 *
 * @param exchange - HTTP exchange
 * @param context - Components of the entry
 * @returns Nothing, or the error to respond with
 */
export const handleCall: RouteHandler = async (exchange, context) => {
  const id = toId<ServiceId>(exchange.params.service ?? '');
  const access = checkAccess(context.configuration, exchange.workspace, id);
  if (access.isErr()) return access;
  const service = access.value;
  if (service.kind !== 'plain')
    return Err(createError('bad_request', `service ${id} takes chats, not calls`));
  const header = exchange.request.headers['x-deadline-ms'];
  const deadline = computeDeadline(header, service.defaultDeadlineMs, exchange.arrivedAt);
  if (deadline.isErr()) return deadline;
  const read = await readJson(exchange.request, exchange.bodyLimits);
  if (read.isErr()) return read;
  const { bytes } = read.value;
  const ran = await context.runner.run({
    workspace: exchange.workspace,
    service: id,
    kind: 'call',
    text: bytes.toString('utf8'),
    body: bytes,
    cost: 1,
    repeatable: service.repeatable,
    deadlineAt: deadline.value,
    signal: exchange.signal,
    onTokens: () => undefined,
  });
  if (ran.isErr()) return ran;
  sendBody(exchange.response, ran.value.end.status || 200, ran.value.end.body);
  return Ok(undefined);
};

/**
 * Handles `GET /v1/models`: lists the engine services of which the workspace holds a share.
 *
 * @param exchange - HTTP exchange
 * @param context - Components of the entry
 * @returns Nothing
 */
export const listModels: RouteHandler = ({ workspace, response }, { configuration }) => {
  const services = configuration.listServices().filter((id) => {
    const access = checkAccess(configuration, workspace, id);
    return access.isOk() && access.value.kind === 'engine';
  });
  const data = services.map((id) => ({ id, object: 'model', owned_by: 'parsleyfold' }));
  sendJson(response, 200, { object: 'list', data });
  return Promise.resolve(Ok(undefined));
};
