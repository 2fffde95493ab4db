import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';
import { z } from 'zod';
import { readBoundedText } from '../../../connection/readBounded.js';
import { defaults } from '../../../defaults.js';
import { createFailedResult } from './failure.js';
import { DeadlineExceededError, guardExpiry } from './guardExpiry.js';
import type { Exchange, ExchangeResult, UpstreamAdapter, UpstreamLoad } from './types.js';

/** Chat request body: OpenAI messages, or a plain prompt. */
const bodySchema = z.object({
  prompt: z.string().optional(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).optional(),
  max_tokens: z.number().int().positive().optional(),
});

const lineSchema = z.union([
  z.object({ index: z.number(), token: z.string() }),
  z.object({ done: z.literal(true), finish_reason: z.string(), prompt_tokens: z.number() }),
]);
const loadSchema = z.object({ running: z.number(), steps: z.number() });

const REFUSED_STATUS = 503;
/** Load counters, or the response to a probe of one token. */
const MAX_PROBE_BYTES = 64 * 1024;

/**
 * Parses the prompt of a chat body. The same body always yields the same prompt.
 *
 * @param body - JSON body from the caller
 * @returns Prompt and output limit, or undefined when the body is not a chat request
 */
export function parseChatBody(
  body: Uint8Array,
): { prompt: string; maxTokens: number | undefined } | undefined {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString('utf8'));
  } catch {
    return undefined;
  }
  const parsed = bodySchema.safeParse(value);
  if (!parsed.success) return undefined;
  const { prompt, messages, max_tokens: maxTokens } = parsed.data;
  if (prompt !== undefined) return { prompt, maxTokens };
  if (messages === undefined) return undefined;
  const lines = messages.map(({ role, content }) => `${role}: ${content}\n`);
  return { prompt: lines.join(''), maxTokens };
}

/**
 * Creates the adapter for engines that stream tokens as NDJSON.
 *
 * @param url - Base URL of the engine
 * @returns The adapter
 */
export function createEngineAdapter(url: string): UpstreamAdapter {
  const dispatcher = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
  const post = (
    path: string,
    body: unknown,
    signal: AbortSignal,
    requestDispatcher: Dispatcher = dispatcher,
  ) =>
    request(`${url}${path}`, {
      method: 'POST',
      // A repeated or late answer on a kept connection would count as the answer to the next request.
      reset: true,
      dispatcher: requestDispatcher,
      signal,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });

  const cancel = async (id: string): Promise<void> => {
    try {
      const answer = await post('/v1/cancel', { request_id: id }, AbortSignal.timeout(1_000));
      await answer.body.dump();
    } catch {
      // Ignored: the engine also detects the closed connection.
    }
  };

  const run = async (exchange: Exchange): Promise<ExchangeResult> => {
    const { id, signal, resumeAfter, resumeText, priority } = exchange;
    const chat = parseChatBody(exchange.body);
    if (chat === undefined) {
      return fail('bad_request', 'body is not a chat request', false);
    }
    const message = {
      request_id: id,
      prompt: chat.prompt,
      max_tokens: Math.min(chat.maxTokens ?? exchange.maxOutputTokens, exchange.maxOutputTokens),
      priority,
      resume_after: resumeAfter,
      resume_text: resumeText,
    };
    try {
      const { isExpired } = exchange;
      const requestDispatcher =
        isExpired === undefined ? dispatcher : guardExpiry(dispatcher, isExpired);
      const answer = await post('/v1/generate', message, signal, requestDispatcher);
      if (answer.statusCode === REFUSED_STATUS) {
        await answer.body.dump();
        return fail('upstream_refused', 'engine refused the request', false);
      }
      if (answer.statusCode !== 200) {
        await answer.body.dump();
        return fail('upstream_failed', `engine responded with status ${answer.statusCode}`, true);
      }
      const end = await readStream(answer.body, resumeAfter, exchange);
      return end ?? fail('upstream_failed', 'stream ended without an end marker', true);
    } catch (error) {
      if (error instanceof DeadlineExceededError) return fail('timeout', error.message, false);
      if (signal.aborted) void cancel(id);
      return createFailedResult(error, signal.aborted);
    }
  };

  const readLoad = async (timeoutMs: number): Promise<UpstreamLoad | undefined> => {
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      const answer = await request(`${url}/v1/load`, { reset: true, dispatcher, signal });
      return loadSchema.parse(JSON.parse(await readBoundedText(answer.body, MAX_PROBE_BYTES)));
    } catch {
      return undefined;
    }
  };

  const prove = async (timeoutMs: number): Promise<boolean> => {
    const id = `probe-${Math.random().toString(36).slice(2)}`;
    const body = { request_id: id, prompt: 'probe', max_tokens: 1, priority: 1 };
    const probeRequest = { ...body, resume_after: 0, resume_text: '' };
    const signal = AbortSignal.timeout(timeoutMs);
    try {
      const answer = await post('/v1/generate', probeRequest, signal);
      const text = await readBoundedText(answer.body, MAX_PROBE_BYTES);
      return answer.statusCode === 200 && hasEndLine(text);
    } catch {
      void cancel(id);
      return false;
    }
  };

  const close = (): Promise<void> => dispatcher.destroy();
  return { preemptible: true, run, readLoad, prove, close };
}

function fail(
  code: 'bad_request' | 'timeout' | 'upstream_failed' | 'upstream_refused',
  message: string,
  started: boolean,
): ExchangeResult {
  return { kind: 'failed', code, message, started, possibleCrash: false, unreachable: false };
}

/** Forwards tokens in order, batched by read. Returns undefined for a malformed or incomplete stream. */
async function readStream(
  body: AsyncIterable<Buffer>,
  resumeAfter: number,
  exchange: Exchange,
): Promise<ExchangeResult | undefined> {
  const decoder = new TextDecoder();
  let partialLine = '';
  let expectedIndex = resumeAfter;
  const endIndex = resumeAfter + exchange.maxOutputTokens;
  for await (const data of body) {
    const lines = (partialLine + decoder.decode(data, { stream: true })).split('\n');
    partialLine = lines.pop() ?? '';
    if (partialLine.length > defaults.maxEventBytes) return undefined;
    const tokens: string[] = [];
    let end: ExchangeResult | undefined;
    for (const text of lines) {
      const line = parseLine(text);
      if (line === undefined) return undefined;
      if ('done' in line) {
        const usageFields = { finishReason: line.finish_reason, promptTokens: line.prompt_tokens };
        end = { kind: 'done', status: 200, body: new Uint8Array(0), ...usageFields };
        break;
      }
      // A gap in the indices would corrupt the text, and a stream beyond its limit may never end.
      if (line.index !== expectedIndex || line.index >= endIndex) return undefined;
      expectedIndex += 1;
      tokens.push(line.token);
    }
    if (tokens.length > 0 && !exchange.signal.aborted) exchange.onTokens(tokens);
    if (end !== undefined) return end;
  }
  return undefined;
}

/** Whether a stream of tokens has its last line; an engine that dies within it has not proved anything. */
function hasEndLine(body: string): boolean {
  for (const text of body.split('\n').slice(0, -1)) {
    const line = parseLine(text);
    if (line !== undefined && 'done' in line) return true;
  }
  return false;
}

function parseLine(text: string): z.infer<typeof lineSchema> | undefined {
  try {
    return lineSchema.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
}
