import { createServer } from 'node:http';
import { Agent, request as send } from 'undici';
import type { StandIn } from './httpServer.js';
import { closeServer, listenOnLoopback } from './httpServer.js';

/**
 * Starts a proxy that keeps its connections to the workers and forwards responses without checks.
 *
 * @param ports - Ports of the workers, used in turn
 * @returns The running stand-in
 */
export async function startNaiveGateway(ports: readonly number[]): Promise<StandIn> {
  const dispatcher = new Agent();
  let turn = 0;
  const server = createServer((request, response) => {
    void (async () => {
      try {
        const url = `http://127.0.0.1:${ports[turn++ % ports.length] ?? 0}${request.url ?? '/'}`;
        const upstream = await send(url, {
          dispatcher,
          method: (request.method ?? 'GET') as 'GET' | 'POST',
          headers: { 'request-id': String(request.headers['request-id']) },
          body: request.method === 'POST' ? request : null,
        });
        const headers = Object.entries(upstream.headers).filter(
          ([name]) => name !== 'transfer-encoding' && name !== 'connection',
        );
        response.writeHead(upstream.statusCode, Object.fromEntries(headers));
        for await (const data of upstream.body as AsyncIterable<Buffer>) response.write(data);
        response.end();
      } catch {
        response.destroy();
      }
    })();
  });
  const port = await listenOnLoopback(server, 0);
  return {
    port,
    url: `http://127.0.0.1:${port}`,
    close: async () => {
      await dispatcher.destroy();
      await closeServer(server);
    },
  };
}
