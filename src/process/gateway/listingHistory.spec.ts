import { expect } from 'chai';
import type { AvailabilityZoneId, ServiceId, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { UpstreamEntry } from '../../version/routing/types.js';
import { ListingHistory } from './listingHistory.js';

const createEntry = (index: number, fields: Partial<UpstreamEntry> = {}): UpstreamEntry => ({
  id: toId<UpstreamId>(`u-${index}`),
  service: toId<ServiceId>('s'),
  address: `10.0.0.${index}:80`,
  availabilityZone: toId<AvailabilityZoneId>('a'),
  slots: 4,
  isDraining: false,
  ...fields,
});

describe('history of listings', () => {
  // A complete list of 200 upstreams for each of 35 gateways twice a second would fill the link of its sender.
  it('guards against sending what the peer already has', () => {
    const history = new ListingHistory('r-1');
    const first = history.computeChange([createEntry(1), createEntry(2)], '');
    expect(first).to.deep.include({ base: undefined, removed: [] });
    expect(first.changed.length).to.equal(2);
    const beat = [createEntry(1, { heartbeat: 5 }), createEntry(2, { heartbeat: 5 })];
    const unchanged = { id: first.id, base: first.id, changed: [], removed: [] };
    expect(history.computeChange(beat, first.id)).to.deep.equal(unchanged);
    const draining = createEntry(2, { isDraining: true });
    const next = history.computeChange([draining, createEntry(3)], first.id);
    expect(next.changed).to.deep.equal([draining, createEntry(3)]);
    expect(next.removed).to.deep.equal(['u-1']);
  });

  it('guards against changes on a listing that is no longer known', () => {
    const history = new ListingHistory('r-1');
    const first = history.computeChange([createEntry(1)], '');
    for (let slots = 5; slots < 20; slots += 1) {
      history.computeChange([createEntry(1, { slots })], undefined);
    }
    const late = history.computeChange([createEntry(1)], first.id);
    expect(late).to.deep.include({ base: undefined, changed: [createEntry(1)] });
    expect(history.computeChange([createEntry(1)], 'r-0/1').base).to.equal(undefined);
  });
});
