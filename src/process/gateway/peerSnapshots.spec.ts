import { expect } from 'chai';
import { Err } from 'ts-results-es';
import type { AvailabilityZoneId, ServiceId, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { UpstreamEntry } from '../../version/routing/types.js';
import { Metrics } from '../metrics.js';
import { ConfigurationCache } from './configurationCache.js';
import { PeerSnapshots } from './peerSnapshots.js';
import { StoreEra } from './storeEra.js';
import { UpstreamDirectory } from './upstreamDirectory.js';
import { ZoneEvacuations } from './zoneEvacuations.js';

const RESTORED_AT_MS = 1_000;
const QUERIED_AT_MS = 1_100;

const service = toId<ServiceId>('s');
const createEntry = (id: string): UpstreamEntry => ({
  id: toId<UpstreamId>(id),
  service,
  address: `10.0.0.1:${id.charCodeAt(0)}`,
  availabilityZone: toId<AvailabilityZoneId>('z'),
  slots: 4,
  isDraining: false,
  startedAt: 1,
});
const listIds = (directory: UpstreamDirectory): string[] =>
  directory.listReady(service).map(({ id }) => id);

/** Creates the exchange of one gateway at the time of a query. */
function createSnapshots(
  storeEra: StoreEra,
  now = QUERIED_AT_MS,
  onEvacuation = (): void => undefined,
): { snapshots: PeerSnapshots; evacuations: ZoneEvacuations; directory: UpstreamDirectory } {
  const discard = (): void => undefined;
  const logger = { debug: discard, info: discard, warn: discard, error: discard };
  const directory = new UpstreamDirectory();
  const evacuations = new ZoneEvacuations({ directory, logger, metrics: new Metrics() });
  const snapshots = new PeerSnapshots({
    incarnation: 'r-1',
    metrics: new Metrics(),
    configurationCache: new ConfigurationCache(1_000),
    directory,
    evacuations,
    storeEra,
    source: { decodeDocument: () => Err({ code: 'malformed', message: '' }) },
    logger,
    readClock: () => now,
    readMonotonicClock: () => now,
    onEvacuation,
    onConfiguration: discard,
    onUpstreamStarted: discard,
  });
  return { snapshots, evacuations, directory };
}

describe('snapshots of peers', () => {
  // Guards against revoked keys that count as proved because gateways that have just started assume a complete store.
  it('guards against a restored store that counts as complete on the word of a gateway without memory', () => {
    const started = new StoreEra();
    started.observe(1, RESTORED_AT_MS);
    const running = new StoreEra();
    running.observe(0, 0);
    running.observe(1, RESTORED_AT_MS);
    const reply = createSnapshots(started).snapshots.create(0, true);
    createSnapshots(running).snapshots.apply(reply, QUERIED_AT_MS, 'gateway-1');
    expect(running.isComplete(QUERIED_AT_MS)).to.equal(false);

    const later = createSnapshots(started, RESTORED_AT_MS + 2_200).snapshots.create(0, true);
    expect(later).to.include({ era: 1, isEraComplete: true });
  });

  it('guards against evacuated zones of a peer that count as newer than they are, or end on its word too early', () => {
    const createEra = (era: number): StoreEra => {
      const storeEra = new StoreEra();
      storeEra.observe(era, 0);
      return storeEra;
    };
    const read = { era: 0, isComplete: true };
    const zones = [toId<AvailabilityZoneId>('a')];
    let changes = 0;
    const own = createSnapshots(createEra(0), QUERIED_AT_MS, () => (changes += 1));
    const peer = createSnapshots(createEra(0));
    peer.evacuations.apply({ ...read, zones, readStartedAt: 800 }, 805, 805);
    own.snapshots.apply(peer.snapshots.create(0, true), QUERIED_AT_MS, 'gateway-1');
    expect(own.evacuations.describe(QUERIED_AT_MS)).to.deep.equal({
      zones: ['a'],
      ageMs: 300,
      era: 0,
    });
    // The reply of a slow peer rests on a read that was sent before the own one.
    const slow = createSnapshots(createEra(0));
    slow.evacuations.apply({ ...read, zones: [], readStartedAt: 700 }, 705, 705);
    own.snapshots.apply(slow.snapshots.create(0, true), QUERIED_AT_MS, 'gateway-2');
    expect(own.evacuations.describe(QUERIED_AT_MS)?.zones).to.deep.equal(['a']);
    // A peer whose store has just been restored cannot know that the zone was taken back.
    const restored = createSnapshots(createEra(1));
    restored.evacuations.apply(
      { era: 1, isComplete: false, zones: [], readStartedAt: 1_000 },
      0,
      0,
    );
    own.snapshots.apply(restored.snapshots.create(0, true), QUERIED_AT_MS, 'gateway-3');
    expect(own.evacuations.describe(QUERIED_AT_MS)?.zones).to.deep.equal(['a']);
    expect(changes).to.equal(1);
  });

  // A gateway that has been frozen takes its own absence for one of the store, and retains what has left meanwhile.
  it('guards against an upstream that has left and is taken up again on the word of a gateway that was frozen', () => {
    const wokenAt = 5_000;
    const entries = ['a', 'b'].map((id) => createEntry(id));
    const woken = createSnapshots(new StoreEra(), wokenAt);
    woken.directory.applyListing(entries, 0, 0);
    woken.directory.applyListing(entries.slice(0, 1), wokenAt - 100, wokenAt - 100);
    const running = createSnapshots(new StoreEra(), wokenAt);
    for (let at = 0; at < wokenAt; at += 500) {
      running.directory.applyListing(at < 1_000 ? entries : entries.slice(0, 1), at, at);
    }
    for (const listing of [undefined, '']) {
      const reply = woken.snapshots.create(0, false, listing);
      running.snapshots.apply(reply, wokenAt, 'gateway-1');
      expect(listIds(running.directory)).to.deep.equal(['a']);
    }
    // The one that ran shows that the store was available.
    expect(listIds(woken.directory)).to.deep.equal(['a', 'b']);
    woken.snapshots.apply(running.snapshots.create(0, false), wokenAt, 'gateway-2');
    woken.directory.applyListing(entries.slice(0, 1), wokenAt + 650, wokenAt + 650);
    expect(listIds(woken.directory)).to.deep.equal(['a']);
  });
});
