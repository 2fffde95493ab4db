import { expect } from 'chai';
import type { WorkerStandIn } from '../standins/platformWorker.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { startGatewayFixture } from '../support/gatewayFixture.js';
import type { BusyCallers } from '../support/rateLimitCallers.js';
import { GATEWAY_HEADER, startBusyCallers } from '../support/rateLimitCallers.js';
import type { BusiestWindow } from '../support/rateLimitRule.js';
import { findBusiestWindow } from '../support/rateLimitRule.js';
import { waitMs } from '../support/waiting.js';

const LIMIT_PER_SECOND = 2;
const LIMITED_MS = 12_000;

const measureWindow = (
  worker: WorkerStandIn,
  callers: BusyCallers,
  statedAt: number,
): BusiestWindow =>
  findBusiestWindow({
    perSecond: LIMIT_PER_SECOND,
    statedAt,
    endedAt: performance.now(),
    toldAt: callers.toldAt,
    arrivals: worker.receivedRequests.map(({ receivedAt, headers }) => ({
      at: receivedAt,
      gateway: String(headers[GATEWAY_HEADER]),
    })),
  });

describe('rate limits of upstreams', function () {
  this.timeout(60_000);
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  // A worker that stated 1 request a second got 12 in 4 s, because no gateway read the header.
  it('guards against more requests than an upstream takes from all gateways together', async () => {
    fixture = await startGatewayFixture({ workers: 2, gateways: 4 });
    const [limited] = fixture.workers;
    if (limited === undefined) throw new Error('no worker');
    const callers = startBusyCallers(fixture.urls, { perGateway: 2, pauseMs: 50 });
    await waitMs(1_000);
    limited.rateLimit = String(LIMIT_PER_SECOND);
    const statedAt = performance.now();
    await waitMs(LIMITED_MS);
    const { count, allowed } = measureWindow(limited, callers, statedAt);
    await callers.stop();
    expect(callers.toldAt.size).to.equal(4);
    expect(count).to.be.at.most(allowed);
  });
});
