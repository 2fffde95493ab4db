import { Encoder } from 'cbor-x';
import { expect } from 'chai';
import { hasMoreItems } from './countItems.js';

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
const padding = 'x'.repeat(1_000);

describe('number of items in a frame', () => {
  const cases: readonly [value: unknown, items: number][] = [
    [padding, 1],
    [['a', padding, 70_000, 1.5, true, null, new Uint8Array(300)], 8],
    [{ key: padding, list: [{ id: 1 }, { id: 2 ** 40 }], bytes: new Uint8Array(70_000) }, 13],
    [Array.from({ length: 2_000 }, () => ''), 2_001],
  ];
  for (const [index, [value, items]] of cases.entries()) {
    it(`guards against items that are not counted, or bytes that count as items; case ${index}`, () => {
      const bytes = encoder.encode(value);
      expect(hasMoreItems(bytes, items)).to.equal(false);
      expect(hasMoreItems(bytes, items - 1)).to.equal(true);
    });
  }

  it('guards against a map of many keys', () => {
    const bytes = encoder.encode(
      Object.fromEntries(Array.from({ length: 200 }, (_, index) => [`key-${index}`, index])),
    );
    expect(hasMoreItems(bytes, 500, 200)).to.equal(false);
    expect(hasMoreItems(bytes, 500, 199)).to.equal(true);
  });

  it('guards against a length beyond the end that is followed', () => {
    expect(
      hasMoreItems(Buffer.from([0x5b, 255, 255, 255, 255, 255, 255, 255, 255, 0]), 1),
    ).to.equal(false);
  });
});
