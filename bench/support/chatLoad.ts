import { setMaxListeners } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { createExpectedTokens } from '../../test/standins/engineTokens.js';
import { createToken } from './fleet.js';

/** One chat to send. */
export interface Chat {
  readonly workspace: string;
  readonly service: string;
  readonly content: string;
  readonly maxTokens: number;
  readonly deadlineMs: number;
}

/** Result of one chat as observed by the caller. */
export interface ChatResult {
  readonly chat: Chat;
  /** Time of sending on the monotonic clock, milliseconds. */
  readonly sentAt: number;
  /** HTTP status; 0 when the connection failed before a response. */
  readonly status: number;
  /** The text was received completely, matches the expected text, and arrived within the deadline. */
  readonly complete: boolean;
  /** The text differs from what the engine generates for this prompt. */
  readonly wrong: boolean;
  readonly firstTokenMs: number | undefined;
  readonly totalMs: number;
  readonly code: string | undefined;
}

/** Sends one chat; aborting the signal closes the connection, as a disconnecting caller does. */
export type SendChat = (chat: Chat, signal?: AbortSignal) => Promise<ChatResult>;

/** Code of chats that the bench aborted. */
export const ABANDONED = 'abandoned';

const EVENT_END = '\n\n';
const DATA = 'data: ';
const pool = new Agent({ connections: 4_096, headersTimeout: 0, bodyTimeout: 0 });

interface Event {
  readonly choices?: readonly { readonly delta: { readonly content?: string } }[];
}

/**
 * Sends a chat to an entry and checks the response.
 *
 * @param httpUrl - Base URL of the entry
 * @param chat - The chat
 * @param signal - Aborts the chat
 * @returns The result; never rejects
 */
export async function sendChat(
  httpUrl: string,
  chat: Chat,
  signal?: AbortSignal,
): Promise<ChatResult> {
  const sentAt = performance.now();
  let status = 0;
  let text = '';
  let done = false;
  let code: string | undefined;
  let firstTokenMs: number | undefined;
  try {
    const response = await request(`${httpUrl}/v1/chat/completions`, {
      method: 'POST',
      dispatcher: pool,
      signal,
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${createToken(chat.workspace)}`,
        'x-deadline-ms': String(chat.deadlineMs),
      },
      body: JSON.stringify({
        model: chat.service,
        messages: [{ role: 'user', content: chat.content }],
        max_tokens: chat.maxTokens,
        stream: true,
      }),
    });
    status = response.statusCode;
    if (status !== 200) code = readCode(await response.body.text());
    else {
      let rest = '';
      for await (const data of response.body) {
        const events = (rest + String(data)).split(EVENT_END);
        rest = events.pop() ?? '';
        for (const event of events) {
          if (event === `${DATA}[DONE]`) done = true;
          else if (!event.startsWith(DATA)) code = readCode(event.slice(event.indexOf('{')));
          else {
            const { choices } = JSON.parse(event.slice(DATA.length)) as Event;
            const content = choices?.[0]?.delta.content ?? '';
            if (content !== '') firstTokenMs ??= performance.now() - sentAt;
            text += content;
          }
        }
      }
    }
  } catch {
    code ??= signal?.aborted === true ? ABANDONED : 'connection';
  }
  return buildResult(chat, { sentAt, status, text, done, firstTokenMs, code });
}

/**
 * Builds the result of a chat from the received data.
 *
 * @param chat - The chat
 * @param received - Status, text, end marker and times
 * @returns The result
 */
export function buildResult(
  chat: Chat,
  received: Pick<ChatResult, 'sentAt' | 'status' | 'firstTokenMs' | 'code'> & {
    text: string;
    done: boolean;
  },
): ChatResult {
  const { text, done, ...rest } = received;
  const totalMs = performance.now() - received.sentAt;
  const expected = createExpectedTokens(`user: ${chat.content}\n`, chat.maxTokens).join('');
  const wrong = done ? text !== expected : !expected.startsWith(text);
  const complete = done && !wrong && totalMs <= chat.deadlineMs;
  return { chat, ...rest, complete, wrong, totalMs };
}

/** Chats sent at a mean rate. */
export interface Arrivals {
  readonly perSecond: number;
  readonly createChat: (index: number) => Chat;
  readonly send: SendChat;
}

/**
 * Sends chats with Poisson arrivals in an open loop: the rate does not depend on response times.
 *
 * @param arrivals - Rate and chats
 * @param durationMs - Period in which chats are sent
 * @param random - Uniform random values in [0, 1)
 * @param signal - Aborts the chats in flight
 * @returns All results, after the last response
 */
export async function runArrivals(
  arrivals: Arrivals,
  durationMs: number,
  random: () => number,
  signal?: AbortSignal,
): Promise<ChatResult[]> {
  if (signal !== undefined) setMaxListeners(0, signal);
  const pending: Promise<ChatResult>[] = [];
  const startedAt = performance.now();
  let dueAt = startedAt;
  for (let index = 0; ; index += 1) {
    dueAt += (-Math.log(1 - random()) * 1_000) / arrivals.perSecond;
    if (dueAt - startedAt > durationMs) break;
    const delayMs = dueAt - performance.now();
    if (delayMs > 1) await sleep(delayMs);
    pending.push(arrivals.send(arrivals.createChat(index), signal));
  }
  return Promise.all(pending);
}

function readCode(text: string): string {
  try {
    return (JSON.parse(text) as { error: { code: string } }).error.code;
  } catch {
    return 'unreadable';
  }
}
