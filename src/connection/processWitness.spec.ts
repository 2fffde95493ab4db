import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';
import { expect } from 'chai';
import { waitMs, waitUntil } from '../../test/support/waiting.js';
import { connectionFaults } from './connectionFaults.js';
import { ProcessWitness } from './processWitness.js';

const TIMEOUT_RESPONSE =
  'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Type: text/html\r\nContent-Length: 300\r\n\r\n';
const SETTLE_MS = 100;

interface Upstream {
  readonly address: string;
  readonly sockets: readonly Socket[];
  close(): void;
}

async function startUpstream(
  onConnection: (socket: Socket, index: number) => void,
): Promise<Upstream> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    sockets.push(socket);
    onConnection(socket, sockets.length - 1);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const close = (): void => {
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return { address: `127.0.0.1:${port}`, sockets, close };
}

const countFaults = (): number => new Map(connectionFaults.listCounts()).get('idle_bytes') ?? 0;

describe('process witness', () => {
  const check = async (
    onConnection: (socket: Socket, index: number) => void,
    areSettled: (sockets: readonly Socket[]) => boolean,
  ): Promise<{ isAlive: boolean; connections: number; faults: number }> => {
    const upstream = await startUpstream(onConnection);
    const before = countFaults();
    const witness = new ProcessWitness({ address: upstream.address, hasPaused: () => false });
    await waitUntil('connections', () => areSettled(upstream.sockets));
    await waitMs(SETTLE_MS);
    const connections = upstream.sockets.length;
    const isAlive = await witness.confirm();
    witness.close();
    upstream.close();
    return { isAlive, connections, faults: countFaults() - before };
  };

  it('guards against a short response on an idle connection that makes a sound upstream count as ended', async () => {
    const outcome = await check(
      (socket, index) => {
        if (index < 4) socket.end(`${TIMEOUT_RESPONSE}${'x'.repeat(300)}`);
      },
      (sockets) => sockets.length === 5,
    );
    expect(outcome).to.deep.equal({ isAlive: true, connections: 5, faults: 0 });
  });

  // Each connection that the upstream closes is replaced, so bytes on all of them count together.
  it('guards against replacements of connections that each bring many bytes', async () => {
    const outcome = await check(
      (socket) => socket.end('x'.repeat(4_000)),
      (sockets) => sockets.length === 3 && sockets.every(({ destroyed }) => destroyed),
    );
    expect(outcome).to.deep.equal({ isAlive: false, connections: 3, faults: 1 });
  });

  it('guards against an idle connection that is read without a bound, or replaced after that', async () => {
    const outcome = await check(
      (socket) => {
        const send = (): void => {
          if (!socket.destroyed) socket.write(Buffer.alloc(64 * 1024), send);
        };
        send();
      },
      ([first]) => first?.destroyed === true,
    );
    expect(outcome).to.deep.equal({ isAlive: false, connections: 1, faults: 1 });
  });

  it('guards against bytes in small parts that count as idle', async () => {
    const outcome = await check(
      (socket) => {
        const send = (): void => {
          if (!socket.destroyed) socket.write('x'.repeat(10), () => setImmediate(send));
        };
        send();
      },
      ([first]) => first?.destroyed === true,
    );
    expect(outcome).to.deep.equal({ isAlive: false, connections: 1, faults: 1 });
  });
});
