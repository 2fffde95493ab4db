import type { AddressInfo } from 'node:net';
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
});
