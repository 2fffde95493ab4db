import { expect } from 'chai';
import { Metrics } from '../metrics.js';
import { listReadersToAsk } from './storeReaders.js';
import { StoreRelay } from './storeRelay.js';

const gateways = Array.from({ length: 36 }, (_, index) => `gateway-${index}`);
const listOthers = (self: string): string[] => gateways.filter((id) => id !== self);

describe('readers of the store', () => {
  // Calls to the store were the largest price of the large deployment: each gateway read all of it for itself.
  it('guards against reads of the store that grow with the number of gateways', () => {
    const readers = gateways.filter((id) => listReadersToAsk(id, listOthers(id)).length === 0);
    expect(readers.length).to.equal(1);
    for (const id of gateways) {
      const asked = listReadersToAsk(id, listOthers(id));
      expect(asked).to.not.include(id);
      if (asked.length > 0) expect(asked[0]).to.equal(readers[0]);
    }
  });

  it('guards against a lone gateway that waits for others', () => {
    expect(listReadersToAsk('gateway-1', [])).to.deep.equal([]);
  });
});

describe('store relay', () => {
  /** Creates a relay whose readers have state of the given ages. */
  const createRelay = (ages: readonly number[], hasState = true, sendsZones = true) => {
    const now = 10_000;
    const asked: string[] = [];
    let ageMs = Infinity;
    const self = gateways.find((id) => listReadersToAsk(id, listOthers(id)).length === 2) ?? '';
    const relay = new StoreRelay({
      metrics: new Metrics(),
      self,
      configurationCache: {
        current: hasState ? ({} as never) : undefined,
        computeAge: () => ageMs,
      },
      evacuations: { computeAge: () => (sendsZones ? ageMs : Infinity) },
      directory: { computeAge: () => ageMs, listAll: () => [{} as never] },
      storeEra: { isConfirmed: () => true },
      readClock: () => now,
      readMonotonicClock: () => now,
      listLinked: () => listOthers(self),
      queryGateway: (id) => {
        ageMs = Math.min(ageMs, ages[asked.length] ?? Infinity);
        asked.push(id);
        return Promise.resolve();
      },
    });
    return { relay, asked };
  };

  it('guards against a read by a gateway whose reader has recent state', async () => {
    const { relay, asked } = createRelay([600]);
    expect(await relay.refresh()).to.equal(true);
    expect(asked.length).to.equal(1);
  });

  it('guards against relying on a reader that does not reach the store', async () => {
    const { relay, asked } = createRelay([1_900, 300]);
    expect(await relay.refresh()).to.equal(true);
    expect(asked.length).to.equal(2);
    const without = createRelay([1_900, 1_700]);
    expect(await without.relay.refresh()).to.equal(false);
    expect(without.relay.isServed).to.equal(false);
  });

  // The poll of the upstream list runs beside that of the configuration, whose query may be under way.
  it('guards against reads of the list while a reader that serves this gateway is being asked', async () => {
    const { relay, asked } = createRelay([600, 600]);
    await relay.refresh();
    const refreshing = relay.refresh();
    expect(asked.length).to.equal(2);
    expect(relay.isServed).to.equal(true);
    await refreshing;
    expect(relay.isServed).to.equal(true);
  });

  it('guards against relying on a reader of an earlier version, which sends no evacuated zones', async () => {
    const { relay, asked } = createRelay([300, 300], true, false);
    expect(await relay.refresh()).to.equal(false);
    expect(asked.length).to.equal(2);
  });

  it('guards against a first state that rests on a single peer', async () => {
    const { relay, asked } = createRelay([0], false);
    expect(await relay.refresh()).to.equal(false);
    expect(asked).to.deep.equal([]);
  });
});
