import { expect } from 'chai';
import type { StoreStandIn } from '../standins/platformStore.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';
import { reservePorts } from '../support/ports.js';
import type { RunningProcess } from '../support/processes.js';
import { startProcess } from '../support/processes.js';
import { waitMs, waitUntil } from '../support/waiting.js';

const GATEWAYS = 3;
const OBSERVE_READS_MS = 1_400;
const FREEZE_MS = 2_200;
const LEAVE_AFTER_MS = 200;
/** Bound of the smallest deployments on work for an upstream that has left. */
const MAX_LEAVING_MS = 2_000;
/** Longer than entries are retained, and than a gateway that was frozen is excused. */
const OBSERVED_MS = 3_500;
const CALL_INTERVAL_MS = 25;
const SHORT_INTERVAL_MS = 5;

interface RunningGateway {
  readonly process: RunningProcess;
  readonly store: StoreStandIn;
  readonly url: string;
}

describe('gateways after the absence of one that reads the store', function () {
  this.timeout(60_000);
  let fixture: GatewayFixture;
  let gateways: RunningGateway[] = [];
  beforeEach(async () => {
    fixture = await startGatewayFixture({
      workers: 3,
      gateways: GATEWAYS,
      separateStores: true,
      started: 0,
    });
    const ports = await reservePorts(3 * GATEWAYS);
    const lists = fixture.stores.map((_store, index) =>
      ports.slice(3 * index, 3 * index + 3).join(','),
    );
    gateways = await Promise.all(
      fixture.stores.map(async (store, index) => {
        const args = [String(store.port), String(index), ...lists];
        const process = await startProcess(`gateway-${index}`, 'test/support/gatewayHost.ts', args);
        return { process, store, url: String(process.ready.url) };
      }),
    );
  });
  afterEach(async () => {
    for (const { process } of gateways) {
      process.send('SIGCONT');
      process.send('SIGKILL');
    }
    await fixture.close();
  });

  /** Finds the gateway that reads the store for the others. */
  const findReader = async (): Promise<RunningGateway> => {
    const before = gateways.map(({ store }) => store.calls);
    await waitMs(OBSERVE_READS_MS);
    const calls = gateways.map(({ store }, index) => store.calls - (before[index] ?? 0));
    return gateways[calls.indexOf(Math.max(...calls))]!;
  };
  const callAll = async (
    targets: readonly RunningGateway[],
    durationMs: number,
    intervalMs = CALL_INTERVAL_MS,
  ): Promise<void> => {
    const calls: Promise<unknown>[] = [];
    const until = performance.now() + durationMs;
    while (performance.now() < until) {
      for (const { url } of targets) calls.push(callGateway(url, '/lookup/a'));
      await waitMs(intervalMs);
    }
    await Promise.allSettled(calls);
  };
  const removeEverywhere = (id: string): void => {
    for (const store of fixture.stores) store.remove(`servers/${id}`);
  };

  // The woken gateway retained the entry of an upstream that had left, and told the others that it was listed.
  for (const readers of [1, 2]) {
    it(`guards against work for an upstream that left while the gateways that read the store were frozen; readers frozen one after the other: ${readers}`, async () => {
      const [, , leaving] = fixture.workers;
      const frozen: RunningGateway[] = [];
      let leftAt = Infinity;
      for (let turn = 0; turn < readers; turn += 1) {
        const reader = await findReader();
        frozen.push(reader);
        reader.process.send('SIGSTOP');
        await waitMs(LEAVE_AFTER_MS);
        if (turn === readers - 1) {
          removeEverywhere(leaving!.id);
          leftAt = performance.now();
        }
        await waitMs(FREEZE_MS - LEAVE_AFTER_MS);
        reader.process.send('SIGCONT');
      }
      await callAll(
        gateways.filter((gateway) => !frozen.includes(gateway)),
        OBSERVED_MS,
      );
      const late = leaving!.receivedRequests.filter(
        ({ receivedAt }) => receivedAt > leftAt + MAX_LEAVING_MS,
      );
      expect(late).to.have.length(0);
    });
  }

  // Entries that expire while the store is away are registered again after its return, at once to be used until then.
  it('guards against upstreams lost to the gateways because their entries expired while the store was away', async () => {
    const [, , expired] = fixture.workers;
    for (const store of fixture.stores) store.mode = 'busy';
    removeEverywhere(expired!.id);
    await waitMs(2_500);
    for (const store of fixture.stores) store.mode = 'serving';
    for (const gateway of gateways) {
      const before = expired!.receivedRequests.length;
      // The choice among three upstreams is random, so it takes many calls to be sure that one is not used.
      await callAll([gateway], 400, SHORT_INTERVAL_MS);
      expect(expired!.receivedRequests.length).to.be.above(before);
    }
    await waitUntil(
      'entry dropped',
      async () => {
        const before = expired!.receivedRequests.length;
        await callAll(gateways, 300);
        return expired!.receivedRequests.length === before;
      },
      { timeoutMs: 4_000 },
    );
  });
});
