import { expect } from 'chai';
import fc from 'fast-check';
import { PeerCounts } from './peerCounts.js';

const peers = ['gateway-1', 'gateway-2', 'gateway-3'];
const upstreams = ['u-1', 'u-2'];

describe('counts of other gateways', () => {
  // A decision looked into the counts of every gateway for every upstream.
  it('guards against sums that differ from the latest counts of each gateway', () => {
    const step = fc.record({
      peer: fc.constantFrom(...peers),
      counts: fc.option(fc.dictionary(fc.constantFrom(...upstreams), fc.nat(5)), {
        nil: undefined,
      }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
        const tested = new PeerCounts();
        const latest = new Map<string, Record<string, number>>();
        for (const { peer, counts } of steps) {
          if (counts === undefined) {
            tested.remove(peer);
            latest.delete(peer);
          } else {
            tested.apply(peer, new Map(Object.entries(counts)), 0);
            latest.set(peer, counts);
          }
          for (const upstream of upstreams) {
            let expected = 0;
            for (const held of latest.values()) expected += held[upstream] ?? 0;
            expect(tested.getSum(upstream, 0)).to.equal(expected);
          }
        }
      }),
      { seed: 34 },
    );
  });

  it('guards against counts of a gateway that no longer responds', () => {
    const tested = new PeerCounts();
    tested.apply('gateway-1', new Map([['u-1', 3]]), 0);
    tested.apply('gateway-2', new Map([['u-1', 1]]), 2_000);
    expect(tested.getSum('u-1', 3_000)).to.equal(4);
    expect(tested.getSum('u-1', 3_300)).to.equal(1);
  });
});
