import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { setImmediate as waitForTurn, setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { startTimeout } from './startTimeout.js';

const DURATION_MS = 40;
/** Longer than the time-out, so that its timer fires late. */
const BUSY_MS = 100;

/** Blocks the event loop, as a long computation or SIGSTOP does. */
function blockEventLoop(): void {
  const until = performance.now() + BUSY_MS;
  while (performance.now() < until);
}

describe('time-out for a message of another process', () => {
  let local: Socket;
  let remote: Socket;
  let timeouts: number;
  const countTimeout = (): void => {
    timeouts += 1;
  };

  beforeEach(async () => {
    timeouts = 0;
    const server = createServer();
    await once(server.listen(0, '127.0.0.1'), 'listening');
    const accepted = once(server, 'connection') as Promise<[Socket]>;
    local = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1' });
    [[remote]] = await Promise.all([accepted, once(local, 'connect')]);
    server.close();
  });

  afterEach(() => {
    local.destroy();
    remote.destroy();
  });

  // Timers fire before the event loop reads its sockets, so a plain timer reports a missing reply.
  it('guards against a reply that arrived in time and counts as missing because the process was busy', async () => {
    const cancel = startTimeout(DURATION_MS, countTimeout);
    local.once('data', cancel);
    remote.write('reply');
    blockEventLoop();
    await sleep(2 * BUSY_MS);
    expect(timeouts).to.equal(0);
  });

  // A peer that was paused together with this process sends its reply only after both have gone on.
  it('guards against a reply that counts as missing because it takes one more turn after the pause', async () => {
    const cancel = startTimeout(DURATION_MS, countTimeout);
    local.once('data', cancel);
    remote.once('data', () => remote.write('reply'));
    local.write('request');
    blockEventLoop();
    await sleep(2 * BUSY_MS);
    expect(timeouts).to.equal(0);
  });

  // The wait is extended once only, so what arrived in a second delay has to be read before the time-out.
  it('guards against a reply that arrived in time and counts as missing because the extended wait was delayed too', async () => {
    const cancel = startTimeout(DURATION_MS, countTimeout);
    local.once('data', cancel);
    blockEventLoop();
    await sleep(1);
    remote.write('reply');
    blockEventLoop();
    await sleep(2 * BUSY_MS);
    expect(timeouts).to.equal(0);
  });

  // Each further delay must not extend the wait again, or a process under load would wait without end.
  it('guards against a wait without end in a process that is busy again and again', async () => {
    startTimeout(DURATION_MS, countTimeout);
    blockEventLoop();
    await sleep(1);
    expect(timeouts).to.equal(0);
    blockEventLoop();
    await sleep(1);
    // If the process is late by a millisecond, this timer fires together with that of the time-out, whose listener is
    // called at the end of the turn.
    await waitForTurn();
    expect(timeouts).to.equal(1);
  });

  // A time-out that fires early reports a process that still has time to reply.
  it('guards against a time-out before its time, none at all, or a second one', async () => {
    const startedAt = performance.now();
    const waitedMs = await new Promise<number>((resolve) => {
      startTimeout(DURATION_MS, () => {
        countTimeout();
        resolve(performance.now() - startedAt);
      });
    });
    // Timers have a resolution of 1 ms.
    expect(waitedMs).to.be.at.least(DURATION_MS - 1);
    await sleep(2 * DURATION_MS);
    expect(timeouts).to.equal(1);
  });

  // A call that has been answered must not fail afterwards.
  it('guards against a time-out after it was cancelled', async () => {
    const cancel = startTimeout(DURATION_MS, countTimeout);
    cancel();
    cancel();
    await sleep(2 * DURATION_MS);
    expect(timeouts).to.equal(0);
  });
});
