import type { IncomingMessage } from 'node:http';
import { Agent, request } from 'node:http';
import type { Socket } from 'node:net';
import type { GatewayProgram } from './gatewayProgram.js';
import { waitMs } from './waiting.js';

/** How a request ended for its caller: with a whole response, within one, or without any. */
export type CallEnd = 'complete' | 'cut' | 'unanswered';

/** One request as its caller saw it; times are monotonic, in milliseconds. */
export interface Call {
  readonly requestId: string;
  readonly path: string;
  readonly gateway: StoppableGateway;
  /** When the connection that the request was sent on was opened. */
  readonly connectedAt: number;
  readonly sentAt: number;
  readonly deadlineMs: number;
  readonly endedAt: number;
  readonly end: CallEnd;
  /** Undefined without a response. */
  readonly status: number | undefined;
  readonly retryAfterMs: number | undefined;
}

/** A started gateway and when it was asked to stop. */
export interface StoppableGateway {
  readonly program: GatewayProgram;
  stoppedAt: number | undefined;
}

/** The load balancer takes a gateway out of rotation after two failed readiness checks, one a second. */
const ROTATION_MS = 2_400;
/** Deadlines that callers state; the shorter one ends before a stop that has just begun. */
const deadlinesMs = [8_000, 8_000, 8_000, 1_500] as const;
const RECONNECT_DELAY_MS = 30;
/** Retry-After is honoured up to this, as a caller does whose own deadline is near. */
const MAX_RETRY_DELAY_MS = 1_000;
const BODY = 'question';

/**
 * Lists the gateways to which the load balancer sends new connections.
 *
 * @param gateways - All gateways
 * @param now - Monotonic time in milliseconds
 * @returns Gateways in rotation
 */
export function listInRotation(
  gateways: readonly StoppableGateway[],
  now: number,
): StoppableGateway[] {
  return gateways.filter(
    ({ stoppedAt }) => stoppedAt === undefined || now - stoppedAt < ROTATION_MS,
  );
}

export interface CallerOptions {
  /** Gateways at present. */
  listGateways(): readonly StoppableGateway[];
  drawPath(): string;
  random(): number;
  createRequestId(): string;
  isRunning(): boolean;
  onCall(call: Call): void;
}

/**
 * Runs one caller. It sends its next request on the same connection right after each response, and opens another
 * connection after a close.
 *
 * @param options - Gateways, requests and listener
 */
export async function runCaller(options: CallerOptions): Promise<void> {
  while (options.isRunning()) {
    const candidates = listInRotation(options.listGateways(), performance.now());
    const gateway = candidates[Math.floor(options.random() * candidates.length)];
    if (gateway !== undefined) await useConnection(gateway, options);
    await waitMs(RECONNECT_DELAY_MS);
  }
}

async function useConnection(gateway: StoppableGateway, options: CallerOptions): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let connection: { readonly socket: Socket; readonly openedAt: number } | undefined;
  let isReusable = true;
  while (isReusable && options.isRunning()) {
    const call = await sendCall(gateway, agent, options, (socket) => {
      if (connection !== undefined && connection.socket !== socket) isReusable = false;
      connection ??= { socket, openedAt: performance.now() };
      return connection.openedAt;
    });
    if (call === undefined) break;
    options.onCall(call.record);
    if (call.closes) isReusable = false;
    const { retryAfterMs } = call.record;
    if (retryAfterMs !== undefined) await waitMs(Math.min(retryAfterMs, MAX_RETRY_DELAY_MS));
  }
  agent.destroy();
}

/** Sends one request; undefined if the connection could not be opened. */
function sendCall(
  gateway: StoppableGateway,
  agent: Agent,
  options: CallerOptions,
  onSocket: (socket: Socket) => number,
): Promise<{ record: Call; closes: boolean } | undefined> {
  const path = options.drawPath();
  const requestId = options.createRequestId();
  const deadlineMs = deadlinesMs[Math.floor(options.random() * deadlinesMs.length)] ?? 0;
  const isPost = !path.startsWith('/lookup/');
  return new Promise((resolve) => {
    let connectedAt = 0;
    let sentAt = 0;
    let response: IncomingMessage | undefined;
    const finish = (end: CallEnd): void => {
      const endedAt = performance.now();
      const retryAfter = response?.headers['retry-after'];
      const record: Call = {
        requestId,
        path,
        gateway,
        connectedAt,
        sentAt,
        deadlineMs,
        endedAt,
        end,
        status: response?.statusCode,
        retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter) * 1_000,
      };
      const closes = end !== 'complete' || response?.headers.connection === 'close';
      resolve(sentAt === 0 ? undefined : { record, closes });
    };
    const sent = request(`${gateway.program.url}${path}`, {
      agent,
      method: isPost ? 'POST' : 'GET',
      headers: {
        host: 'app.example',
        'request-id': requestId,
        'deadline-ms': String(deadlineMs),
        'x-api-key': 'key-1',
        ...(isPost ? { 'content-length': String(BODY.length) } : {}),
      },
    });
    sent.on('socket', (socket) => {
      connectedAt = onSocket(socket);
      const markSent = (): void => {
        sentAt = performance.now();
      };
      if (socket.connecting) socket.once('connect', markSent);
      else markSent();
    });
    sent.on('response', (received) => {
      response = received;
      received.on('error', () => {
        finish('cut');
      });
      received.on('end', () => {
        finish(received.complete ? 'complete' : 'cut');
      });
      received.on('close', () => {
        finish('cut');
      });
      received.resume();
    });
    sent.on('error', () => {
      finish(response === undefined ? 'unanswered' : 'cut');
    });
    sent.end(isPost ? BODY : undefined);
  });
}
