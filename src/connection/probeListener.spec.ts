import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';
import { expect } from 'chai';
import { probeListener } from './probeListener.js';

/** Longer than the time-out of a probe. */
const PAUSE_MS = 450;

describe('probe of a listener', () => {
  // A pause of this process must not count as the crash of an upstream, which all gateways are told of.
  it('guards against a running upstream that counts as crashed because this process was paused', async () => {
    const server = createServer((socket) => socket.destroy());
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const isListening = probeListener(`127.0.0.1:${port}`);
    const until = performance.now() + PAUSE_MS;
    while (performance.now() < until);
    expect(await isListening).to.equal(true);
    await new Promise((resolve) => server.close(resolve));
    expect(await probeListener(`127.0.0.1:${port}`)).to.equal(false);
  });

  it('guards against reading what a listener sends without end', async () => {
    const probes: Socket[] = [];
    const record = (message: unknown): void => {
      probes.push((message as { socket: Socket }).socket);
    };
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      const send = (): void => {
        if (!socket.destroyed) socket.write(Buffer.alloc(64 * 1024), send);
      };
      send();
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    subscribe('net.client.socket', record);
    const answers = await Promise.all(
      Array.from({ length: 50 }, () => probeListener(`127.0.0.1:${port}`)),
    );
    unsubscribe('net.client.socket', record);
    await new Promise((resolve) => server.close(resolve));
    expect(answers.every(Boolean)).to.equal(true);
    expect(probes.map(({ bytesRead, destroyed }) => ({ bytesRead, destroyed }))).to.deep.equal(
      Array.from({ length: 50 }, () => ({ bytesRead: 0, destroyed: true })),
    );
  });
});
