import type { Socket } from 'node:net';
import { formatEvent } from '../standins/platformWorker.js';
import type { RawRequest, RawWorker } from '../standins/rawWorker.js';
import { formatHead, startRawWorker } from '../standins/rawWorker.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';
import { formatRequest, RawCaller } from '../support/rawCaller.js';
import { waitMs, waitUntil } from '../support/waiting.js';

/** Far more than the kernel and the gateway keep for a caller that does not read. */
const EVENTS = 100_000;
const CALLERS = 3;

describe('slow callers of a stream that ends with its connection', () => {
  let fixture: GatewayFixture;
  let worker: RawWorker;
  let sockets: Socket[];

  beforeEach(async () => {
    sockets = [];
    worker = await startRawWorker('i-a', (socket, { requestId, path }: RawRequest) => {
      if (!path.startsWith('/talk/')) {
        socket.end(`${formatHead(requestId, ['Content-Length: 2'])}ok`);
        return;
      }
      sockets.push(socket);
      socket.write(formatHead(requestId, ['Content-Type: text/event-stream']));
      for (let id = 1; id <= EVENTS; id += 1) socket.write(formatEvent(id));
    });
    fixture = await startGatewayFixture({ workers: 0, ownWorkers: [worker] });
  });
  afterEach(async () => {
    await fixture.close();
    await worker.close();
  });

  const startSlowCallers = async (): Promise<RawCaller[]> => {
    const callers = Array.from({ length: CALLERS }, (_, index) => {
      const caller = new RawCaller(fixture.urls[0] ?? '');
      caller.pause();
      caller.send(formatRequest('/talk/a', `r-${index}`, 'question'));
      return caller;
    });
    await waitUntil('streams paused', () => sockets.length === CALLERS);
    await waitMs(300);
    return callers;
  };

  // The HTTP client asserts that a connection which closes is not paused; a process ends after twenty such errors.
  for (const [event, cause] of Object.entries({
    'the callers leave': (callers: RawCaller[]) => {
      for (const caller of callers) caller.close();
    },
    'the upstream resets its connections': () => {
      for (const socket of sockets) socket.resetAndDestroy();
    },
  })) {
    it(`guards against errors that no handler catches when ${event}`, async () => {
      const callers = await startSlowCallers();
      cause(callers);
      // An upstream that has reset a connection gets no work for a while.
      await waitUntil('answered again', async () => {
        const { status } = await callGateway(fixture.urls[0] ?? '', '/lookup/a');
        return status === 200;
      });
      for (const caller of callers) caller.close();
    });
  }
});
