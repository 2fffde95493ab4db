import { expect } from 'chai';
import { once } from 'node:events';
import { connect } from 'node:net';
import { waitUntil } from '../../test/support/waiting.js';
import type { Message } from '../protocol/messages.js';
import { encodeFrame } from './frameCodec.js';
import { openLink } from './linkClient.js';
import { LinkServer } from './linkServer.js';
import type { Hello, PeerLink } from './peerLink.js';

const createHello = (processId: string): Hello => ({
  type: 'hello',
  version: 1,
  role: 'entry',
  processId,
  incarnation: `${processId}-1`,
  host: '127.0.0.1',
  availabilityZone: 'ikeja',
  upstreams: [],
});

describe('PeerLink', () => {
  it('guards against lost or reordered messages between two processes', async () => {
    const received: Message[] = [];
    const done = new Promise<void>((resolve) => {
      const server = new LinkServer({
        host: '127.0.0.1',
        port: 0,
        self: () => createHello('server'),
        onLink: () => undefined,
        handlers: {
          cancel: (message) => {
            received.push(message);
            if (received.length === 100) {
              server.close();
              resolve();
            }
          },
        },
      });
      void server.listen().then(async ({ port }) => {
        const opened = await openLink({
          address: `127.0.0.1:${port}`,
          self: () => createHello('client'),
          handlers: {},
        });
        const link: PeerLink = opened.unwrap();
        for (let index = 0; index < 100; index += 1) {
          link.send({ type: 'cancel', attempt: `a${index}` });
        }
      });
    });
    await done;
    const order = received.map((message) => (message.type === 'cancel' ? message.attempt : ''));
    expect(order).to.deep.equal(Array.from({ length: 100 }, (_, index) => `a${index}`));
  });

  it('guards against handling messages that were buffered in the socket while the process was paused', async () => {
    let handled = 0;
    const server = new LinkServer({
      host: '127.0.0.1',
      port: 0,
      self: () => createHello('server'),
      onLink: () => undefined,
      handlers: { cancel: () => (handled += 1) },
      heartbeatTimeoutMs: 200,
      // The first heartbeat check is due after the end of the test.
      heartbeatIntervalMs: 60_000,
    });
    const { port } = await server.listen();
    const opened = await openLink({
      address: `127.0.0.1:${port}`,
      self: () => createHello('client'),
      handlers: {},
      heartbeatIntervalMs: 60_000,
    });
    const link = opened.unwrap();
    link.send({ type: 'cancel', attempt: 'before' });
    await new Promise((resolve) => setTimeout(resolve, 50));
    const closed = new Promise((resolve) => {
      link.onClose(resolve);
    });
    link.send({ type: 'cancel', attempt: 'buffered' });
    // Blocks the event loop longer than the heartbeat time-out while the message is in the server's socket buffer.
    await new Promise((resolve) => setImmediate(resolve));
    const end = Date.now() + 300;
    while (Date.now() < end);
    await closed;
    server.close();
    expect(handled).to.equal(1);
  });

  // The handler counts the remaining time of a request from now, so one that a pause has made old would run after its end.
  it('guards against handling messages that were read before a pause of the process and are dispatched after it', async () => {
    const handled: string[] = [];
    const server = new LinkServer({
      host: '127.0.0.1',
      port: 0,
      self: () => createHello('server'),
      onLink: () => undefined,
      handlers: {
        cancel: ({ attempt }) => {
          handled.push(attempt);
          // Stands for a pause between two messages of one read.
          const end = Date.now() + 300;
          while (attempt === 'first' && Date.now() < end);
        },
      },
      heartbeatTimeoutMs: 200,
      heartbeatIntervalMs: 60_000,
    });
    const { port } = await server.listen();
    const opened = await openLink({
      address: `127.0.0.1:${port}`,
      self: () => createHello('client'),
      handlers: {},
      heartbeatIntervalMs: 60_000,
    });
    const link = opened.unwrap();
    const closed = new Promise((resolve) => {
      link.onClose(resolve);
    });
    // Messages of one event loop turn are sent in one write, and read in one.
    for (const attempt of ['first', 'second']) link.send({ type: 'cancel', attempt });
    const isClosed = await Promise.race([
      closed.then(() => true),
      new Promise((resolve) => setTimeout(resolve, 2_000, false)),
    ]);
    link.destroy('closed');
    server.close();
    expect(handled).to.deep.equal(['first']);
    expect(isClosed).to.equal(true);
  });

  // Both sides say hello without waiting, so a peer may send requests before its own hello has been read. Such a request
  // was counted as sent at the end of the pause, and ran at the upstream after its deadline.
  for (const reads of ['one read', 'two reads']) {
    it(`guards against handling messages that follow a hello which a pause of the process has delayed, in ${reads}`, async () => {
      let handled = 0;
      const server = new LinkServer({
        host: '127.0.0.1',
        port: 0,
        self: () => createHello('server'),
        onLink: () => undefined,
        handlers: {
          cancel: () => {
            handled += 1;
          },
        },
        heartbeatTimeoutMs: 200,
        heartbeatIntervalMs: 60_000,
      });
      const { port } = await server.listen();
      const socket = connect(port, '127.0.0.1');
      socket.setNoDelay(true);
      // The server has said hello and waits for that of the peer.
      await once(socket, 'data');
      // A close with unread bytes is a reset.
      socket.on('error', () => undefined);
      const closed = new Promise((resolve) => {
        socket.once('close', resolve);
      });
      const hello = encodeFrame(createHello('client'));
      const request = encodeFrame({ type: 'cancel', attempt: 'expired' });
      if (reads === 'one read') {
        socket.write(Buffer.concat([hello, request]));
      } else {
        socket.write(hello);
        // The rest of a frame is read later than the hello.
        socket.write(request.subarray(0, 2));
        setTimeout(() => socket.write(request.subarray(2)), 0);
      }
      const end = Date.now() + 300;
      while (Date.now() < end);
      await Promise.race([closed, new Promise((resolve) => setTimeout(resolve, 1_000))]);
      socket.destroy();
      server.close();
      expect(handled).to.equal(0);
    });
  }

  // Frames are read in slices between which the socket is paused.
  it('guards against messages that are lost or reordered while a link waits for its turn', async () => {
    const messages = 50_000;
    const received: string[] = [];
    const server = new LinkServer({
      host: '127.0.0.1',
      port: 0,
      self: () => createHello('server'),
      onLink: () => undefined,
      handlers: { cancel: ({ attempt }) => received.push(attempt) },
    });
    const { port } = await server.listen();
    const opened = await openLink({
      address: `127.0.0.1:${port}`,
      self: () => createHello('client'),
      handlers: {},
    });
    const link = opened.unwrap();
    for (let index = 0; index < messages; index += 1)
      link.send({ type: 'cancel', attempt: `a${index}` });
    await waitUntil('all received', () => received.length === messages, { timeoutMs: 10_000 });
    server.close();
    expect(received).to.deep.equal(Array.from({ length: messages }, (_, index) => `a${index}`));
  });

  it('guards against a peer that takes more than its share of the time', async () => {
    const reasons: string[] = [];
    const server = new LinkServer({
      host: '127.0.0.1',
      port: 0,
      self: () => createHello('server'),
      maxReadShare: 0.2,
      onLink: (link) => {
        link.onClose((reason) => reasons.push(reason));
      },
      handlers: {
        cancel: () => {
          const until = performance.now() + 0.5;
          while (performance.now() < until);
        },
      },
    });
    const { port } = await server.listen();
    const opened = await openLink({
      address: `127.0.0.1:${port}`,
      self: () => createHello('client'),
      handlers: {},
    });
    const link = opened.unwrap();
    for (let index = 0; index < 5_000; index += 1) link.send({ type: 'cancel', attempt: 'a' });
    await waitUntil('link closed', () => reasons.length > 0, { timeoutMs: 5_000 });
    server.close();
    expect(reasons).to.deep.equal(['flooded']);
  });

  it('guards against messages that are kept for a peer that does not read', async () => {
    const links: PeerLink[] = [];
    const server = new LinkServer({
      host: '127.0.0.1',
      port: 0,
      self: () => createHello('server'),
      maxUnsentBytes: 1024 * 1024,
      onLink: (link) => links.push(link),
      handlers: {},
    });
    const { port } = await server.listen();
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined).pause();
    socket.write(encodeFrame(createHello('client')));
    await waitUntil('linked', () => links.length > 0);
    const [link] = links;
    const reasons: string[] = [];
    link?.onClose((reason) => reasons.push(reason));
    const message: Message = { type: 'cancel', attempt: 'a'.repeat(64 * 1024) };
    await waitUntil('link closed', () => {
      link?.send(message);
      return reasons.length > 0;
    });
    expect(reasons).to.deep.equal(['unread']);
    expect(link?.bufferedBytes).to.be.at.most(1024 * 1024);
    socket.destroy();
    server.close();
  });

  it('guards against accepting a peer of another protocol version', async () => {
    const server = new LinkServer({
      host: '127.0.0.1',
      port: 0,
      self: () => createHello('server'),
      onLink: () => undefined,
      handlers: {},
    });
    const { port } = await server.listen();
    const opened = await openLink({
      address: `127.0.0.1:${port}`,
      self: () => ({ ...createHello('client'), version: 2 }),
      handlers: {},
    });
    server.close();
    expect(opened.isErr() && opened.error.code).to.equal('version_mismatch');
  });

  // The rest of a cut frame must not be looked for on the next connection either.
  it('guards against a frame that is cut by the end of its connection and counts as a message', async () => {
    const received: string[] = [];
    const server = new LinkServer({
      host: '127.0.0.1',
      port: 0,
      self: () => createHello('server'),
      onLink: () => undefined,
      handlers: { cancel: ({ attempt }) => received.push(attempt) },
    });
    const { port } = await server.listen();
    const cancel = encodeFrame({ type: 'cancel', attempt: 'cut' });
    const closes: Promise<unknown>[] = [];
    for (let length = 0; length < cancel.length; length += 1) {
      for (const isHelloCut of [false, true]) {
        const hello = encodeFrame(createHello('client'));
        const bytes = isHelloCut ? hello.subarray(0, length) : hello;
        const socket = connect(port, '127.0.0.1').resume();
        socket.end(Buffer.concat([bytes, cancel.subarray(0, length)]));
        closes.push(once(socket, 'close'));
      }
    }
    await Promise.all(closes);
    const opened = await openLink({
      address: `127.0.0.1:${port}`,
      self: () => createHello('client'),
      handlers: {},
    });
    opened.unwrap().send({ type: 'cancel', attempt: 'whole' });
    await waitUntil('message received', () => received.length > 0);
    server.close();
    expect(received).to.deep.equal(['whole']);
    expect(server.links.size).to.be.at.most(1);
  });

  // The exception of the library ended the loop that keeps the link, or the process after twenty of them.
  for (const address of ['127.0.0.1:99999', '127.0.0.1:0', '999.1.1.1:80', 'none']) {
    it(`guards against an exception for an address to which no link can be opened; address: ${address}`, async () => {
      const self = (): Hello => createHello('client');
      const opened = await openLink({ address, self, handlers: {} });
      expect(opened.isErr() && opened.error.code).to.equal('invalid_address');
    });
  }
});
