import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Server as NetServer } from 'node:net';
import { pathToFileURL } from 'node:url';

export interface StandIn {
  readonly port: number;
  readonly url: string;
  close(): Promise<void>;
}

/** Handles one request; `body` is the complete request body. */
export type Route = (context: {
  body: Buffer;
  request: IncomingMessage;
  response: ServerResponse;
  query: URLSearchParams;
}) => unknown;

/**
 * Creates an HTTP server from a table of routes; a result other than undefined is sent as JSON.
 *
 * @param routes - Routes by `METHOD /path`
 * @returns Server that is not listening yet
 */
export function createRouteServer(routes: Readonly<Record<string, Route>>): Server {
  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = new URL(request.url ?? '/', 'http://localhost');
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    const route = routes[`${request.method ?? ''} ${url.pathname}`];
    if (route === undefined) {
      response.writeHead(404).end();
      return;
    }
    const context = { body: Buffer.concat(parts), request, response, query: url.searchParams };
    const result = await route(context);
    if (result === undefined || response.writableEnded) return;
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify(result));
  };
  return createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
}

/**
 * Listens on the loopback address.
 *
 * @param server - Server
 * @param port - Port; 0 selects a free one
 * @returns The bound port
 */
export function listenOnLoopback(server: NetServer, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => {
      server.off('error', reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/**
 * Closes a server and all its connections.
 *
 * @param server - Server
 */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}

/**
 * Checks whether a module was started directly as a program.
 *
 * @param moduleUrl - `import.meta.url`
 * @returns True for the main module
 */
export function isMain(moduleUrl: string): boolean {
  const script = process.argv[1];
  return script !== undefined && pathToFileURL(script).href === moduleUrl;
}

/**
 * Parses the `--name value` arguments of the program; numeric values are converted to numbers.
 *
 * @returns Options by name
 */
export function readArguments(): Record<string, string | number> {
  const options: Record<string, string | number> = {};
  const programArguments = process.argv.slice(2);
  for (const [index, argument] of programArguments.entries()) {
    const value = programArguments[index + 1];
    if (!argument.startsWith('--') || value === undefined) continue;
    options[argument.slice(2)] = Number.isNaN(Number(value)) ? value : Number(value);
  }
  return options;
}
