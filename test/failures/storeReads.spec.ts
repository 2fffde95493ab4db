import { expect } from 'chai';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';
import { waitMs, waitUntil } from '../support/waiting.js';

const GATEWAYS = 6;
const SETTLE_MS = 1_500;
const OBSERVED_MS = 3_000;
/** Two reads each 0.65 s, with some slack for a change of reader. */
const MAX_CALLS_PER_READER = 16;
/** A third of the polls, on a machine that is busy with other processes. */
const MAX_FALLBACKS = 2;
/** Time-out of a read of the store, with a margin for its arrival there. */
const MAX_READ_MS = 700;
/** Two queries and a failed read, less than two rounds of polls. */
const ONE_ROUND_MS = 350;
/** Bound of the smallest deployments on changes of the configuration and on draining upstreams. */
const MAX_CHANGE_MS = 2_000;

interface DumpedState {
  readonly proofAgeMs: number;
  readonly configurationVersion: number;
}

describe('reads of the store by several gateways', () => {
  let fixture: GatewayFixture;
  beforeEach(async () => {
    fixture = await startGatewayFixture({ gateways: GATEWAYS, separateStores: true });
    await waitMs(SETTLE_MS);
  });
  afterEach(() => fixture.close());

  const readStates = (from = 0): DumpedState[] =>
    fixture.gateways.slice(from).map((gateway) => gateway.dump() as DumpedState);
  const countCalls = (): number[] => fixture.stores.map(({ calls }) => calls);
  const countFallbacks = (): number[] =>
    fixture.gateways.map(({ metrics }) => metrics.getCount('store_relay_fallbacks'));
  /** Waits until no read of a fallback can be under way, so that none is counted without its fallback. */
  const waitForQuiet = (): Promise<number> => {
    let last = countFallbacks();
    let quietSince = performance.now();
    return waitUntil('no fallbacks', () => {
      const current = countFallbacks();
      if (current.some((count, index) => count !== last[index])) quietSince = performance.now();
      last = current;
      return performance.now() - quietSince > MAX_READ_MS;
    });
  };
  const findReader = async (): Promise<number> => {
    await waitForQuiet();
    const before = countCalls();
    const fallbacksBefore = countFallbacks();
    await waitMs(OBSERVED_MS);
    const calls = countCalls().map((count, index) => count - (before[index] ?? 0));
    const reader = calls.indexOf(Math.max(...calls));
    expect(calls[reader]).to.be.at.most(MAX_CALLS_PER_READER);
    // The others read only when no reader has replied in time, each time both items.
    for (const [index, { metrics }] of fixture.gateways.entries()) {
      if (index === reader) continue;
      const fallbacks = metrics.getCount('store_relay_fallbacks') - (fallbacksBefore[index] ?? 0);
      expect(calls[index]).to.be.at.most(2 * fallbacks);
      expect(fallbacks).to.be.at.most(MAX_FALLBACKS);
    }
    return reader;
  };

  it('guards against reads that grow with the number of gateways', async () => {
    await findReader();
    for (const { proofAgeMs } of readStates()) expect(proofAgeMs).to.be.below(1_700);
  }).timeout(20_000);

  it('guards against keys that expire when the reader no longer reaches the store', async () => {
    const reader = await findReader();
    fixture.stores[reader]!.mode = 'unresponsive';
    for (let round = 0; round < 40; round += 1) {
      await waitMs(100);
      for (const { proofAgeMs } of readStates()) expect(proofAgeMs).to.be.below(MAX_CHANGE_MS);
    }
  }).timeout(20_000);

  it('guards against changes that reach the other gateways late', async () => {
    const reader = await findReader();
    fixture.publishConfiguration(2);
    const changedAt = performance.now();
    await waitUntil('version 2 in force', () =>
      readStates().every(({ configurationVersion }) => configurationVersion === 2),
    );
    expect(performance.now() - changedAt).to.be.below(MAX_CHANGE_MS);
    const [leaving] = fixture.workers;
    fixture.publishWorker(leaving!, { state: 'draining' });
    await waitMs(MAX_CHANGE_MS);
    const before = leaving!.receivedRequests.length;
    for (const url of fixture.urls) await callGateway(url, '/lookup/a');
    expect(leaving!.receivedRequests.length).to.equal(before);
    expect(reader).to.be.at.least(0);
  }).timeout(20_000);

  it('guards against gateways that stay with a reader that has stopped', async () => {
    const reader = await findReader();
    fixture.gateways[reader]!.stop();
    const running = fixture.gateways.filter((_, index) => index !== reader);
    for (let round = 0; round < 40; round += 1) {
      await waitMs(100);
      for (const gateway of running) {
        expect((gateway.dump() as DumpedState).proofAgeMs).to.be.below(MAX_CHANGE_MS);
      }
    }
  }).timeout(20_000);

  // A gateway that does not reach the store asked all others for their whole lists several times a second.
  it('guards against lists of all gateways sent to one that does not reach the store', async () => {
    for (const store of fixture.stores) store.mode = 'busy';
    await waitMs(SETTLE_MS);
    const { metrics } = fixture.gateways[0]!;
    const before = metrics.getCount('relayed_upstreams');
    const rounds = metrics.getCount('store_read_failed_refused');
    await waitMs(OBSERVED_MS);
    // The two polls of the store fail about equally often; one of them asks the others.
    const failedRounds = (metrics.getCount('store_read_failed_refused') - rounds) / 2 + 2;
    const received = metrics.getCount('relayed_upstreams') - before;
    expect(received).to.be.above(0);
    expect(received / failedRounds).to.be.at.most(3 * fixture.workers.length);
  }).timeout(20_000);

  // Three gateways drawn at random were asked for a newer configuration, which only one of the others had.
  it('guards against a newer version that a gateway misses because it did not ask the one that has it', async () => {
    for (const store of fixture.stores.slice(1)) store.mode = 'busy';
    await waitMs(SETTLE_MS);
    fixture.publishConfiguration(2);
    await waitUntil('version 2 read', () => readStates()[0]?.configurationVersion === 2);
    await waitMs(ONE_ROUND_MS);
    const versions = readStates().map(({ configurationVersion }) => configurationVersion);
    expect(versions).to.deep.equal(new Array(GATEWAYS).fill(2));
  }).timeout(20_000);
});
