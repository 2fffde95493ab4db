import { Err, Ok } from 'ts-results-es';
import { createError } from '../../errors.js';
import { checkAccess, computeDeadline } from './authenticate.js';
import type { ChatRequest } from './chatRequest.js';
import { estimateCost, parseChat } from './chatRequest.js';
import { ChatStream } from './chatStream.js';
import { readJson } from './readBody.js';
import { sendJson } from './respond.js';
import type { Exchange, RouteHandler } from './types.js';

const MS_PER_SECOND = 1_000;

/**
 * Handles `POST /v1/chat/completions`.
 *
 * @param exchange - HTTP exchange
 * @param context - Components of the entry
 * @returns Nothing, or the error to respond with
 */
export const handleChat: RouteHandler = async (exchange, context) => {
  const read = await readJson(exchange.request, exchange.bodyLimits);
  if (read.isErr()) return read;
  const parsed = parseChat(read.value.value);
  if (parsed.isErr()) return parsed;
  const chat = parsed.value;
  const access = checkAccess(context.configuration, exchange.workspace, chat.service);
  if (access.isErr()) return access;
  const service = access.value;
  if (service.kind !== 'engine')
    return Err(createError('bad_request', `service ${chat.service} takes calls, not chats`));
  const { arrivedAt, response } = exchange;
  const header = exchange.request.headers['x-deadline-ms'];
  const deadline = computeDeadline(header, service.defaultDeadlineMs, arrivedAt);
  if (deadline.isErr()) return deadline;

  const maxTokens = Math.min(chat.maxTokens ?? service.maxOutputTokens, service.maxOutputTokens);
  const created = Math.floor(arrivedAt / MS_PER_SECOND);
  const stream = new ChatStream(response, exchange.requestId, chat.service, created);
  const texts: string[] = [];
  let firstTokenAt: number | undefined;
  const ran = await context.runner.run({
    workspace: exchange.workspace,
    service: chat.service,
    kind: 'chat',
    text: chat.prompt,
    body: Buffer.from(JSON.stringify({ prompt: chat.prompt, max_tokens: maxTokens })),
    cost: estimateCost(chat.prompt, maxTokens),
    repeatable: true,
    deadlineAt: deadline.value,
    signal: exchange.signal,
    onTokens: (tokens) => {
      if (firstTokenAt === undefined) {
        firstTokenAt = Date.now();
        context.metrics.recordLatency('first_token', firstTokenAt - arrivedAt);
      }
      if (chat.stream) stream.push(tokens);
      else for (const token of tokens) texts.push(token);
    },
  });
  if (ran.isErr()) {
    if (!response.headersSent) return ran;
    context.metrics.addCount('streams_cut');
    stream.fail(ran.error);
    return Ok(undefined);
  }
  const { end, outputTokens } = ran.value;
  const usage = formatUsage(end.usage.promptTokens, outputTokens);
  if (chat.stream) stream.end(end.finishReason, usage);
  else sendCompletion(exchange, chat, texts.join(''), end.finishReason, usage);
  return Ok(undefined);
};

function formatUsage(promptTokens: number, outputTokens: number): Record<string, number> {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: outputTokens,
    total_tokens: promptTokens + outputTokens,
  };
}

function sendCompletion(
  exchange: Exchange,
  chat: ChatRequest,
  content: string,
  finishReason: string,
  usage: Record<string, number>,
): void {
  sendJson(exchange.response, 200, {
    id: exchange.requestId,
    object: 'chat.completion',
    created: Math.floor(exchange.arrivedAt / MS_PER_SECOND),
    model: chat.service,
    choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: finishReason }],
    usage,
  });
}
