import { expect } from 'chai';
import fc from 'fast-check';
import { EventSplitter } from './eventSplitter.js';

const text = 'id: 1\ndata: a\n\nweight-versions: 2\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n';

describe('event splitter', () => {
  it('guards against events that depend on how the bytes are split into chunks', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 9 })), (sizes) => {
        const splitter = new EventSplitter();
        const events = [];
        let rest = Buffer.from(text);
        for (const size of sizes) {
          events.push(...splitter.readEvents(rest.subarray(0, size)));
          rest = rest.subarray(size);
        }
        events.push(...splitter.readEvents(rest));
        expect(events.map(({ id }) => id)).to.deep.equal([1, 2, 3]);
        expect(Buffer.concat(events.map(({ bytes }) => bytes)).toString()).to.equal(text);
        expect(splitter.partialEventBytes).to.equal(0);
      }),
      { seed: 7 },
    );
  });

  it('guards against returning an incomplete event', () => {
    const splitter = new EventSplitter();
    expect(splitter.readEvents(Buffer.from('id: 1\ndata: a\n'))).to.deep.equal([]);
    expect(splitter.partialEventBytes).to.equal(14);
  });

  // Searching and copying the whole buffer again for each read takes minutes for this input.
  it('guards against time that grows with the square of an endless event', function () {
    this.timeout(5_000);
    const splitter = new EventSplitter();
    const line = Buffer.from('data: aaaaaaaaa\n');
    for (let read = 0; read < 1_000_000; read += 1) splitter.readEvents(line);
    expect(splitter.partialEventBytes).to.equal(16_000_000);
  });
});
