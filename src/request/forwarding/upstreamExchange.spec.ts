import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';
import { expect } from 'chai';
import { startEndlessWorker } from '../../../test/standins/endlessWorker.js';
import { waitMs, waitUntil } from '../../../test/support/waiting.js';
import { ReadFlow } from '../../connection/readScheduler.js';
import { UpstreamExchange } from './upstreamExchange.js';

const BODY_BYTES = 17_000;
const END_DELAY_MS = 5;

describe('exchange with an upstream', () => {
  // An exception here ended the request with 500, although another upstream could serve it.
  for (const address of ['127.0.0.1:99999', '999.1.1.1:80', 'no address']) {
    it(`guards against an exception for an address to which no connection can be opened; ${address}`, async () => {
      const mayHaveSent = await new Promise<boolean>((resolve) => {
        const request = {
          address,
          method: 'GET',
          path: '/',
          headers: [],
          body: undefined,
          flow: new ReadFlow(),
        };
        const exchange = new UpstreamExchange(
          { ...request, maxFramingBytes: 1_000 },
          {
            confirmSend: () => true,
            onHead: () => undefined,
            onData: () => undefined,
            onRead: () => undefined,
            onEnd: () => {
              resolve(exchange.mayHaveSent);
            },
          },
        );
        exchange.start();
      });
      expect(mayHaveSent).to.equal(false);
    });
  }

  // The end of one response frees memory that lets another one continue; an error that no handler catches fails a test.
  for (const action of ['resume', 'abort'] as const) {
    it(`guards against an error when an exchange reads and calls this of a paused one: ${action}`, async () => {
      const worker = await startEndlessWorker('i-a', 'unframed');
      const request = {
        address: `127.0.0.1:${worker.port}`,
        method: 'GET',
        path: '/',
        headers: [],
        flow: new ReadFlow(),
      };
      const start = (onData: () => void): UpstreamExchange => {
        const exchange = new UpstreamExchange(
          { ...request, body: undefined, maxFramingBytes: 100_000 },
          {
            confirmSend: () => true,
            onHead: () => undefined,
            onData,
            onRead: () => undefined,
            onEnd: () => undefined,
          },
        );
        exchange.start();
        return exchange;
      };
      let reads = 0;
      const paused = start(() => {
        reads += 1;
        if (reads === 1) paused.pause();
      });
      await waitUntil('first read', () => reads > 0);
      await waitMs(100);
      const readsOfPaused = reads;
      let hasCalled = false;
      const reading = start(() => {
        if (hasCalled) return;
        hasCalled = true;
        paused[action]();
      });
      await waitUntil('call', () => hasCalled);
      await waitMs(100);
      expect(reads > readsOfPaused).to.equal(action === 'resume');
      paused.abort();
      reading.abort();
      await waitUntil('connections closed', () => worker.active === 0);
      await worker.close();
    });
  }

  describe('whose response has arrived before its connection ends', () => {
    const body = 'a'.repeat(BODY_BYTES);
    const heads: Readonly<Record<string, string>> = {
      'with a length': `Content-Length: ${BODY_BYTES}\r\n`,
      'with a length and Connection: close': `Content-Length: ${BODY_BYTES}\r\nConnection: close\r\n`,
      'without a length': '',
    };
    const ends: Readonly<Record<string, (socket: Socket) => void>> = {
      'orderly end': (socket) => {
        socket.end();
      },
      reset: (socket) => {
        setTimeout(() => {
          socket.resetAndDestroy();
        }, END_DELAY_MS);
      },
    };

    /** Receives a response, and pauses after each part, or keeps the event loop busy until the connection has ended. */
    async function receive(
      head: string,
      end: (socket: Socket) => void,
      onPart: (exchange: UpstreamExchange) => void,
    ): Promise<{ isComplete: boolean; bytes: number }> {
      const server = createServer((socket) => {
        socket.on('error', () => undefined);
        socket.once('data', () => {
          socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n${body}`);
          end(socket);
        });
      }).listen(0, '127.0.0.1');
      await once(server, 'listening');
      const { port } = server.address() as AddressInfo;
      let bytes = 0;
      const isComplete = await new Promise<boolean>((resolve) => {
        const exchange = new UpstreamExchange(
          {
            address: `127.0.0.1:${port}`,
            method: 'GET',
            path: '/',
            headers: [],
            body: undefined,
            flow: new ReadFlow(),
            maxFramingBytes: 1_000,
          },
          {
            confirmSend: () => true,
            onHead: () => undefined,
            onData: (data) => {
              bytes += data.length;
              onPart(exchange);
            },
            onRead: () => undefined,
            onEnd: resolve,
          },
        );
        exchange.start();
      });
      server.close();
      return { isComplete, bytes };
    }

    for (const [headName, head] of Object.entries(heads)) {
      for (const [endName, end] of Object.entries(ends)) {
        // The client asserts that it has not paused when its connection ends; twenty such errors ended the process.
        it(`guards against an error, or a response that counts as cut, while it is paused; ${headName}, ${endName}`, async () => {
          const ended = await receive(head, end, (exchange) => {
            exchange.pause();
            setTimeout(() => {
              exchange.resume();
            }, 4 * END_DELAY_MS);
          });
          const isCut = headName === 'without a length' && endName === 'reset';
          expect(ended).to.deep.equal({ isComplete: !isCut, bytes: BODY_BYTES });
        });
      }
    }

    // The rest of the response waited for its turn in the socket, which discards it on a reset.
    it('guards against a complete response that is lost because its connection is reset before all of it is parsed', async () => {
      const ended = await receive(heads['with a length'] ?? '', ends.reset!, () => {
        // Uses the time of the turn, so that the rest waits for the next one.
        const until = performance.now() + END_DELAY_MS;
        while (performance.now() < until);
      });
      expect(ended).to.deep.equal({ isComplete: true, bytes: BODY_BYTES });
    });
  });
});
