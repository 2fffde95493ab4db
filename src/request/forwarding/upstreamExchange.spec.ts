import { expect } from 'chai';
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
});
