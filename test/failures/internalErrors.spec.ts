import { expect } from 'chai';
import { headerCodec } from '../../platform/headerCodec.js';
import type { HeaderCodec } from '../../src/process/gateway/types.js';
import { eventsPerStream, formatEvent } from '../standins/platformWorker.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';
import { waitMs, waitUntil } from '../support/waiting.js';

const completeStream = Array.from({ length: eventsPerStream }, (_, index) =>
  formatEvent(index + 1),
).join('');
const FAULT_HEADER = 'x-fault';

/** Functions of the codec that throw for requests with the fault header, or for the responses to them. */
const faults: Readonly<Record<string, Partial<HeaderCodec>>> = {
  'before the request is sent': {
    encodeRequest: (rawHeaders, metadata) => {
      if (rawHeaders.includes(FAULT_HEADER)) throw new Error('fault of a test');
      return headerCodec.encodeRequest(rawHeaders, metadata);
    },
  },
  'in the head of the response': {
    decodeResponse: (status, headers) => {
      if (headers[FAULT_HEADER] !== undefined) throw new Error('fault of a test');
      return headerCodec.decodeResponse(status, headers);
    },
  },
};

describe('unexpected errors in the handling of a request', () => {
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  for (const [place, codec] of Object.entries(faults)) {
    // An exception ended the process with all its streams.
    it(`guards against an error that ends other requests or the process; thrown ${place}`, async () => {
      fixture = await startGatewayFixture({ codec });
      const url = fixture.urls[0] ?? '';
      for (const worker of fixture.workers) worker.eventIntervalMs = 60;
      const stream = callGateway(url, '/chat/a');
      await waitUntil('stream begun', () =>
        fixture.workers.some(({ receivedRequests }) => receivedRequests.length > 0),
      );
      await waitMs(100);
      for (const worker of fixture.workers) worker.statedHeaders = { [FAULT_HEADER]: '1' };
      const faulty = await callGateway(url, '/pay/a', { [FAULT_HEADER]: '1' });
      for (const worker of fixture.workers) worker.statedHeaders = {};
      expect(faulty.status).to.be.oneOf([500, 502]);
      expect(await stream).to.include({ status: 200, isComplete: true, body: completeStream });
      await waitUntil(
        'served again',
        async () => (await callGateway(url, '/pay/b')).status === 200,
      );
    });
  }
});
