import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';
import { LineSplitter, LineTooLongError } from '../connection/lineSplitter.js';
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

/** Ends the exchange of a stream, at its end marker or at the first event that is none of it. */
export class ChatStreamEnd extends Error {
  constructor(readonly answer: Result<ChatAnswer, CallerError>) {
    super('stream ended');
  }
}

/** Reads a streamed chat response. Only a stream with its end marker is complete. */
export class ChatStream {
  private readonly splitter = new LineSplitter(defaults.maxEventBytes);
  private text = '';
  private finishReason = '';

  /** @param onText - Called with each part of the text in order */
  constructor(private readonly onText: (text: string) => void) {}

  /**
   * Reads the next part of the stream.
   *
   * @param data - Server-sent events as bytes
   * @throws ChatStreamEnd at the end of the stream
   */
  add(data: Buffer): void {
    try {
      for (const line of this.splitter.readLines(data)) this.addLine(line);
    } catch (error) {
      if (!(error instanceof LineTooLongError)) throw error;
      const message = `an event exceeds ${defaults.maxEventBytes} bytes`;
      throw new ChatStreamEnd(this.end(message));
    }
  }

  /**
   * Ends the stream before its end marker.
   *
   * @param message - Why it ended
   * @returns The error
   */
  end(message: string): Result<ChatAnswer, CallerError> {
    return Err(createTruncatedError(message));
  }

  private addLine(line: string): void {
    if (!line.startsWith(DATA_PREFIX)) return;
    const data = line.slice(DATA_PREFIX.length).trim();
    if (data === END_MARKER) {
      const { text, finishReason } = this;
      throw new ChatStreamEnd(Ok({ text, finishReason }));
    }
    const choice = chunkSchema.safeParse(parseJson(data)).data?.choices[0];
    if (choice === undefined) throw new ChatStreamEnd(Err(parseError(HTTP_OK, data)));
    const part = choice.delta?.content ?? '';
    if (part !== '') this.onText(part);
    this.text += part;
    this.finishReason = choice.finish_reason ?? this.finishReason;
  }
}

function createTruncatedError(message: string): CallerError {
  return { code: 'answer_cut', message, status: 0 };
}
