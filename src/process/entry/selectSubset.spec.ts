import { expect } from 'chai';
import { toId } from '../../ids.js';
import { upstreamSchema } from '../../version/ticket/types.js';
import { selectSubset } from './selectSubset.js';

const zones = ['ikeja', 'apapa', 'lekki'];
const upstreams = Array.from({ length: 60 }, (_, index) => ({
  id: toId<ReturnType<typeof selectSubset>[number]['id']>(`u${index}`),
  state: upstreamSchema.parse({
    service: 'chat',
    host: `h${index}`,
    availabilityZone: zones[index % 3],
    address: `127.0.0.1:${1000 + index}`,
    slots: 4,
  }),
}));

describe('link subset', () => {
  it('guards against a subset that is lost with one availability zone', () => {
    const selected = selectSubset('entry-1', upstreams, 12);
    const counts = zones.map(
      (zone) => selected.filter(({ state }) => state.availabilityZone === zone).length,
    );
    expect(counts).to.deep.equal([4, 4, 4]);
  });

  it('guards against upstreams that no entry links to', () => {
    const linked = new Set<string>();
    for (let entry = 0; entry < 30; entry += 1)
      for (const { id } of selectSubset(`entry-${entry}`, upstreams, 12)) linked.add(id);
    expect(linked.size).to.equal(60);
  });

  it('guards against reconnecting most links when one upstream leaves', () => {
    const before = selectSubset('entry-1', upstreams, 12).map(({ id }) => id);
    const rest = upstreams.filter(({ id }) => id !== before[0]);
    const after = new Set(selectSubset('entry-1', rest, 12).map(({ id }) => id));
    expect(before.filter((id) => !after.has(id))).to.deep.equal([before[0]]);
  });
});
