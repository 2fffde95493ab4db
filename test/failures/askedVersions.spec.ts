import { expect } from 'chai';
import { formatHead, startRawWorker } from '../standins/rawWorker.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';

const REQUESTS = 4;

describe('requests for a version that no upstream has', () => {
  // An upstream refuses them with the status that also tells of another process at its address.
  it('guards against upstreams that are out of use because of them', async () => {
    const workers = await Promise.all(
      ['i-a', 'i-b'].map((id) =>
        startRawWorker(id, (socket, { requestId, path }) => {
          if (path === '/lookup/version') {
            socket.end(formatHead(requestId, ['Content-Length: 0'], '421 Misdirected Request'));
          } else {
            socket.end(`${formatHead(requestId, ['Content-Length: 2'])}ok`);
          }
        }),
      ),
    );
    const fixture = await startGatewayFixture({ workers: 0, ownWorkers: workers });
    const url = fixture.urls[0] ?? '';
    const statuses = new Set<number>();
    for (let index = 0; index < REQUESTS; index += 1) {
      const headers = { 'expect-version': '999999' };
      statuses.add((await callGateway(url, '/lookup/version', headers)).status);
    }
    const ordinary = await callGateway(url, '/lookup/a');
    await fixture.close();
    for (const worker of workers) await worker.close();
    expect([...statuses]).to.deep.equal([503]);
    expect(ordinary.status).to.equal(200);
  });
});
