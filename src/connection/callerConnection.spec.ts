import { expect } from 'chai';
import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { listenOnLoopback } from '../../test/standins/httpServer.js';
import { waitMs, waitUntil } from '../../test/support/waiting.js';
import { CallerConnection } from './callerConnection.js';

describe('callerConnection', () => {
  let server: Server;
  let caller: Socket;
  let accepted: Socket;
  let received = '';
  let end: 'open' | 'closed' | 'reset' = 'open';

  beforeEach(async () => {
    received = '';
    end = 'open';
    server = createServer({ allowHalfOpen: true });
    const connected = new Promise<Socket>((resolve) => server.once('connection', resolve));
    const port = await listenOnLoopback(server, 0);
    caller = connect({ host: '127.0.0.1', port, allowHalfOpen: true });
    caller
      .setEncoding('latin1')
      .on('data', (text: string) => {
        received += text;
      })
      .once('end', () => {
        end = 'closed';
      })
      .once('error', () => {
        end = 'reset';
      });
    accepted = await connected;
    accepted.on('error', () => undefined).resume();
  });
  afterEach(() => {
    caller.destroy();
    accepted.destroy();
    server.close();
  });

  // Node drops the responses after one that announces the close.
  it('guards against an announced close before the response to a later request', () => {
    const connection = new CallerConnection<string>(accepted, 0);
    connection.add('first');
    connection.add('second');
    expect(connection.tryAnnounceClose('first')).to.equal(false);
    expect(connection.isClosing).to.equal(false);
    connection.remove('first', 10);
    expect(connection.tryAnnounceClose('second')).to.equal(true);
    expect(connection.isClosing).to.equal(true);
  });

  // A request that was sent ahead has been received, and would end without a response.
  it('guards against an announced close before the response to a request that is not parsed yet', () => {
    const reader = { hasRequestAhead: true, discard: () => undefined };
    const connection = new CallerConnection<string>(accepted, 0, reader);
    connection.add('first');
    expect(connection.tryAnnounceClose('first')).to.equal(false);
    reader.hasRequestAhead = false;
    expect(connection.tryAnnounceClose('first')).to.equal(true);
  });

  // A caller sends its next request right after a response.
  it('guards against a connection that counts as idle right after a response', () => {
    const connection = new CallerConnection<string>(accepted, 0);
    expect(connection.measureIdleMs(500)).to.equal(500);
    connection.add('first');
    expect(connection.measureIdleMs(600)).to.equal(0);
    connection.remove('first', 700);
    expect(connection.measureIdleMs(750)).to.equal(50);
  });

  // The bytes of a request that has been answered are no use of the connection after its response.
  it('guards against a connection that does not count as idle because of an earlier request', async () => {
    const connection = new CallerConnection<string>(accepted, 0);
    caller.write('request');
    await waitUntil('read', () => accepted.bytesRead > 0);
    connection.add('first');
    connection.remove('first', 100);
    expect(connection.measureIdleMs(900)).to.equal(800);
    caller.write('begin');
    await waitUntil('read', () => accepted.bytesRead > 7);
    expect(connection.measureIdleMs(950)).to.equal(0);
    expect(connection.measureIdleMs(1_000)).to.equal(50);
  });

  // A socket that is closed with unread bytes is reset.
  it('guards against a reset by bytes that arrive after the close', async () => {
    const connection = new CallerConnection<string>(accepted, 0);
    connection.close('answer');
    await waitUntil('answer received', () => received === 'answer');
    for (let count = 0; count < 5; count += 1) {
      caller.write('request');
      await waitMs(20);
    }
    expect(end).to.equal('closed');
    expect(accepted.destroyed).to.equal(false);
    caller.end();
    await waitUntil('closed', () => accepted.destroyed);
    expect(end).to.equal('closed');
  });

  // A caller that never closes its side must not keep the connection open.
  it('guards against a connection that stays open because its caller does not close it', async () => {
    const connection = new CallerConnection<string>(accepted, 0);
    accepted.destroySoon();
    expect(connection.isClosing).to.equal(true);
    await waitUntil('destroyed', () => accepted.destroyed, { timeoutMs: 3_000 });
  });
});
