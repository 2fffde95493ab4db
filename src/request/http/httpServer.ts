import { randomBytes } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import polka from 'polka';
import { acceptPending, pollSocketsOnce } from '../../connection/acceptPending.js';
import { createBoundedServer, getRequestReader } from '../../connection/boundedServer.js';
import { CallerMemory } from '../../connection/callerMemory.js';
import { ConnectionTable } from '../../connection/connectionTable.js';
import type { Exchange as ConnectionExchange } from '../../connection/responseClose.js';
import { observeClose } from '../../connection/responseClose.js';
import { createError } from '../../errors.js';
import type { RequestError } from '../../errors.js';
import { defaults } from '../../defaults.js';
import { PAUSE_TICK_INTERVAL_MS, PauseDetector } from '../../process/pauseDetector.js';
import { orderRoutes } from '../orders/orderRoutes.js';
import { authenticate } from './authenticate.js';
import { handleCall, listModels } from './callRoute.js';
import { handleChat } from './chatRoute.js';
import type { BodyLimits } from './readBody.js';
import { formatError, sendError } from './respond.js';
import type { HttpContext, Route } from './types.js';

const NOT_READY_RETRY_AFTER_MS = 500;
const IDLE_POLL_INTERVAL_MS = 20;
/** Announced in `Keep-Alive`; a conforming caller sends nothing on a connection that was idle for longer. */
const KEEP_ALIVE_MS = 5_000;
/**
 * Idle polls before connections are closed. An immediate close would reset connections with a request in transit;
 * requests that arrive meanwhile are refused and close their connection. Socket polls are counted instead of elapsed
 * time, because a process that was not scheduled for a while has read nothing in that time.
 */
const IDLE_POLLS_BEFORE_CLOSE = KEEP_ALIVE_MS / IDLE_POLL_INTERVAL_MS;
const REQUEST_ID = /^[\w.-]{1,128}$/;

const routes: readonly Route[] = [
  { method: 'post', path: '/v1/chat/completions', handle: handleChat },
  { method: 'post', path: '/v1/services/:service/calls', handle: handleCall },
  { method: 'get', path: '/v1/models', handle: listModels },
  ...orderRoutes,
];

/** Responses to errors of Node's HTTP parser, by error code; all others get `malformed`. */
const parserErrors: Readonly<Record<string, { status: string; error: RequestError }>> = {
  HPE_HEADER_OVERFLOW: {
    status: '413 Payload Too Large',
    error: createError('too_large', 'headers are too large'),
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    status: '504 Gateway Timeout',
    error: createError('timeout', 'the request did not arrive in time'),
  },
};
const malformed = {
  status: '400 Bad Request',
  error: createError('bad_request', 'malformed HTTP'),
};

/** HTTP server for callers; TLS is terminated by the platform's load balancer in front of it. */
export class HttpServer {
  private readonly server: Server;
  private readonly app: polka.Polka;
  private readonly idPrefix = randomBytes(6).toString('hex');
  private count = 0;
  private active = 0;
  private readonly memory: CallerMemory;
  private readonly connections: ConnectionTable<ConnectionExchange>;
  /** Connections and requests accepted since the start. */
  private arrivals = 0;
  private readonly pauses = new PauseDetector(Date.now());
  private readonly pauseTimer: NodeJS.Timeout;
  private readonly readController = new AbortController();

  constructor(private readonly context: HttpContext) {
    const { limits, metrics, logger } = context;
    this.memory = new CallerMemory(limits.maxHeldBytes, ({ kind, group }, bytes) => {
      metrics.addCount(`caller_memory_reclaimed_${kind}`);
      logger.info({ kind, workspace: group, bytes }, 'memory of a caller reclaimed');
    });
    this.server = createBoundedServer({
      maxHeaderSize: defaults.maxHeaderBytes,
      headersTimeout: defaults.bodyTimeoutMs,
      requestTimeout: 2 * defaults.bodyTimeoutMs,
      keepAliveTimeout: KEEP_ALIVE_MS,
      noDelay: true,
      requestLimits: {
        maxPerConnection: limits.maxRequestsPerConnection,
        maxTotal: limits.maxPipelinedRequests,
      },
      memory: this.memory,
      readClock: Date.now,
    });
    this.connections = new ConnectionTable({
      server: this.server,
      maxConnections: limits.maxConnections,
      readClock: Date.now,
      formatRejection,
      getStage: ({ request, response }) => {
        if (!request.complete) return 'reading';
        return response.writableEnded ? 'delivering' : 'working';
      },
      onEvict: (use) => {
        metrics.addCount(`caller_connections_closed_${use}`);
      },
    });
    // One listener for each request whose body is being read.
    setMaxListeners(0, this.readController.signal);
    this.server.on('connection', () => {
      this.arrivals += 1;
    });
    this.server.prependListener('request', (request, response) => {
      this.connections.add({ request, response });
    });
    this.app = this.createApp();
    this.pauseTimer = setInterval(() => {
      this.pauses.recordTick(Date.now());
      this.memory.advance(Date.now());
    }, PAUSE_TICK_INTERVAL_MS);
    this.pauseTimer.unref();
  }

  /** Number of requests without a complete response. */
  get activeRequests(): number {
    return this.active;
  }

  /**
   * Binds the port.
   *
   * @param port - 0 selects a free port
   * @param host - Address
   * @returns The bound port
   */
  listen(port: number, host: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.app.listen(port, host, () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops accepting connections; established ones stay open, so that their requests are answered. */
  async stopAccepting(): Promise<void> {
    await acceptPending(() => this.connections.acceptedCount);
    this.connections.closeListener();
  }

  /**
   * Waits until all connections are closed or have been idle for longer than the keep-alive time.
   *
   * @param signal - Aborts the wait
   */
  async waitUntilIdle(signal: AbortSignal): Promise<void> {
    let idlePolls = 0;
    while (idlePolls < IDLE_POLLS_BEFORE_CLOSE && this.connections.size > 0 && !signal.aborted) {
      const { arrivals } = this;
      await sleep(IDLE_POLL_INTERVAL_MS);
      await pollSocketsOnce();
      const isIdle = this.active === 0 && this.arrivals === arrivals;
      idlePolls = isIdle ? idlePolls + 1 : 0;
    }
  }

  /** Refuses all requests whose body is incomplete. */
  cancelReads(): void {
    this.readController.abort();
  }

  /** Closes all connections. */
  close(): void {
    clearInterval(this.pauseTimer);
    this.connections.closeListener();
    this.connections.destroyAll();
  }

  /**
   * Describes what the callers make this process hold, for the state dump.
   *
   * @returns Connections by use, and memory
   */
  describeCallers(): unknown {
    return { connections: this.connections.describeUses(), memory: this.memory.describe() };
  }

  private createApp(): polka.Polka {
    const app = polka({
      server: this.server,
      onNoMatch: (request: IncomingMessage, response: ServerResponse) => {
        this.prepare(request, response);
        sendError(response, createError('not_found', 'no such route'));
      },
      onError: (_error: unknown, request: IncomingMessage, response: ServerResponse) => {
        this.prepare(request, response);
        sendError(response, createError('bad_request', 'malformed request path'));
      },
    });
    for (const route of routes)
      app[route.method](route.path, (request, response) => {
        void this.serve(route, request, response);
      });
    return app;
  }

  private prepare(request: IncomingMessage, response: ServerResponse): string {
    this.count += 1;
    const given = request.headers['x-request-id'];
    const requestId =
      typeof given === 'string' && REQUEST_ID.test(given)
        ? given
        : `${this.idPrefix}-${this.count}`;
    response.setHeader('x-request-id', requestId);
    return requestId;
  }

  private async serve(
    route: Route,
    request: IncomingMessage & { params: object },
    response: ServerResponse,
  ): Promise<void> {
    const { context } = this;
    const readAt = Date.now();
    const arrivedAt = this.pauses.computeEarliestArrival(readAt);
    this.arrivals += 1;
    const requestId = this.prepare(request, response);
    const refusal = this.checkAvailability(response);
    if (refusal !== undefined) {
      sendError(response, refusal, route.errorFields);
      return;
    }
    const caller = authenticate(request.headers.authorization, context.configuration);
    if (caller.isErr()) {
      sendError(response, caller.error, route.errorFields);
      return;
    }
    const disconnected = new AbortController();
    this.active += 1;
    // Without `observeClose` the work for requests that were sent ahead would go on after their caller has left.
    observeClose({ request, response }, () => {
      this.active -= 1;
      if (!response.writableFinished) disconnected.abort();
      context.metrics.recordLatency('request', Date.now() - readAt);
    });
    const params = request.params as Readonly<Record<string, string>>;
    const workspace = caller.value;
    const { signal } = disconnected;
    const bodyLimits: BodyLimits = {
      maxBytes: context.limits.maxBodyBytes,
      stopSignal: this.readController.signal,
      memory: this.memory,
      group: workspace,
      reader: getRequestReader(request.socket),
      onReceived: (release) => {
        observeClose({ request, response }, release);
      },
    };
    const exchange = {
      request,
      response,
      params,
      requestId,
      workspace,
      arrivedAt,
      signal,
      bodyLimits,
    };
    try {
      const handled = await route.handle(exchange, context);
      if (handled.isOk()) return;
      context.metrics.addCount(`errors_${handled.error.code}`);
      if (!response.destroyed) sendError(response, handled.error, route.errorFields);
    } catch (error) {
      const message = error instanceof Error ? (error.stack ?? error.message) : String(error);
      context.logger.error({ requestId, outcome: 'internal', error: message }, 'request failed');
      if (response.headersSent) response.destroy();
      else sendError(response, createError('internal', 'internal error'), route.errorFields);
    }
  }

  private checkAvailability(response: ServerResponse): RequestError | undefined {
    if (this.context.isDraining()) {
      response.setHeader('connection', 'close');
      return createError('draining', 'this entry is shutting down; retry at another one');
    }
    if (this.context.isReady()) return undefined;
    return createError('no_upstream', 'configuration is not loaded yet', NOT_READY_RETRY_AFTER_MS);
  }
}

function formatRejection(code: string): string {
  const { status, error: refusal } = parserErrors[code] ?? malformed;
  const body = JSON.stringify(formatError(refusal));
  const requestId = randomBytes(6).toString('hex');
  const head = `content-type: application/json\r\nx-request-id: ${requestId}\r\nconnection: close`;
  return `HTTP/1.1 ${status}\r\n${head}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}
