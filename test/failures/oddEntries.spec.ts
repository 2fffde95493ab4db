import { expect } from 'chai';
import { encodeFrame } from '../../src/connection/frameCodec.js';
import { openLink } from '../../src/connection/linkClient.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';
import { reservePorts } from '../support/ports.js';
import { waitMs, waitUntil } from '../support/waiting.js';

const CALLS = 60;
const oddFields: Readonly<Record<string, object>> = {
  'port 99999': { address: '127.0.0.1:99999' },
  'port 0': { address: '127.0.0.1:0' },
  'host 999.1.1.1': { address: '999.1.1.1:80' },
  'slots 1e15': { slots: 1e15 },
};

describe('odd entries of other writers in the upstream list', () => {
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  const callOften = async (): Promise<number[]> => {
    const statuses: number[] = [];
    for (let call = 0; call < CALLS; call += 1) {
      const path = call % 2 === 0 ? '/lookup/a' : '/pay/a';
      statuses.push((await callGateway(fixture.urls[0] ?? '', path)).status);
    }
    return statuses.filter((status) => status !== 200);
  };

  for (const [name, fields] of Object.entries(oddFields)) {
    it(`guards against requests that fail because of one entry beside sound ones; ${name}`, async () => {
      fixture = await startGatewayFixture({ workers: 3 });
      fixture.publishWorker({ id: 'odd', port: 9 }, fields);
      await waitMs(1_500);
      expect(await callOften()).to.deep.equal([]);
      expect(fixture.gateways[0]!.metrics.getCount('outcome_internal')).to.equal(0);
    });
  }

  it('guards against a gateway that no longer follows the list after an odd entry', async () => {
    fixture = await startGatewayFixture({ workers: 2 });
    const nested = '['.repeat(200_000) + ']'.repeat(200_000);
    fixture.store.putBytes('servers/odd', Buffer.from(`{"service":${nested}}`));
    fixture.store.putBytes('op/evacuate/', Buffer.from(nested));
    await waitMs(800);
    fixture.store.remove('servers/i-0');
    await waitUntil('removal followed', async () => {
      const before = fixture.workers[0]!.receivedRequests.length;
      for (let call = 0; call < 8; call += 1) await callGateway(fixture.urls[0] ?? '', '/lookup/a');
      return fixture.workers[0]!.receivedRequests.length === before;
    });
    expect(await callOften()).to.deep.equal([]);
  });

  // Addresses of gateways are passed on from one to the next.
  it('guards against a frame of a peer whose addresses lead nowhere', async () => {
    const [port = 0] = await reservePorts(1);
    const linkAddress = `127.0.0.1:${port}`;
    fixture = await startGatewayFixture({ workers: 1, settings: { linkAddress, seeds: [] } });
    const unhandled: unknown[] = [];
    const listener = (error: unknown): void => {
      unhandled.push(error);
    };
    process.on('unhandledRejection', listener);
    const opened = await openLink({
      address: linkAddress,
      self: () => ({
        type: 'hello',
        version: 1,
        role: 'gateway',
        processId: 'odd',
        incarnation: 'odd-1',
        host: '999.1.1.1:80',
        availabilityZone: 'a',
        upstreams: [],
        features: [],
      }),
      handlers: {},
    });
    const link = opened.unwrap();
    const peers = Array.from({ length: 40 }, (_, index) => `127.0.0.1:${70_000 + index}`);
    link.sendFrame(encodeFrame({ type: 'gatewayCounts', running: {}, peers }));
    await waitMs(300);
    process.off('unhandledRejection', listener);
    link.close();
    expect(unhandled).to.deep.equal([]);
    expect(await callOften()).to.deep.equal([]);
  });
});
