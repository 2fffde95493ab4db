import type { Server } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { AddressInfo } from 'node:net';
import polka from 'polka';
import { createControlServer } from './controlServer.js';
import { HANDSHAKE_TIMEOUT_MS, limitHandshakes } from '../connection/pendingHandshakes.js';
import type { TlsMaterial } from '../connection/tlsOptions.js';

/** Handlers that return JSON response bodies, by path. */
export type OperatorRoutes = Readonly<Record<string, (query: URLSearchParams) => unknown>>;

export interface OperatorServer {
  readonly port: number;
  close(): void;
}

/**
 * Starts the operator HTTP server, which serves each route as a GET endpoint with a JSON response.
 *
 * @param options - Listen address, material for mutual TLS, and routes
 * @returns The listening server
 */
export async function startOperatorServer(options: {
  host: string;
  port: number;
  tls?: TlsMaterial | undefined;
  routes: OperatorRoutes;
}): Promise<OperatorServer> {
  const server: Server =
    options.tls === undefined ? createControlServer() : createOperatorTlsServer(options.tls);
  const app = polka({ server });
  for (const [path, answer] of Object.entries(options.routes)) {
    app.get(path, (request, response) => {
      const query = new URL(request.url, 'http://localhost').searchParams;
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify(answer(query)));
    });
  }
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    app.listen(options.port, options.host, () => {
      resolve();
    });
  });
  return {
    port: (server.address() as AddressInfo).port,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

function createOperatorTlsServer(tls: TlsMaterial): Server {
  const options = { ...tls, requestCert: true, rejectUnauthorized: true };
  const server = createTlsServer({ ...options, handshakeTimeout: HANDSHAKE_TIMEOUT_MS });
  limitHandshakes(server);
  return server;
}
