import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { expect } from 'chai';
import { waitUntil } from '../../test/support/waiting.js';
import { observeClose, observeDisconnect } from './responseClose.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: app.example\r\n\r\n';

describe('observed ends of responses', () => {
  /** Sends two requests at once, and counts for each how often the end of its response is observed. */
  async function countEnds(
    observe: typeof observeClose,
    handle: (response: ServerResponse) => void,
    finish: (caller: Socket) => void,
  ): Promise<number[]> {
    const ends: number[] = [];
    const server = createServer((request: IncomingMessage, response) => {
      const index = ends.push(0) - 1;
      observe({ request, response }, () => {
        ends[index] = (ends[index] ?? 0) + 1;
      });
      handle(response);
    });
    const sockets: Socket[] = [];
    server.on('connection', (socket) => sockets.push(socket));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
    caller.resume().write(REQUEST.repeat(2));
    await waitUntil('requests received', () => ends.length === 2);
    finish(caller);
    await waitUntil('ends observed', () => ends.every((count) => count > 0));
    const closed = new Promise((resolve) => server.close(resolve));
    caller.destroy();
    await closed;
    await waitUntil('connection closed at the server', () =>
      sockets.every(({ closed: isClosed }) => isClosed),
    );
    return ends;
  }

  it('guards against ends that are missed or reported twice when the caller leaves', async () => {
    for (const observe of [observeClose, observeDisconnect]) {
      const ends = await countEnds(
        observe,
        () => undefined,
        (caller) => caller.destroy(),
      );
      expect(ends).to.deep.equal([1, 1]);
    }
  });

  it('guards against ends that are reported again when the connection of complete responses closes', async () => {
    const ends = await countEnds(
      observeClose,
      (response) => response.end(),
      () => undefined,
    );
    expect(ends).to.deep.equal([1, 1]);
  });
});
