import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { StandIn } from './httpServer.js';
import {
  closeServer,
  createRouteServer,
  isMain,
  listenOnLoopback,
  readArguments,
} from './httpServer.js';

export interface PlainControl {
  delayMs?: number;
  /** Respond with 503 and `X-Not-Run` without executing. */
  refuse?: boolean;
  /** Execute, then close the connection without a response. */
  resetAfterRun?: boolean;
  /** Close the connection without executing. */
  resetBeforeRun?: boolean;
}

export interface Execution {
  readonly id: string;
  readonly body: string;
  /** Milliseconds since the epoch. */
  readonly time: number;
}

export interface PlainService extends StandIn {
  readonly executions: readonly Execution[];
  control(change: PlainControl): void;
}

/**
 * Starts a plain service that executes every request it receives and records each executed order.
 *
 * @param options - Port, 0 selects a free one, and service name
 * @returns The running stand-in
 */
export async function startPlainService(
  options: { port?: number; name?: string } = {},
): Promise<PlainService> {
  const name = options.name ?? 'plain';
  const executions: Execution[] = [];
  const state: PlainControl = {};

  const refuse = (response: ServerResponse): void => {
    response.writeHead(503, { 'x-not-run': 'true' }).end();
  };
  const wait = async (): Promise<void> => {
    if (state.delayMs !== undefined && state.delayMs > 0) await sleep(state.delayMs);
  };

  const server = createRouteServer({
    'POST /calls': async ({ body, response }) => {
      if (state.refuse === true) {
        refuse(response);
        return undefined;
      }
      await wait();
      const text = body.toString('utf8');
      return { echo: parseJson(text), service: name };
    },
    'POST /orders': async ({ body, request, response }) => {
      if (state.refuse === true) {
        refuse(response);
        return undefined;
      }
      if (state.resetBeforeRun === true) {
        response.destroy();
        return undefined;
      }
      const id = String(request.headers['x-order-id']);
      executions.push({ id, body: body.toString('utf8'), time: Date.now() });
      await wait();
      if (state.resetAfterRun === true) {
        response.destroy();
        return undefined;
      }
      return { executed: id };
    },
    'GET /executions': () => executions,
    'POST /control': ({ body }) => Object.assign(state, parseJson(body.toString('utf8'))),
  });
  const port = await listenOnLoopback(server, options.port ?? 0);
  return {
    port,
    url: `http://127.0.0.1:${port}`,
    executions,
    control: (change) => Object.assign(state, change),
    close: () => closeServer(server),
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

if (isMain(import.meta.url)) {
  const { port } = await startPlainService(readArguments());
  process.stdout.write(`${JSON.stringify({ ready: true, port })}\n`);
}
