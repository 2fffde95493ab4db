import { randomBytes } from 'node:crypto';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import { expect } from 'chai';
import { Client } from 'undici';
import { connectMetered } from './meteredSocket.js';

const MIB = 1024 * 1024;
const BODY_BYTES = 30 * MIB;

describe('metered connection', () => {
  let server: Server;
  afterEach(() => {
    server.close();
  });

  async function listen(respond: (socket: Socket) => void): Promise<number> {
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        respond(socket);
      });
    }).listen(0, '127.0.0.1');
    await new Promise((resolve) => server.once('listening', resolve));
    return (server.address() as AddressInfo).port;
  }

  async function read(
    port: number,
    onRead: (bytes: number) => void = () => undefined,
    pauseEvery = Infinity,
  ): Promise<Buffer> {
    const client = new Client(`http://127.0.0.1:${port}`, {
      connect: (_options, callback) => {
        const socket = connectMetered({ host: '127.0.0.1', port }, { onRead });
        socket.once('connect', () => {
          callback(null, socket);
        });
      },
    });
    const parts: Buffer[] = [];
    let count = 0;
    await new Promise<void>((resolve, reject) => {
      client.dispatch(
        { path: '/', method: 'GET', reset: true },
        {
          onRequestStart: () => undefined,
          onResponseStart: () => undefined,
          onResponseData: (controller, data) => {
            parts.push(Buffer.from(data));
            count += 1;
            if (count % pauseEvery !== 0) return;
            controller.pause();
            setImmediate(() => {
              controller.resume();
            });
          },
          onResponseEnd: () => {
            resolve();
          },
          onResponseError: (_controller, error) => {
            reject(error);
          },
        },
      );
    });
    await client.destroy();
    return Buffer.concat(parts);
  }

  function formatChunks(body: Buffer, size: number): Buffer {
    const parts: Buffer[] = [Buffer.from('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')];
    for (let start = 0; start < body.length; start += size) {
      const content = body.subarray(start, start + size);
      parts.push(Buffer.from(`${content.length.toString(16)}\r\n`), content, Buffer.from('\r\n'));
    }
    parts.push(Buffer.from('0\r\n\r\n'));
    return Buffer.concat(parts);
  }

  for (const chunkBytes of [64 * 1024, 100]) {
    it(`guards against a response of 30 MB that does not pass byte for byte; chunks of ${chunkBytes} bytes`, async () => {
      const body = randomBytes(BODY_BYTES);
      const response = formatChunks(body, chunkBytes);
      const port = await listen((socket) => socket.end(response));
      let readBytes = 0;
      const received = await read(port, (bytes) => (readBytes += bytes));
      expect(received.equals(body)).to.equal(true);
      expect(readBytes).to.equal(response.length);
    });
  }

  it('guards against bytes that are lost or counted twice when the client pauses', async () => {
    const body = randomBytes(MIB);
    const response = formatChunks(body, 1_000);
    const port = await listen((socket) => socket.end(response));
    let readBytes = 0;
    const received = await read(port, (bytes) => (readBytes += bytes), 50);
    expect(received.equals(body)).to.equal(true);
    expect(readBytes).to.equal(response.length);
  });

  it('guards against a response without a length whose end is not read', async () => {
    const body = randomBytes(MIB);
    const port = await listen((socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n');
      socket.end(body);
    });
    expect((await read(port)).equals(body)).to.equal(true);
  });
});
