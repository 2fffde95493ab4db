import { expect } from 'chai';
import type { WorkerStandIn } from '../standins/platformWorker.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';
import type { BusyCallers } from '../support/rateLimitCallers.js';
import { GATEWAY_HEADER, startBusyCallers } from '../support/rateLimitCallers.js';
import type { BusiestWindow } from '../support/rateLimitRule.js';
import { findBusiestWindow } from '../support/rateLimitRule.js';
import { runRateLimitSoak } from '../support/rateLimitSoak.js';
import { waitMs } from '../support/waiting.js';

const LIMIT_PER_SECOND = 2;
const LIMITED_MS = 12_000;
const SETTLE_MS = 1_500;
const USE_MS = 20_000;
const MIN_USE = 0.8;
const FIRST_SOAK_SEED = Number(process.env.LIMIT_FIRST_SEED ?? 1);
/** Seeds of one run; set the variable for a longer run by hand. */
const SOAK_SEEDS = Number(process.env.LIMIT_SEEDS ?? 1);
const SOAK_SEED_TIMEOUT_MS = 90_000;

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

  it('guards against a limited upstream that gets far less than it takes', async () => {
    fixture = await startGatewayFixture({ workers: 2, gateways: 4 });
    const [limited] = fixture.workers;
    if (limited === undefined) throw new Error('no worker');
    limited.rateLimit = String(LIMIT_PER_SECOND);
    const callers = startBusyCallers(fixture.urls, { perGateway: 2, pauseMs: 50 });
    await waitMs(SETTLE_MS);
    const before = limited.receivedRequests.length;
    await waitMs(USE_MS);
    const received = limited.receivedRequests.length - before;
    await callers.stop();
    expect(received).to.be.at.least((MIN_USE * LIMIT_PER_SECOND * USE_MS) / 1_000);
  });

  it('guards against requests that are held although no upstream takes them in time', async () => {
    fixture = await startGatewayFixture({ workers: 1 });
    const [limited] = fixture.workers;
    if (limited === undefined) throw new Error('no worker');
    limited.rateLimit = '0.2';
    const call = (): ReturnType<typeof callGateway> =>
      callGateway(fixture.urls[0] ?? '', '/lookup/a');
    expect((await call()).status).to.equal(200);
    await waitMs(SETTLE_MS);
    const served = limited.receivedRequests.length;
    const sentAt = performance.now();
    const statuses = await Promise.all([call(), call(), call()]);
    const tookMs = performance.now() - sentAt;
    const refused = statuses.filter(({ status }) => status === 503);
    expect(limited.receivedRequests.length - served).to.be.at.most(1);
    expect(refused.length).to.be.at.least(2);
    // A request is queued for at most 0.45 of the target latency of 400 ms.
    expect(tookMs).to.be.lessThan(400);
    for (const { headers } of refused) {
      expect(Number(headers['retry-after'])).to.be.within(1, 20);
    }
  });
});

describe('rate limits of upstreams before gateways in processes of their own', function () {
  this.timeout(SOAK_SEED_TIMEOUT_MS * SOAK_SEEDS);

  // A gateway that has just started, or was paused, must not send as if it knew of no limit.
  it('guards against exceeding a rate limit while gateways are paused and restarted', async () => {
    const failed: unknown[] = [];
    for (let seed = FIRST_SOAK_SEED; seed < FIRST_SOAK_SEED + SOAK_SEEDS; seed += 1) {
      const result = await runRateLimitSoak(String(seed));
      process.stdout.write(`LIMIT seed ${seed} ${JSON.stringify(result)}\n`);
      if (result.count > result.allowed) failed.push({ seed, ...result });
    }
    expect(failed).to.deep.equal([]);
  });
});
