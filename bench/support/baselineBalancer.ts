import PQueue from 'p-queue';
import { Agent, request } from 'undici';
import type { Chat, ChatResult } from './chatLoad.js';
import { buildResult } from './chatLoad.js';

const pool = new Agent({ connections: 1_024, headersTimeout: 0, bodyTimeout: 0 });

/**
 * Baseline: round robin over the engines with one unbounded FIFO queue per engine, no shares, no
 * health checks and optional retries on the next engine. It runs in the bench process and therefore
 * has neither of the two hops through entry and agent.
 */
export class BaselineBalancer {
  private readonly queues: { url: string; queue: PQueue }[];
  private turn = 0;
  private sends = 0;

  constructor(
    urls: readonly string[],
    slots: number,
    private readonly maxSends = 1,
  ) {
    this.queues = urls.map((url) => ({ url, queue: new PQueue({ concurrency: slots }) }));
  }

  /** Requests sent to engines so far, including retries. */
  get sendCount(): number {
    return this.sends;
  }

  /**
   * Sends a chat; the request is aborted at the caller's deadline.
   *
   * @param chat - The chat
   * @param abortSignal - Aborts the request
   * @returns The result as observed by the caller
   */
  async send(chat: Chat, abortSignal?: AbortSignal): Promise<ChatResult> {
    const sentAt = performance.now();
    const deadline = AbortSignal.timeout(chat.deadlineMs);
    const signal = abortSignal === undefined ? deadline : AbortSignal.any([deadline, abortSignal]);
    let result: ChatResult | undefined;
    for (let attempt = 0; attempt < this.maxSends; attempt += 1) {
      const target = this.queues[this.turn % this.queues.length];
      this.turn += 1;
      if (target === undefined) throw new Error('no engines');
      result = await this.sendOnce(target, chat, sentAt, signal);
      if (result.status === 200 && result.code === undefined) break;
      if (signal.aborted) break;
    }
    if (result === undefined) throw new Error('maxSends allows no attempt');
    return result;
  }

  private async sendOnce(
    { url, queue }: { url: string; queue: PQueue },
    chat: Chat,
    sentAt: number,
    signal: AbortSignal,
  ): Promise<ChatResult> {
    const received = { sentAt, status: 0, text: '', done: false };
    const timing: { firstTokenMs: number | undefined; code: string | undefined } = {
      firstTokenMs: undefined,
      code: undefined,
    };
    const sendRequest = async (): Promise<void> => {
      this.sends += 1;
      const body = { request_id: `naive-${this.sends}`, max_tokens: chat.maxTokens };
      const response = await request(`${url}/v1/generate`, {
        method: 'POST',
        dispatcher: pool,
        signal,
        body: JSON.stringify({ ...body, prompt: `user: ${chat.content}\n` }),
      });
      received.status = response.statusCode;
      let rest = '';
      for await (const data of response.body) {
        const lines = (rest + String(data)).split('\n');
        rest = lines.pop() ?? '';
        for (const line of lines) {
          const { token, done } = JSON.parse(line) as { token?: string; done?: boolean };
          timing.firstTokenMs ??= performance.now() - sentAt;
          received.text += token ?? '';
          received.done ||= done === true;
        }
      }
      if (!received.done) timing.code = 'cut';
    };
    try {
      await queue.add(sendRequest, { signal });
    } catch {
      timing.code = 'failed';
    }
    return buildResult(chat, { ...received, ...timing });
  }
}
