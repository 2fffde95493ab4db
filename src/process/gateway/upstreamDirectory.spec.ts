import { expect } from 'chai';
import type { AvailabilityZoneId, ServiceId, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { UpstreamEntry } from '../../version/routing/types.js';
import { UpstreamDirectory } from './upstreamDirectory.js';

const service = toId<ServiceId>('s');
const createEntry = (id: string, fields: Partial<UpstreamEntry> = {}): UpstreamEntry => ({
  id: toId<UpstreamId>(id),
  service,
  address: '10.0.0.1:80',
  availabilityZone: toId<AvailabilityZoneId>('z'),
  slots: 4,
  isDraining: false,
  startedAt: 1,
  ...fields,
});
const listIds = (directory: UpstreamDirectory): string[] =>
  directory.listReady(service).map(({ id }) => id);

describe('upstream directory', () => {
  it('guards against work for an upstream whose entry is removed while the store is available', () => {
    const directory = new UpstreamDirectory();
    directory.applyListing([createEntry('a'), createEntry('b')], 0, 5);
    directory.applyListing([createEntry('a')], 650, 655);
    expect(listIds(directory)).to.deep.equal(['a']);
  });

  it('guards against an empty fleet when entries expire during an outage of the store', () => {
    const directory = new UpstreamDirectory();
    directory.applyListing([createEntry('a'), createEntry('b')], 0, 5);
    directory.applyListing([], 5000, 5005);
    expect(listIds(directory)).to.deep.equal(['a', 'b']);
    directory.applyListing([createEntry('a')], 5700, 5705);
    expect(listIds(directory)).to.deep.equal(['a', 'b']);
    for (let at = 6350; at < 7700; at += 650)
      directory.applyListing([createEntry('a')], at, at + 5);
    expect(listIds(directory)).to.deep.equal(['a']);
  });

  it('guards against an upstream that is used again after it was seen draining', () => {
    const directory = new UpstreamDirectory();
    directory.applyListing([createEntry('a')], 0, 5);
    directory.applyListing([createEntry('a', { isDraining: true })], 600, 605);
    directory.applyListing([createEntry('a')], 1200, 1205);
    expect(listIds(directory)).to.deep.equal([]);
  });

  it('guards against a restarted upstream under the same id that stays unused', () => {
    const directory = new UpstreamDirectory();
    directory.applyListing([createEntry('a', { isDraining: true })], 0, 5);
    directory.applyListing([createEntry('a', { startedAt: 2 })], 600, 605);
    expect(listIds(directory)).to.deep.equal(['a']);
  });

  it('guards against an older listing of a peer that replaces a newer one', () => {
    const directory = new UpstreamDirectory();
    directory.applyListing([createEntry('a')], 1000, 1005);
    directory.applyListing([createEntry('a'), createEntry('b')], 400, 1100);
    expect(listIds(directory)).to.deep.equal(['a']);
  });

  it('guards against work for a stopped upstream that is still listed alongside its successor at the same address', () => {
    const directory = new UpstreamDirectory();
    const other = createEntry('c', { address: '10.0.0.2:80' });
    directory.applyListing([createEntry('b', { startedAt: 2 }), createEntry('a'), other], 0, 5);
    expect(listIds(directory)).to.deep.equal(['b', 'c']);
  });

  it('guards against work for an upstream at whose address another one responds', () => {
    const directory = new UpstreamDirectory();
    directory.applyListing([createEntry('a')], 0, 5);
    directory.markReplaced(createEntry('a'));
    expect(listIds(directory)).to.deep.equal([]);
    directory.applyListing([createEntry('a')], 650, 655);
    expect(listIds(directory)).to.deep.equal([]);
    directory.applyListing([createEntry('a', { startedAt: 2 })], 1300, 1305);
    expect(listIds(directory)).to.deep.equal(['a']);
  });

  it('guards against a forged entry that hides the upstream at its address', () => {
    const directory = new UpstreamDirectory();
    const forged = createEntry('forged', { startedAt: 9 });
    directory.applyListing([createEntry('a'), forged], 0, 5);
    directory.markReplaced(forged);
    expect(listIds(directory)).to.deep.equal(['a']);
  });

  // Guards against requests refused for lack of upstreams whose entries the restored copy does not hold.
  it('guards against upstreams without work because a restored store lacks their entries', () => {
    const directory = new UpstreamDirectory();
    const later = createEntry('b', { address: '10.0.0.2:80' });
    directory.applyListing([createEntry('a'), later], 0, 5, 1);
    for (const at of [650, 1300, 1950, 2600]) {
      directory.applyListing([createEntry('a')], at, at + 5, 2);
      expect(listIds(directory)).to.deep.equal(['a', 'b']);
    }
    directory.applyListing([createEntry('a')], 3250, 3255, 2);
    expect(listIds(directory)).to.deep.equal(['a']);
  });

  // Guards against requests sent to a process that has left, whose entry the restored copy still holds.
  it('guards against work for an upstream that left before the store was restored from an older copy', () => {
    const directory = new UpstreamDirectory();
    directory.applyListing([createEntry('a', { heartbeat: 7 })], 0, 5, 1);
    directory.applyListing([], 650, 655, 1);
    for (const at of [1300, 1950, 9000]) {
      directory.applyListing([createEntry('a', { heartbeat: 6 })], at, at + 5, 2);
      expect(listIds(directory)).to.deep.equal([]);
    }
    directory.applyListing([createEntry('a', { heartbeat: 8 })], 9650, 9655, 2);
    expect(listIds(directory)).to.deep.equal(['a']);
  });

  // Guards against requests sent to a draining process, whose entry in the restored copy is still active.
  it('guards against work for an upstream that was draining before the store was restored', () => {
    const directory = new UpstreamDirectory();
    const draining = createEntry('a', { isDraining: true, heartbeat: 7 });
    directory.applyListing([draining], 0, 5, 1);
    directory.applyListing([], 650, 655, 2);
    directory.applyListing([createEntry('a', { heartbeat: 6 })], 1300, 1305, 2);
    expect(listIds(directory)).to.deep.equal([]);
    directory.applyListing([], 2900, 2905, 2);
    directory.applyListing([createEntry('a', { heartbeat: 6 })], 3550, 3555, 3);
    expect(listIds(directory)).to.deep.equal([]);
  });

  // Guards against an entry of an earlier start in the restored copy that hides the running process.
  it('guards against an earlier start that replaces the running one when the store is restored', () => {
    const directory = new UpstreamDirectory();
    const running = createEntry('a', { startedAt: 5, address: '10.0.0.2:80' });
    directory.applyListing([running], 0, 5, 1);
    directory.applyListing([createEntry('a', { heartbeat: 90 })], 650, 655, 2);
    expect(directory.findEntry(toId<UpstreamId>('a'))?.address).to.equal('10.0.0.2:80');
  });

  // Guards against a list from before the restore that a peer read a little later than this process its own.
  it('guards against a listing of an older era that replaces a newer one by its age', () => {
    const directory = new UpstreamDirectory();
    directory.applyListing([createEntry('a')], 1000, 1005, 2);
    directory.applyListing([createEntry('b')], 1100, 1200, 1);
    expect(listIds(directory)).to.deep.equal(['a']);
  });

  // Guards against an upstream without work because its heartbeats begin anew and its entry states no start.
  it('guards against a restarted upstream that is taken for a removed one', () => {
    const directory = new UpstreamDirectory();
    directory.applyListing([createEntry('a', { startedAt: undefined, heartbeat: 7 })], 0, 5);
    directory.applyListing([], 650, 655);
    directory.applyListing([createEntry('a', { startedAt: undefined, heartbeat: 1 })], 1300, 1305);
    expect(listIds(directory)).to.deep.equal(['a']);
  });
});

describe('gaps in the reads of the store', () => {
  const both = [createEntry('a'), createEntry('b', { address: '10.0.0.2:80' })];
  const [first] = both as [UpstreamEntry, UpstreamEntry];
  const createDirectory = (): UpstreamDirectory => {
    const directory = new UpstreamDirectory();
    directory.applyListing(both, 0, 5);
    return directory;
  };

  // Another gateway that knows of the removal would take the upstream up again.
  it('guards against retained entries that are passed on as listed', () => {
    const directory = createDirectory();
    directory.applyListing([first], 5_000, 5_005);
    expect(listIds(directory)).to.deep.equal(['a', 'b']);
    expect(directory.listCurrent().map(({ id }) => id)).to.deep.equal(['a']);
  });

  // A gateway that relied on a frozen reader has not read the store either, so the gap shows nothing.
  it('guards against a gap in which no read failed that counts as an outage', () => {
    const directory = createDirectory();
    directory.continuity.mayHaveMissedOutage = () => false;
    directory.applyListing([first], 5_000, 5_005);
    expect(listIds(directory)).to.deep.equal(['a']);
  });

  it('guards against an own absence that counts as an outage although another gateway has read all the while', () => {
    const directory = createDirectory();
    directory.applyListing([first], 5_000, 5_005, 0, { completeSince: -10 });
    expect(listIds(directory)).to.deep.equal(['a']);
  });

  // A gateway that has just started, or was absent as well, does not know what has expired.
  for (const completeSince of [4_000, undefined]) {
    it(`guards against entries lost on the word of a gateway that has missed the outage too; complete since ${completeSince}`, () => {
      const directory = createDirectory();
      directory.applyListing([first], 5_000, 5_005, 0, { completeSince });
      expect(listIds(directory)).to.deep.equal(['a', 'b']);
    });
  }

  it('guards against a retention that goes on although another gateway shows that the store was available', () => {
    const directory = createDirectory();
    directory.applyListing([first], 5_000, 5_005);
    expect(directory.continuity.needsProof(5_100, 5_100)).to.equal(true);
    directory.applyListing([first], 4_900, 5_110, 0, { completeSince: -10 });
    expect(directory.continuity.needsProof(5_120, 5_120)).to.equal(false);
    directory.applyListing([first], 5_650, 5_655);
    expect(listIds(directory)).to.deep.equal(['a']);
  });

  it('guards against a proof of the second of two gaps that counts for the first', () => {
    const directory = createDirectory();
    directory.applyListing([first], 5_000, 5_005);
    directory.applyListing([first], 7_000, 7_005);
    directory.applyListing([first], 6_900, 7_010, 0, { completeSince: 4_500 });
    directory.applyListing([first], 7_650, 7_655);
    expect(listIds(directory)).to.deep.equal(['a', 'b']);
    directory.applyListing([first], 7_600, 7_660, 0, { completeSince: -10 });
    directory.applyListing([first], 8_300, 8_305);
    expect(listIds(directory)).to.deep.equal(['a']);
  });

  it('guards against a claim to have missed nothing across a gap or a restore of the store', () => {
    const directory = createDirectory();
    expect(directory.continuity.computeCompleteMs(1_000)).to.equal(1_000);
    directory.applyListing(both, 5_000, 5_005);
    expect(directory.continuity.computeCompleteMs(5_100)).to.equal(100);
    directory.applyListing(both, 5_650, 5_655, 1);
    expect(directory.continuity.computeCompleteMs(5_700)).to.equal(50);
  });
});
