import { randomInt } from 'node:crypto';
import type { Server } from 'node:net';
import { createServer } from 'node:net';

/** Ports below the ephemeral range of Linux, so that an outgoing connection cannot take one before its server starts. */
const MIN_PORT = 15_000;
const MAX_PORT = 32_000;

/**
 * Finds free loopback ports by listening on all of them at the same time, then closing them.
 *
 * @param count - Number of ports
 * @returns Distinct ports that were free at the time of the call
 * @throws Error when the range has too few free ports
 */
export async function reservePorts(count: number): Promise<number[]> {
  const range = MAX_PORT - MIN_PORT;
  const start = randomInt(range);
  const held: { port: number; server: Server }[] = [];
  for (let offset = 0; offset < range && held.length < count; offset += 1) {
    const port = MIN_PORT + ((start + offset) % range);
    const server = await listenOn(port);
    if (server !== undefined) held.push({ port, server });
  }
  if (held.length < count) throw new Error(`only ${held.length} of ${count} ports are free`);
  for (const { server } of held) {
    await new Promise<void>((resolve) => {
      server.close(() => {
        resolve();
      });
    });
  }
  return held.map(({ port }) => port);
}

function listenOn(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, '127.0.0.1', () => {
      resolve(server);
    });
  });
}
