import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';
import { defaults } from '../defaults.js';
import { parseError, parseJson } from './entryExchange.js';
import type { CallerError, ChatAnswer } from './types.js';

const HTTP_OK = 200;
const DATA_PREFIX = 'data:';
const END_MARKER = '[DONE]';

const chunkSchema = z.object({
  choices: z
    .array(
      z.object({
        delta: z.object({ content: z.string().nullish() }).optional(),
        message: z.object({ content: z.string() }).optional(),
        finish_reason: z.string().nullish(),
      }),
    )
    .min(1),
});

/**
 * Parses a complete chat response.
 *
 * @param text - JSON body
 * @returns The response, or an error if the body does not match the schema
 */
export function parseChatAnswer(text: string): Result<ChatAnswer, CallerError> {
  const parsed = chunkSchema.safeParse(parseJson(text));
  const choice = parsed.data?.choices[0];
  if (choice?.message === undefined)
    return Err(createTruncatedError('the body is not a chat response'));
  return Ok({ text: choice.message.content, finishReason: choice.finish_reason ?? '' });
}

/**
 * Reads a streamed chat response. Only a stream with its end marker is complete.
 *
 * @param body - Server-sent events as bytes
 * @param onText - Called with each part of the text in order
 * @returns The complete response, or why it is incomplete
 */
export async function readChatStream(
  body: AsyncIterable<Uint8Array>,
  onText: (text: string) => void,
): Promise<Result<ChatAnswer, CallerError>> {
  const decoder = new TextDecoder();
  let pendingText = '';
  let text = '';
  let finishReason = '';
  try {
    for await (const bytes of body) {
      pendingText += decoder.decode(bytes, { stream: true });
      const lines = pendingText.split('\n');
      pendingText = lines.pop() ?? '';
      if (pendingText.length > defaults.maxEventBytes) {
        return Err(createTruncatedError(`an event exceeds ${defaults.maxEventBytes} bytes`));
      }
      for (const line of lines) {
        if (!line.startsWith(DATA_PREFIX)) continue;
        const data = line.slice(DATA_PREFIX.length).trim();
        if (data === END_MARKER) return Ok({ text, finishReason });
        const value = parseJson(data);
        const choice = chunkSchema.safeParse(value).data?.choices[0];
        if (choice === undefined) return Err(parseError(HTTP_OK, data));
        const part = choice.delta?.content ?? '';
        if (part !== '') onText(part);
        text += part;
        finishReason = choice.finish_reason ?? finishReason;
      }
    }
  } catch (error) {
    return Err(createTruncatedError(error instanceof Error ? error.message : String(error)));
  }
  return Err(createTruncatedError('the stream ended without its end marker'));
}

function createTruncatedError(message: string): CallerError {
  return { code: 'answer_cut', message, status: 0 };
}
