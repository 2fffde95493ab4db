import { expect } from 'chai';
import type { GatewayFixture, GatewayResponse } from '../support/gatewayFixture.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';
import type { WorkerStandIn } from '../standins/platformWorker.js';
import { eventsPerStream, formatEvent } from '../standins/platformWorker.js';
import { waitMs, waitUntil } from '../support/waiting.js';

/** Within this time no request may reach an evacuated zone. */
const limits = { timeoutMs: 5_000 };
const CALLS = 12;
const completeStream = Array.from({ length: eventsPerStream }, (_, index) =>
  formatEvent(index + 1),
).join('');

describe('evacuated availability zones at gateways', function () {
  this.timeout(30_000);
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  /** Starts gateways over one worker in zone `a`, which is evacuated, and one in zone `b`. */
  const start = async (
    options: Parameters<typeof startGatewayFixture>[0] = {},
  ): Promise<{ inside: WorkerStandIn; outside: WorkerStandIn }> => {
    fixture = await startGatewayFixture({ separateStores: true, ...options });
    const [inside, outside] = fixture.workers as [WorkerStandIn, WorkerStandIn];
    fixture.publishWorker(outside, { zone: 'b' });
    await waitUntil('zone of the second worker known', () =>
      fixture.gateways.every((_, index) => JSON.stringify(dump(index).upstreams).includes('"b"')),
    );
    return { inside, outside };
  };
  const dump = (index: number): Record<string, unknown> =>
    fixture.gateways[index]?.dump() as Record<string, unknown>;
  const hasEvacuated = (index: number): boolean =>
    JSON.stringify(dump(index).evacuations).includes('"a"');
  const evacuate = (zone = 'a'): void => {
    for (const store of fixture.stores) store.put(`op/evacuate/${zone}`, {});
  };
  const takeBack = (zone = 'a'): void => {
    for (const store of fixture.stores) store.remove(`op/evacuate/${zone}`);
  };
  const callOften = async (index: number): Promise<GatewayResponse[]> => {
    const responses: GatewayResponse[] = [];
    while (responses.length < CALLS) {
      responses.push(await callGateway(fixture.urls[index] ?? '', '/lookup/a'));
    }
    return responses;
  };
  const countNew = async (worker: WorkerStandIn, index = 0): Promise<number> => {
    const before = worker.receivedRequests.length;
    for (const { status } of await callOften(index)) expect(status).to.equal(200);
    return worker.receivedRequests.length - before;
  };

  /** A gateway chooses among equally loaded upstreams at random, so that a few calls may all go elsewhere. */
  const waitForUse = async (worker: WorkerStandIn, index: number): Promise<void> => {
    const startedAt = performance.now();
    while ((await countNew(worker, index)) === 0) {
      expect(performance.now() - startedAt).to.be.below(limits.timeoutMs);
    }
  };

  it('guards against requests from any gateway, and against a zone that stays out', async () => {
    const { inside } = await start({ gateways: 3 });
    evacuate();
    await waitUntil('evacuated', () => [0, 1, 2].every(hasEvacuated), limits);
    for (const index of [0, 1, 2]) expect(await countNew(inside, index)).to.equal(0);
    takeBack();
    await waitUntil('taken back', () => ![0, 1, 2].some(hasEvacuated), limits);
    for (const index of [0, 1, 2]) await waitForUse(inside, index);
  });

  it('guards against requests while the reader of the store is cut off from it', async () => {
    const { inside } = await start({ gateways: 3 });
    await waitMs(1_500);
    const before = fixture.stores.map(({ calls }) => calls);
    await waitMs(2_000);
    const read = fixture.stores.map(({ calls }, index) => calls - (before[index] ?? 0));
    fixture.stores[read.indexOf(Math.max(...read))]!.mode = 'unresponsive';
    evacuate();
    await waitUntil('evacuated', () => [0, 1, 2].every(hasEvacuated), limits);
    for (const index of [0, 1, 2]) expect(await countNew(inside, index)).to.equal(0);
  });

  it('guards against a zone that comes back because the store is away', async () => {
    const { inside } = await start({ gateways: 2 });
    evacuate();
    await waitUntil('evacuated', () => [0, 1].every(hasEvacuated), limits);
    for (const store of fixture.stores) store.mode = 'unresponsive';
    await waitMs(2_000);
    for (const index of [0, 1]) expect(await countNew(inside, index)).to.equal(0);
    takeBack();
    for (const store of fixture.stores) store.mode = 'serving';
    await waitUntil('taken back', () => ![0, 1].some(hasEvacuated), limits);
  });

  it('guards against a gateway that misses an evacuation, or its end, while it is cut off from the store', async () => {
    const { inside } = await start({ gateways: 2 });
    fixture.stores[1]!.mode = 'busy';
    evacuate();
    await waitUntil('evacuated', () => hasEvacuated(1), limits);
    expect(await countNew(inside, 1)).to.equal(0);
    takeBack();
    await waitUntil('taken back', () => !hasEvacuated(1), limits);
    await waitForUse(inside, 1);
  });

  it('guards against the first requests of a gateway that starts during an evacuation', async () => {
    const { inside } = await start({ gateways: 2, started: 1 });
    evacuate();
    await waitUntil('evacuated', () => hasEvacuated(0), limits);
    const before = inside.receivedRequests.length;
    await fixture.startNextGateway();
    const startedAt = performance.now();
    while (performance.now() < startedAt + 1_500) await callOften(1);
    expect(hasEvacuated(1)).to.equal(true);
    expect(inside.receivedRequests.length).to.equal(before);
  });

  it('guards against ending a stream that runs in the zone, and resumes a broken one elsewhere', async () => {
    const { inside, outside } = await start({ workers: 3 });
    const nearest = fixture.workers[2]!;
    fixture.publishWorker(nearest, { state: 'draining' });
    inside.eventIntervalMs = 400;
    const runStream = async (): Promise<GatewayResponse> => {
      const before = inside.receivedRequests.length;
      const stream = callGateway(fixture.urls[0] ?? '', '/chat/a', { 'deadline-ms': '9000' });
      await waitUntil('stream runs', () => inside.receivedRequests.length > before);
      evacuate();
      await waitUntil('evacuated', () => hasEvacuated(0), limits);
      return stream;
    };
    fixture.publishWorker(outside, { zone: 'b', state: 'draining' });
    const countDraining = (): number =>
      (dump(0).upstreams as { isDraining: boolean }[]).filter(({ isDraining }) => isDraining)
        .length;
    await waitUntil('only one usable', () => countDraining() === 2);
    expect(await runStream()).to.include({ status: 200, isComplete: true, body: completeStream });
    takeBack();
    await waitUntil('taken back', () => !hasEvacuated(0), limits);
    inside.behaviour = 'truncatedStream';
    // It breaks off after 2.1 s, when the gateway has read the store twice.
    inside.eventIntervalMs = 700;
    const stream = runStream();
    await waitUntil('stream runs', () => inside.receivedRequests.length === 2);
    fixture.publishWorker(outside, { zone: 'b', born: 2 });
    fixture.publishWorker(nearest, { born: 2 });
    expect(await stream).to.include({ status: 200, isComplete: true, body: completeStream });
    expect(outside.receivedRequests.at(-1)?.headers['last-event-id']).to.equal('2');
    expect(nearest.receivedRequests.length).to.equal(0);
  });

  it('guards against requests held, or sent all the same, when all zones of a service are evacuated', async () => {
    const { inside, outside } = await start();
    for (const zone of ['a', 'b']) evacuate(zone);
    await waitUntil('all evacuated', () => JSON.stringify(dump(0).evacuations).includes('"a","b"'));
    const before = inside.receivedRequests.length + outside.receivedRequests.length;
    const startedAt = performance.now();
    for (const { status, headers } of await callOften(0)) {
      expect(status).to.equal(503);
      expect(headers).to.have.property('retry-after');
    }
    expect(performance.now() - startedAt).to.be.below(1_000);
    expect(inside.receivedRequests.length + outside.receivedRequests.length).to.equal(before);
  });
});
