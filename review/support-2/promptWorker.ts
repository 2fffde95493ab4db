import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { record } from './record.js';

/** Time in which a worker reads a prompt, before it begins to write. */
const READ_MS = 60;
const EVENTS = 8;
const EVENT_INTERVAL_MS = 40;

/** An arrival of a request at a worker. */
export interface Arrival {
  readonly at: number;
  readonly worker: string;
  readonly requestId: string;
  readonly parts: readonly string[];
}

export interface PromptWorkerOptions {
  readonly id: string;
  /** Part of a prompt that crashes the worker when it begins to write an answer on it. */
  readonly crashingPart: string;
  readonly restartMs: number;
  readonly onArrival: (arrival: Arrival) => void;
  readonly onCrash: (id: string) => void;
  readonly onRestart: (id: string) => void;
}

/** A model worker that streams events, and that one part of a prompt crashes; it is back after some seconds. */
export class PromptWorker {
  port = 0;
  private server: Server | undefined;
  private incarnation = 0;

  constructor(readonly options: PromptWorkerOptions) {}

  async start(): Promise<void> {
    const server = createServer((request, response) => {
      void this.serve(request, response);
    });
    this.server = server;
    await new Promise<void>((resolve) => {
      server.listen(this.port, '127.0.0.1', resolve);
    });
    const address = server.address();
    if (typeof address === 'object' && address !== null) this.port = address.port;
  }

  stop(): void {
    this.incarnation += 1;
    this.server?.closeAllConnections();
    this.server?.close();
    this.server = undefined;
  }

  private async crash(): Promise<void> {
    const { id, restartMs, onCrash, onRestart } = this.options;
    this.stop();
    onCrash(id);
    await sleep(restartMs);
    await this.start();
    onRestart(id);
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { id, crashingPart, onArrival } = this.options;
    const { incarnation } = this;
    request.resume();
    if (request.method === 'GET') {
      response.writeHead(request.url === '/health' ? 200 : 404, { 'Instance-Id': id }).end();
      return;
    }
    const requestId = String(request.headers['request-id']);
    if (request.headers['expect-instance'] !== id) {
      response.writeHead(421, { 'Instance-Id': id, 'Request-Id': requestId }).end();
      return;
    }
    const prefix = String(request.headers['prefix-hash'] ?? '');
    const parts = prefix.split(',').map((part) => part.split(':')[0] ?? '');
    onArrival({ at: performance.now(), worker: id, requestId, parts });
    await sleep(READ_MS);
    if (incarnation !== this.incarnation) return;
    if (parts.includes(crashingPart)) {
      record(`worker ${id} crashes as it begins to write the answer to ${requestId}`);
      void this.crash();
      return;
    }
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Request-Id': requestId,
      'Server-Seal': `3e1b.${id}.${requestId}`,
    });
    const from = Number(request.headers['last-event-id'] ?? 0);
    for (let event = from + 1; event <= EVENTS; event += 1) {
      if (incarnation !== this.incarnation || response.destroyed) return;
      response.write(`id: ${event}\ndata: piece ${event}\n\n`);
      await sleep(EVENT_INTERVAL_MS);
    }
    response.end();
  }
}

/** Text of a whole answer. */
export const wholeAnswer = Array.from(
  { length: EVENTS },
  (_value, index) => `id: ${index + 1}\ndata: piece ${index + 1}\n\n`,
).join('');
