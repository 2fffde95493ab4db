import { z } from 'zod';
import { BoundedClient } from '../../../connection/boundedClient.js';
import type { BoundedRequest, BoundedResponse } from '../../../connection/boundedConnection.js';
import { LineSplitter, LineTooLongError } from '../../../connection/lineSplitter.js';
import { defaults } from '../../../defaults.js';
import { createFailedResult } from './failure.js';
import { DeadlineExceededError } from './deadlineExceeded.js';
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
/** As much as a gateway accepts of a response. */
const MAX_STREAM_BYTES = defaults.maxResponseBodyBytes;
const CANCEL_TIMEOUT_MS = 1_000;
const INCOMPLETE_MESSAGE = 'stream ended without an end marker';

type PostLimits = Pick<
  BoundedRequest,
  'maxBytes' | 'timeoutMs' | 'signal' | 'confirmSend' | 'onData'
>;

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
  const client = new BoundedClient();
  const post = (path: string, body: unknown, limits: PostLimits): Promise<BoundedResponse> =>
    client.send(`${url}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      ...limits,
    });

  const cancel = async (id: string): Promise<void> => {
    try {
      const limits = { maxBytes: MAX_PROBE_BYTES, timeoutMs: CANCEL_TIMEOUT_MS };
      await post('/v1/cancel', { request_id: id }, limits);
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
    const stream = new TokenStream(exchange);
    try {
      const { isExpired } = exchange;
      const { status } = await post('/v1/generate', message, {
        maxBytes: MAX_STREAM_BYTES,
        signal,
        confirmSend: () => (isExpired?.() === true ? new DeadlineExceededError() : undefined),
        onData: (data) => {
          stream.add(data);
        },
      });
      if (status === REFUSED_STATUS) {
        return fail('upstream_refused', 'engine refused the request', false);
      }
      if (status !== 200) {
        return fail('upstream_failed', `engine responded with status ${status}`, true);
      }
      return fail('upstream_failed', INCOMPLETE_MESSAGE, true);
    } catch (error) {
      if (error instanceof StreamEnd) return error.result;
      if (error instanceof DeadlineExceededError) return fail('timeout', error.message, false);
      if (signal.aborted) void cancel(id);
      return createFailedResult(error, signal.aborted);
    }
  };

  const readLoad = async (timeoutMs: number): Promise<UpstreamLoad | undefined> => {
    try {
      const { body } = await client.send(`${url}/v1/load`, {
        method: 'GET',
        maxBytes: MAX_PROBE_BYTES,
        timeoutMs,
      });
      return loadSchema.parse(JSON.parse(body.toString('utf8')));
    } catch {
      return undefined;
    }
  };

  const prove = async (timeoutMs: number): Promise<boolean> => {
    const id = `probe-${Math.random().toString(36).slice(2)}`;
    const body = { request_id: id, prompt: 'probe', max_tokens: 1, priority: 1 };
    const probeRequest = { ...body, resume_after: 0, resume_text: '' };
    try {
      const limits = { maxBytes: MAX_PROBE_BYTES, timeoutMs };
      const { status, body } = await post('/v1/generate', probeRequest, limits);
      return status === 200 && hasEndLine(body.toString('utf8'));
    } catch {
      void cancel(id);
      return false;
    }
  };

  const close = (): Promise<void> => {
    client.close();
    return Promise.resolve();
  };
  return { preemptible: true, run, readLoad, prove, close };
}

function fail(
  code: 'bad_request' | 'timeout' | 'upstream_failed' | 'upstream_refused',
  message: string,
  started: boolean,
): ExchangeResult {
  return { kind: 'failed', code, message, started, possibleCrash: false, unreachable: false };
}

/** Ends the exchange of a stream, at its end marker or at the first line that is none of it. */
class StreamEnd extends Error {
  constructor(readonly result: ExchangeResult) {
    super('stream ended');
  }
}

/** Forwards tokens in order, batched by read. */
class TokenStream {
  private readonly splitter = new LineSplitter(defaults.maxEventBytes);
  private expectedIndex: number;
  private readonly endIndex: number;

  constructor(private readonly exchange: Exchange) {
    this.expectedIndex = exchange.resumeAfter;
    this.endIndex = exchange.resumeAfter + exchange.maxOutputTokens;
  }

  /**
   * Reads the next part of the stream.
   *
   * @param data - Part of the body
   * @throws StreamEnd at the end of the stream
   */
  add(data: Buffer): void {
    const { exchange } = this;
    const tokens: string[] = [];
    const end = this.readLines(data, tokens);
    // What is read together with a malformed line is not forwarded.
    const isMalformed = end?.kind === 'failed';
    if (tokens.length > 0 && !isMalformed && !exchange.signal.aborted) exchange.onTokens(tokens);
    if (end !== undefined) throw new StreamEnd(end);
  }

  private readLines(data: Buffer, tokens: string[]): ExchangeResult | undefined {
    try {
      for (const text of this.splitter.readLines(data)) {
        const line = parseLine(text);
        if (line === undefined) return createIncomplete();
        if ('done' in line) {
          const { finish_reason: finishReason, prompt_tokens: promptTokens } = line;
          return { kind: 'done', status: 200, body: new Uint8Array(0), finishReason, promptTokens };
        }
        // A gap in the indices would corrupt the text, and a stream beyond its limit may never end.
        if (line.index !== this.expectedIndex || line.index >= this.endIndex)
          return createIncomplete();
        this.expectedIndex += 1;
        tokens.push(line.token);
      }
    } catch (error) {
      if (error instanceof LineTooLongError) return createIncomplete();
      throw error;
    }
    return undefined;
  }
}

function createIncomplete(): ExchangeResult {
  return fail('upstream_failed', INCOMPLETE_MESSAGE, true);
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
