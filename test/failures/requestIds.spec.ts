import { expect } from 'chai';
import { formatHead, startRawWorker } from '../standins/rawWorker.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';
import { RawCaller } from '../support/rawCaller.js';
import { waitUntil } from '../support/waiting.js';

const REQUESTS = 12;
const idLines: Readonly<Record<string, readonly string[]>> = {
  'no id': [],
  'an empty id': ['Request-Id: '],
  'two ids': ['Request-Id: r-a', 'Request-Id: r-b'],
};

describe('requests without one id', () => {
  // An upstream refuses such a request, which the gateway took for a fault of the upstream.
  for (const [name, lines] of Object.entries(idLines)) {
    it(`guards against an upstream that is out of use because of requests with ${name}`, async () => {
      const worker = await startRawWorker('i-a', (socket, { requestId }) => {
        if (requestId === 'r-a' || requestId === '') {
          socket.end('HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n');
        } else {
          socket.end(`${formatHead(requestId, ['Content-Length: 2'])}ok`);
        }
      });
      const fixture = await startGatewayFixture({ workers: 0, ownWorkers: [worker] });
      const url = fixture.urls[0] ?? '';
      const head = ['GET /lookup/a HTTP/1.1', 'Host: app.example', 'X-Api-Key: key-1', ...lines];
      const caller = new RawCaller(url);
      caller.send(`${head.join('\r\n')}\r\n\r\n`.repeat(REQUESTS));
      const countResponses = (): number => caller.received.split('HTTP/1.1 400 ').length - 1;
      await waitUntil('all refused', () => countResponses() === REQUESTS);
      const { status } = await callGateway(url, '/lookup/a');
      caller.close();
      const sent = worker.requests.length;
      await fixture.close();
      await worker.close();
      expect({ status, sent }).to.deep.equal({ status: 200, sent: 1 });
    });
  }
});
