import { Agent, request } from 'undici';
import { createExpectedTokens } from '../standins/engineTokens.js';
import { getExampleToken } from './deployment.js';
import type { SentRequest } from './sentRequests.js';
import { createRequestId, takeSentRequest } from './sentRequests.js';

const EVENT_PREFIX = 'data: ';
const END_MARKER = '[DONE]';
/** Delay after a refused request, so that callers do not poll a closed port in a busy loop. */
const REFUSED_BACKOFF_MS = 50;

/**
 * Outcome of a chat, derived from the received bytes. `truncated`: shorter than expected but terminated as if
 * complete; `failed`: accepted, and visibly not completed; `refused`: never accepted.
 */
export type ChatVerdict = 'complete' | 'wrong' | 'truncated' | 'failed' | 'refused';

export interface ChatResult {
  readonly prompt: string;
  readonly url: string;
  readonly verdict: ChatVerdict;
  /** Error code of the response, or of the connection failure. */
  readonly code: string;
  /** Message of the error of the response or connection. */
  readonly message: string;
  /** 0 without a response. */
  readonly status: number;
  readonly receivedChars: number;
  /** Undefined if the request was not written to a connection. */
  readonly sent: SentRequest | undefined;
  readonly startedAt: number;
  readonly endedAt: number;
}

export interface ChatCall {
  readonly url: string;
  readonly model: string;
  readonly workspace: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly dispatcher?: Agent;
  readonly deadlineMs?: number;
  /** Time after which the client closes its connection. */
  readonly disconnectAfterMs?: number;
}

interface ReceivedResponse {
  readonly status: number;
  readonly text: string;
  readonly ended: boolean;
  readonly code: string;
  readonly message: string;
}

interface ErrorFields {
  readonly code: string;
  readonly message: string;
}

/**
 * Compares a received response with the engine's tokens, byte for byte.
 *
 * @param text - Received text
 * @param isEnded - Whether the response was terminated as complete
 * @param prompt - Message of the chat
 * @param maxTokens - Number of tokens of the complete response
 * @returns The verdict
 */
export function checkResponse(
  text: string,
  isEnded: boolean,
  prompt: string,
  maxTokens: number,
): ChatVerdict {
  const expected = createExpectedTokens(`user: ${prompt}\n`, maxTokens).join('');
  if (text === expected && isEnded) return 'complete';
  if (!expected.startsWith(text)) return 'wrong';
  return isEnded ? 'truncated' : 'failed';
}

/**
 * Sends one chat and checks the received bytes.
 *
 * @param call - Chat and connection
 * @returns The verdict with start and end times
 */
export async function performChat(call: ChatCall): Promise<ChatResult> {
  const startedAt = Date.now();
  const requestId = createRequestId();
  const { status, text, ended, code, message } = await receiveResponse(call, requestId);
  const isRefused = (status === 0 && code === 'ECONNREFUSED') || (status === 503 && text === '');
  const verdict = isRefused ? 'refused' : checkResponse(text, ended, call.prompt, call.maxTokens);
  const { prompt, url } = call;
  const sent = takeSentRequest(requestId);
  const received = { status, receivedChars: text.length, code, message, sent };
  return { prompt, url, verdict, ...received, startedAt, endedAt: Date.now() };
}

async function receiveResponse(call: ChatCall, requestId: string): Promise<ReceivedResponse> {
  let status = 0;
  let body = '';
  let failure: ErrorFields = { code: '', message: '' };
  try {
    const response = await request(`${call.url}/v1/chat/completions`, {
      method: 'POST',
      ...(call.dispatcher === undefined ? {} : { dispatcher: call.dispatcher }),
      ...(call.disconnectAfterMs === undefined
        ? {}
        : { signal: AbortSignal.timeout(call.disconnectAfterMs) }),
      headers: {
        authorization: `Bearer ${getExampleToken(call.workspace)}`,
        'content-type': 'application/json',
        'x-request-id': requestId,
        ...(call.deadlineMs === undefined ? {} : { 'x-deadline-ms': String(call.deadlineMs) }),
      },
      body: JSON.stringify({
        model: call.model,
        messages: [{ role: 'user', content: call.prompt }],
        max_tokens: call.maxTokens,
        stream: call.stream,
      }),
    });
    status = response.statusCode;
    response.body.setEncoding('utf8');
    for await (const part of response.body) body += String(part);
  } catch (error) {
    const { code, name, message } = error as { code?: string; name?: string; message?: string };
    failure = { code: code ?? name ?? 'unknown', message: message ?? '' };
  }
  return parseResponse(status, body, failure);
}

function parseResponse(status: number, body: string, failure: ErrorFields): ReceivedResponse {
  if (status !== 200) {
    const { error } = (parseJson(body) ?? {}) as { error?: ErrorFields };
    return { status, text: '', ended: false, ...failure, ...error };
  }
  if (body.startsWith('{')) {
    const completion = parseJson(body) as
      { choices: [{ message: { content: string } }] } | undefined;
    const text = completion?.choices[0].message.content ?? '';
    return { status, text, ended: completion !== undefined, ...failure };
  }
  let text = '';
  let fields = failure;
  // The last line is incomplete when the connection closed in the middle of an event.
  for (const line of body.split('\n').slice(0, -1)) {
    if (!line.startsWith(EVENT_PREFIX)) continue;
    const data = line.slice(EVENT_PREFIX.length);
    if (data === END_MARKER) return { status, text, ended: true, ...fields };
    const event = parseJson(data) as {
      choices?: { delta: { content?: string } }[];
      error?: ErrorFields;
    };
    fields = event.error ?? fields;
    text += event.choices?.[0]?.delta.content ?? '';
  }
  return { status, text, ended: false, ...fields };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** Concurrent callers that send chats in a loop until `stop` is called. */
export class ChatCallers {
  readonly results: ChatResult[] = [];
  private readonly dispatcher = new Agent();
  private readonly tasks: Promise<void>[];
  private stopped = false;

  /**
   * @param count - Number of concurrent callers
   * @param createCall - Creates the next chat from the caller's number and a sequence number shared by all callers
   */
  constructor(count: number, createCall: (caller: number, index: number) => ChatCall) {
    let index = 0;
    this.tasks = Array.from({ length: count }, async (_, caller) => {
      while (!this.stopped) {
        index += 1;
        const call = { dispatcher: this.dispatcher, ...createCall(caller, index) };
        const result = await performChat(call);
        this.results.push(result);
        if (result.verdict === 'refused')
          await new Promise((resolve) => setTimeout(resolve, REFUSED_BACKOFF_MS));
      }
    });
  }

  /** Waits for the chats in flight; resolves with all results. */
  async stop(): Promise<readonly ChatResult[]> {
    this.stopped = true;
    await Promise.all(this.tasks);
    await this.dispatcher.destroy();
    return this.results;
  }
}

/**
 * Counts results by verdict.
 *
 * @param results - Results of chats
 * @returns Count by verdict
 */
export function countVerdicts(results: readonly ChatResult[]): Record<ChatVerdict, number> {
  const counts = { complete: 0, wrong: 0, truncated: 0, failed: 0, refused: 0 };
  for (const { verdict } of results) counts[verdict] += 1;
  return counts;
}

/**
 * Counts error codes by verdict, to find the cause of a failed run.
 *
 * @param results - Results of chats
 * @returns Count by `verdict code`
 */
export function countCodes(results: readonly ChatResult[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { verdict, code } of results) {
    if (verdict === 'complete') continue;
    const key = `${verdict} ${code}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}
