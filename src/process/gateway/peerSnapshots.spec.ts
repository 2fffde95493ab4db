import { expect } from 'chai';
import { Err } from 'ts-results-es';
import { Metrics } from '../metrics.js';
import { ConfigurationCache } from './configurationCache.js';
import { PeerSnapshots } from './peerSnapshots.js';
import { StoreEra } from './storeEra.js';
import { UpstreamDirectory } from './upstreamDirectory.js';
import { ZoneEvacuations } from './zoneEvacuations.js';

const RESTORED_AT_MS = 1_000;
const QUERIED_AT_MS = 1_100;

/** Creates the exchange of one gateway at the time of a query. */
function createSnapshots(storeEra: StoreEra, now = QUERIED_AT_MS): PeerSnapshots {
  const discard = (): void => undefined;
  const logger = { debug: discard, info: discard, warn: discard, error: discard };
  const directory = new UpstreamDirectory();
  return new PeerSnapshots({
    incarnation: 'r-1',
    metrics: new Metrics(),
    configurationCache: new ConfigurationCache(1_000),
    directory,
    evacuations: new ZoneEvacuations({ directory, logger, metrics: new Metrics() }),
    storeEra,
    source: { decodeDocument: () => Err({ code: 'malformed', message: '' }) },
    logger,
    readClock: () => now,
    readMonotonicClock: () => now,
    onEvacuation: discard,
    onConfiguration: discard,
    onUpstreamStarted: discard,
  });
}

describe('snapshots of peers', () => {
  // Guards against revoked keys that count as proved because gateways that have just started assume a complete store.
  it('guards against a restored store that counts as complete on the word of a gateway without memory', () => {
    const started = new StoreEra();
    started.observe(1, RESTORED_AT_MS);
    started.confirm();
    const running = new StoreEra();
    running.observe(0, 0);
    running.observe(1, RESTORED_AT_MS);
    const reply = createSnapshots(started).create(0, true);
    createSnapshots(running).apply(reply, QUERIED_AT_MS, 'gateway-1');
    expect(running.isComplete(QUERIED_AT_MS)).to.equal(false);

    const later = createSnapshots(started, RESTORED_AT_MS + 2_200).create(0, true);
    expect(later).to.include({ era: 1, isEraComplete: true });
  });
});
