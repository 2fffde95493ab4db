import type { ServerResponse } from 'node:http';
import type { RequestError } from '../../errors.js';
import { formatError } from './respond.js';
import { findBlockedStream, writeChunk } from './writeChunk.js';

const DONE = 'data: [DONE]\n\n';

/** Writes a chat response as server-sent events; tokens of one event loop iteration are sent in one event. */
export class ChatStream {
  private readonly eventPrefix: string;
  private pending = '';
  private isFlushScheduled = false;
  private isFirstEvent = true;

  constructor(
    private readonly response: ServerResponse,
    id: string,
    model: string,
    createdSeconds: number,
  ) {
    const commonFields = JSON.stringify({
      id,
      object: 'chat.completion.chunk',
      created: createdSeconds,
      model,
    });
    this.eventPrefix = `data: ${commonFields.slice(0, -1)},"choices":[{"index":0,"delta":`;
  }

  /**
   * Queues tokens to be sent.
   *
   * @param tokens - Token texts, in order
   */
  push(tokens: readonly string[]): void {
    this.pending += tokens.join('');
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => {
      this.isFlushScheduled = false;
      this.flush();
    });
  }

  /**
   * Ends a complete response.
   *
   * @param finishReason - Finish reason reported by the engine
   * @param usage - Token counts
   */
  end(finishReason: string, usage: Readonly<Record<string, number>>): void {
    const text = this.takeEvent();
    const reason = JSON.stringify(finishReason);
    const last = `${this.eventPrefix}{},"finish_reason":${reason}}],"usage":${JSON.stringify(usage)}}\n\n`;
    this.sendHeaders();
    this.response.end(text + last + DONE);
  }

  /**
   * Ends a failed response: sends an error event and closes the connection without an end marker.
   *
   * @param error - Final error
   */
  fail(error: RequestError): void {
    const event = `event: error\ndata: ${JSON.stringify(formatError(error))}\n\n`;
    this.response.write(this.takeEvent() + event);
    this.response.socket?.destroySoon();
  }

  private flush(): void {
    if (this.pending === '' || this.response.destroyed || this.response.writableEnded) return;
    const blockedStream = findBlockedStream(this.response);
    if (blockedStream !== undefined) {
      // The tokens of a slow caller are buffered here, bounded by the output limit of the service.
      blockedStream.once('drain', () => {
        this.flush();
      });
      return;
    }
    if (this.response.headersSent) {
      writeChunk(this.response, this.takeEvent());
      return;
    }
    this.sendHeaders();
    this.response.write(this.takeEvent());
  }

  private sendHeaders(): void {
    if (this.response.headersSent) return;
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
    });
  }

  private takeEvent(): string {
    if (this.pending === '') return '';
    const content = JSON.stringify(this.pending);
    this.pending = '';
    const role = this.isFirstEvent ? '"role":"assistant",' : '';
    this.isFirstEvent = false;
    return `${this.eventPrefix}{${role}"content":${content}},"finish_reason":null}]}\n\n`;
  }
}
