import type { Server } from 'node:http';
import { createBoundedServer } from '../connection/boundedServer.js';
import { CallerMemory } from '../connection/callerMemory.js';
import { ConnectionTable } from '../connection/connectionTable.js';

/** Connections of monitoring and of load balancers, which need a few. */
const MAX_CONNECTIONS = 64;
const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 10_000;
const MAX_HELD_BYTES = 4 * 1024 * 1024;
const MEMORY_INTERVAL_MS = 500;

/**
 * Creates an HTTP server for a port on which nobody sends much: readiness, metrics and the state of the process.
 *
 * @returns The server, not listening
 */
export function createControlServer(): Server {
  const memory = new CallerMemory(MAX_HELD_BYTES);
  const server = createBoundedServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    requestLimits: { maxPerConnection: 1, maxTotal: MAX_CONNECTIONS },
    memory,
    readClock: Date.now,
  });
  const connections = new ConnectionTable({
    server,
    maxConnections: MAX_CONNECTIONS,
    readClock: Date.now,
    formatRejection: () => 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n',
    getStage: ({ response }) => (response.writableEnded ? 'delivering' : 'working'),
    onEvict: () => undefined,
  });
  server.prependListener('request', (request, response) => {
    connections.add({ request, response });
    connections.discardBody({ request, response });
  });
  const timer = setInterval(() => {
    memory.advance(Date.now());
  }, MEMORY_INTERVAL_MS);
  timer.unref();
  server.once('close', () => {
    clearInterval(timer);
  });
  return server;
}
