import { expect } from 'chai';
import { Ok } from 'ts-results-es';
import { LockstepGroup } from '../../../test/standins/lockstepGroup.js';
import { reservePorts } from '../../../test/support/ports.js';
import { waitMs, waitUntil } from '../../../test/support/waiting.js';
import type { ServiceId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { ConfigurationSource } from '../gateway/types.js';
import { createLogger } from '../logging.js';
import { RankerDaemon } from './rankerDaemon.js';
import type { RankEngine, RankOrder } from './types.js';

/** Ranks of the group; rankers find each other at one port of different hosts. */
const hosts = ['127.0.0.1', '127.0.0.2'];
const service = toId<ServiceId>('assistant');
const TICK_MS = 5;
/** Selections of each expert by millisecond: the first one is worth a second copy. */
const rates = [60, 1, 1, 1];
const firstExperts = [
  [0, 1],
  [2, 3],
];
const noFaults = { lost: 0, late: 0, unanswered: 0, duplicated: 0 };
const experts = {
  sets: 1,
  expertsPerSet: 4,
  slotsPerRank: 3,
  maxLoadsPerLayer: 2,
  expertMegabytes: 0,
  transferMegabitsPerSecond: 1,
  expertShare: 0.9,
};

/** Called before an order reaches its rank. */
type OnOrder = (rank: number, order: RankOrder) => Promise<void> | void;

interface Fixture {
  readonly group: LockstepGroup;
  readonly rankers: readonly RankerDaemon[];
  /** Kinds of the orders that ranks have received. */
  readonly orders: RankOrder['kind'][];
  onOrder: OnOrder;
  close(): Promise<void>;
}

async function startFixture(): Promise<Fixture> {
  const startedAt = performance.now();
  // The group begins its passes at time 0 of its clock.
  const group = new LockstepGroup(
    hosts.length,
    () => 0.5,
    noFaults,
    () => performance.now() - startedAt,
  );
  const timer = setInterval(() => {
    group.run();
  }, TICK_MS);
  const [port = 0] = await reservePorts(1);
  const fixture = {
    group,
    rankers: [] as RankerDaemon[],
    orders: [] as RankOrder['kind'][],
    onOrder: (() => undefined) as OnOrder,
    close: async () => {
      await Promise.all(fixture.rankers.map((ranker) => ranker.stop()));
      clearInterval(timer);
    },
  };
  for (const [rank, host] of hosts.entries()) {
    const engine: RankEngine = {
      readReport: () => Promise.resolve(Ok(group.report(rank))),
      readSelectionCounts: () => {
        const elapsedMs = performance.now() - startedAt;
        const counts = rates.map((rate) => Math.round(rate * elapsedMs));
        return Promise.resolve(Ok({ epoch: group.epoch, counts }));
      },
      readExperts: () => {
        const { map, content } = group.ranks[rank]!;
        const placement =
          content === 'first' ? [firstExperts] : (JSON.parse(content) as number[][][]);
        const held = placement.map((ranks) => ranks[rank]!);
        return Promise.resolve(Ok({ epoch: group.epoch, map, experts: held }));
      },
      sendOrder: async (order, epoch) => {
        fixture.orders.push(order.kind);
        await fixture.onOrder(rank, order);
        return group.receiveOrder(rank, order, epoch);
      },
    };
    const ranker = new RankerDaemon(
      {
        processId: `ranker-${rank}`,
        availabilityZone: 'a',
        logLevel: 'error',
        service,
        linkAddress: `${host}:${port}`,
        metricsPort: 0,
        storeAddress: '127.0.0.1:1',
        engineAddress: `${host}:1`,
      },
      {
        engine,
        connectEngine: () => ({ ...engine, close: () => undefined }),
        source: createSource(),
        logger: createLogger(`ranker-${rank}`),
      },
    );
    await ranker.start();
    fixture.rankers.push(ranker);
  }
  return fixture;
}

function createSource(): ConfigurationSource {
  const configuration = { services: new Map([[service, { engine: { experts } }]]), routes: [] };
  const upstreams = hosts.map((host) => ({ service, address: `${host}:1` }));
  return {
    readConfiguration: () =>
      Promise.resolve(
        Ok({ era: 1, revision: 1, evacuated: [], unreadableEvacuations: 0, configuration }),
      ),
    readUpstreams: () => Promise.resolve(Ok({ era: 1, upstreams, unreadable: 0 })),
    decodeDocument: () => {
      throw new Error('no document is read');
    },
    close: () => undefined,
  } as unknown as ConfigurationSource;
}

function isHeld(group: LockstepGroup): boolean {
  return group.ranks.some(({ held }) => held !== undefined);
}

describe('rankers that stop', () => {
  let fixture: Fixture;
  afterEach(() => fixture.close());

  // The process ended with the pass held, and its group stood still until a deputy or the next start released it.
  it('guards against a coordinator that ends with a pass held', async () => {
    fixture = await startFixture();
    const { group, rankers } = fixture;
    fixture.onOrder = async (rank, { kind }) => {
      if (rank === 1 && kind === 'arm') await waitMs(150);
    };
    await waitUntil('a pass is held', () => isHeld(group), { intervalMs: 1 });
    await rankers[0]!.stop();
    expect(isHeld(group)).to.equal(false);
    await waitUntil('both ranks switch', () => group.ranks.every(({ map }) => map > 0));
    expect(group.mixedPasses).to.equal(0);
  });

  // The links stay open while a ranker stops, so a change in preparation could go on to hold a pass.
  it('guards against a stopping coordinator that holds a pass for a change still in preparation', async () => {
    fixture = await startFixture();
    const { group, rankers, orders } = fixture;
    await waitUntil('a change is prepared', () => orders.includes('prepare'), { intervalMs: 1 });
    const stoppedAt = performance.now();
    await rankers[0]!.stop();
    expect(performance.now() - stoppedAt).to.be.below(500);
    await waitMs(400);
    expect(orders).to.not.include('hold');
    expect(isHeld(group)).to.equal(false);
  });

  // The pass was held for a rank that could not be armed: the group stood still until its ranker came back.
  it('guards against a ranker that ends before its rank is armed for a held pass', async () => {
    fixture = await startFixture();
    const { group, rankers, orders } = fixture;
    const stops: Promise<void>[] = [];
    fixture.onOrder = (_rank, { kind }) => {
      if (kind === 'hold' && stops.length === 0) stops.push(rankers[1]!.stop());
    };
    await waitUntil('the ranker stops', () => stops.length > 0, { intervalMs: 1 });
    await waitUntil('the pass is released', () => orders.includes('release') && !isHeld(group), {
      timeoutMs: 1_000,
    });
    await Promise.all(stops);
    await waitUntil('both ranks switch', () => group.ranks.every(({ map }) => map > 0));
    expect(group.mixedPasses).to.equal(0);
  });
});
