import { expect } from 'chai';
import { startEndlessWorker } from '../../../test/standins/endlessWorker.js';
import { waitMs, waitUntil } from '../../../test/support/waiting.js';
import { UpstreamExchange } from './upstreamExchange.js';

describe('exchange with an upstream', () => {
  // An exception here ended the request with 500, although another upstream could serve it.
  for (const address of ['127.0.0.1:99999', '999.1.1.1:80', 'no address']) {
    it(`guards against an exception for an address to which no connection can be opened; ${address}`, async () => {
      const mayHaveSent = await new Promise<boolean>((resolve) => {
        const request = { address, method: 'GET', path: '/', headers: [], body: undefined };
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
});
