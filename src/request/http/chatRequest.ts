import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';
import type { RequestError } from '../../errors.js';
import { createError } from '../../errors.js';
import type { ServiceId } from '../../ids.js';
import { toId } from '../../ids.js';

const CHARACTERS_PER_TOKEN = 4;

const chatSchema = z.object({
  model: z.string().min(1).max(128),
  messages: z.array(z.object({ role: z.string().max(32), content: z.string() })).min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().optional(),
});

export interface ChatRequest {
  readonly service: ServiceId;
  readonly prompt: string;
  readonly stream: boolean;
  readonly maxTokens: number | undefined;
}

/**
 * Validates the body of a chat request.
 *
 * @param value - Parsed JSON
 * @returns The request, or `bad_request` with the path of the field
 */
export function parseChat(value: unknown): Result<ChatRequest, RequestError> {
  const parsed = chatSchema.safeParse(value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const path = issue?.path.join('.') ?? '';
    return Err(createError('bad_request', `${path}: ${issue?.message ?? 'invalid'}`));
  }
  const { model, messages, stream, max_tokens: maxTokens } = parsed.data;
  return Ok({ service: toId(model), prompt: createPrompt(messages), stream, maxTokens });
}

/**
 * Creates the prompt of a conversation, in the format that the agent's engine adapter uses.
 *
 * @param messages - Conversation
 * @returns Prompt text
 */
export function createPrompt(messages: readonly { role: string; content: string }[]): string {
  return messages.map(({ role, content }) => `${role}: ${content}\n`).join('');
}

/**
 * Estimates the work of a chat.
 *
 * @param prompt - Prompt text
 * @param maxTokens - Maximum number of output tokens
 * @returns Work units: prompt tokens plus expected output tokens
 */
export function estimateCost(prompt: string, maxTokens: number): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN) + maxTokens;
}
